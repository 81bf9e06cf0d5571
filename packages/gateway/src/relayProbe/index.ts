import { request as httpRequest } from 'node:http';
import { type Peer, unprobedPeers } from '@endivegate/core/forwarding';
import type { GatewayRuntime } from '../gatewayRuntime/index.ts';
import {
  RELAY_AGE_HEADER,
  RELAY_ANSWERED_BY_HEADER,
  RELAY_ATTEMPTS_HEADER,
  RELAY_CONFIG_HEADER,
} from '../relayDialect/index.ts';

/** Asks peers that name no protocol version whether they serve relayed requests. */
export interface RelayProbe {
  /** Asks some of the peers of which it is not known; called regularly. */
  readonly probeSome: () => void;
  readonly close: () => void;
}

/** Receives whether a peer serves relayed requests; undefined if it did not answer. */
type ProbeDone = (servesRelays: boolean | undefined) => void;

/** Options of {@link createRelayProbe}. */
export interface CreateRelayProbeOptions {
  readonly runtime: GatewayRuntime;
  readonly probe?: (address: string, done: ProbeDone) => void;
}

/** Peers that are asked at a time, so that an entry of a large fleet that starts does
 * not ask all others at once. */
const MAX_PROBES = 8;

/** Many round trips between data centres. */
const PROBE_TIMEOUT_MS = 800;

const NOT_FOUND = 404;

/** Not a route: a request with this path and without a key is refused. */
const PROBE_PATH = '/relay-probe';

/**
 * Creates the probe. Builds without relays and some with them name no protocol
 * version. Both answer a relayed request without a key, and neither runs it: the
 * former with 404, the latter with a header of relays.
 *
 * @param options - State of the gateway.
 * @returns The probe.
 *
 * @example
 * createRelayProbe({ runtime }).probeSome();
 */
export function createRelayProbe(options: CreateRelayProbeOptions): RelayProbe {
  const { runtime, probe = probeRelay } = options;
  const pending = new Set<string>();
  let isClosed = false;

  function probePeer({ name, startedAtUnixMs, peerAddress }: Peer): void {
    pending.add(name);
    probe(peerAddress, (servesRelays) => {
      pending.delete(name);
      if (isClosed || servesRelays === undefined) return;
      runtime.dispatch({
        type: 'peers.relayProbed',
        name,
        startedAtUnixMs,
        servesRelays,
      });
    });
  }

  return {
    probeSome() {
      unprobedPeers(runtime.state().peers)
        .filter(({ name }) => !pending.has(name))
        .slice(0, MAX_PROBES - pending.size)
        .forEach(probePeer);
    },
    close() {
      isClosed = true;
    },
  };
}

/** Sends a relayed request that every build refuses. */
function probeRelay(address: string, done: ProbeDone): void {
  const [host = '', port = ''] = address.split(':');
  const call = httpRequest(
    {
      host,
      port: Number(port),
      path: PROBE_PATH,
      agent: false,
      signal: AbortSignal.timeout(PROBE_TIMEOUT_MS),
      headers: {
        [RELAY_AGE_HEADER]: '0',
        [RELAY_ATTEMPTS_HEADER]: '1',
        [RELAY_CONFIG_HEADER]: '0',
      },
    },
    (response) => {
      const isServed = response.headers[RELAY_ANSWERED_BY_HEADER] !== undefined;
      const isRefused = response.statusCode === NOT_FOUND;
      response.destroy();
      done(isServed ? true : isRefused ? false : undefined);
    },
  );
  call.on('error', () => {
    done(undefined);
  });
  call.end();
}
