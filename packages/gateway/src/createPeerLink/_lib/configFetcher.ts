import type { PeerStatus } from '@endivegate/core/forwarding';
import * as E from 'fp-ts/lib/Either.js';
import type { EventLog } from '../../createEventLog/index.ts';
import type { GatewayRuntime } from '../../gatewayRuntime/index.ts';
import { fetchConfig } from './configExchange.ts';

/** Fetches configurations from peers, one at a time. */
export interface ConfigFetcher {
  /** Whether a peer has a newer configuration than this entry. */
  readonly isNewer: (peer: PeerStatus) => boolean;
  /** Fetches a peer's configuration after a delay, if it is still newer by then. */
  readonly schedule: (peer: PeerStatus, delayMs?: number) => void;
}

/**
 * Delay before fetching a newer configuration from a peer: the store's own
 * change notification usually arrives first.
 */
const CONFIG_FETCH_DELAY_MS = 250;

/** Creates the fetcher. */
export function createConfigFetcher(options: {
  readonly runtime: GatewayRuntime;
  readonly log: EventLog;
}): ConfigFetcher {
  const { runtime, log } = options;
  let isFetching = false;

  function isNewer(peer: PeerStatus): boolean {
    return peer.configVersion > (runtime.table()?.config.version ?? 0);
  }

  function schedule(peer: PeerStatus, delayMs = CONFIG_FETCH_DELAY_MS): void {
    if (isFetching) return;
    isFetching = true;
    setTimeout(() => {
      if (!isNewer(peer)) {
        isFetching = false;
        return;
      }
      fetchConfig(peer.peerAddress, (result) => {
        isFetching = false;
        if (E.isLeft(result)) {
          log.warn('config.peerFetchFailed', {
            peer: peer.name,
            reason: result.left,
          });
        } else runtime.applyConfig(result.right, `peer ${peer.name}`);
      });
    }, delayMs);
  }

  return { isNewer, schedule };
}
