import {
  behindSinceMs,
  type ConfigSource,
  type FetchResult,
  type PeerStatus,
} from '@endivegate/core/forwarding';
import type { ForwardingConfig } from '@endivegate/contracts/forwarding';
import * as E from 'fp-ts/lib/Either.js';
import type { EventLog } from '../../createEventLog/index.ts';
import type { FetchError, Fetched } from '../../exchangeJson/index.ts';
import type { GatewayRuntime } from '../../gatewayRuntime/index.ts';
import { fetchConfig } from './configExchange/index.ts';

/** Fetches newer configurations from peers; see `reduceConfigSync`. */
export interface ConfigFetcher {
  /**
   * Notes the version of a peer's configuration.
   *
   * @param peer - Status of the peer.
   * @param delayMs - Time to wait for the store's own notification.
   */
  readonly report: (peer: PeerStatus, delayMs?: number) => void;
  readonly close: () => void;
}

/** Options of {@link createConfigFetcher}. */
export interface CreateConfigFetcherOptions {
  readonly runtime: GatewayRuntime;
  readonly log: EventLog;
  /** Name and data centre of this entry. */
  readonly self: Pick<PeerStatus, 'name' | 'dataCentre'>;
  /** Monotonic time in ms. */
  readonly now: () => number;
}

/**
 * Delay before fetching a newer configuration from a peer: the store's own
 * change notification usually arrives first.
 */
const CONFIG_FETCH_DELAY_MS = 250;

/** How often due fetches are started while there is a newer configuration. */
const TICK_INTERVAL_MS = 50;

/** Creates the fetcher. */
export function createConfigFetcher(
  options: CreateConfigFetcherOptions,
): ConfigFetcher {
  const { runtime, log, self, now } = options;
  let ticker: NodeJS.Timeout | undefined;
  let isClosed = false;

  runtime.onEffect((effect) => {
    if (effect.type === 'configSync.fetchDue' && !isClosed) {
      fetchFrom(effect.source);
    }
  });

  function tick(): void {
    if (behindSinceMs(runtime.state().configSync) === undefined) {
      clearInterval(ticker);
      ticker = undefined;
    } else runtime.dispatch({ type: 'configSync.ticked', atMs: now() });
  }

  function fetchFrom(source: ConfigSource): void {
    fetchConfig(source.address, (fetched) => {
      if (isClosed) return;
      runtime.dispatch({
        type: 'configSync.fetchEnded',
        atMs: now(),
        name: source.name,
        result: applyFetched(source, fetched),
      });
    });
  }

  function applyFetched(
    source: ConfigSource,
    fetched: E.Either<FetchError, Fetched<ForwardingConfig>>,
  ): FetchResult {
    if (E.isLeft(fetched)) {
      log.warn('config.peerFetchFailed', {
        peer: source.name,
        version: source.version,
        ...fetched.left,
      });
      return { type: fetched.left.type };
    }
    const { value: config, ...delivery } = fetched.right;
    runtime.applyConfig(config, `peer ${source.name}`, delivery);
    return { type: 'received', version: config.version };
  }

  return {
    report(peer, delayMs = CONFIG_FETCH_DELAY_MS) {
      const { version } = runtime.state().configSync;
      if (isClosed || peer.configVersion <= version) return;
      runtime.dispatch({
        type: 'configSync.reported',
        atMs: now(),
        report: {
          entryName: self.name,
          name: peer.name,
          address: peer.peerAddress,
          isLocal: peer.dataCentre === self.dataCentre,
          weight: peer.weight,
          version: peer.configVersion,
        },
        delayMs,
      });
      ticker ??= setInterval(tick, TICK_INTERVAL_MS);
    },
    close() {
      isClosed = true;
      clearInterval(ticker);
    },
  };
}
