import type { ExactInteger } from '@endivegate/contracts/forwarding';
import type { LoadState } from '../engineLoad/index.ts';
import {
  type Peer,
  type PeersState,
  reachingPeers,
} from '../peerList/index.ts';
import { servesRelays } from '../peerProtocol/index.ts';

/** What decides which peer serves the requests of an entry that is cut off. */
export interface RelayQuery {
  readonly peers: PeersState;
  readonly load: LoadState;
  readonly nowMs: number;
  /** Data centre of this entry. */
  readonly dataCentre: string;
  /** Version of this entry's configuration. */
  readonly configVersion: ExactInteger;
  /** Peers that this request was already sent to. */
  readonly excludedNames: ReadonlySet<string>;
}

/** Options of {@link pickRelay}. */
export interface PickRelayOptions {
  /** Returns a number uniform in [0, 1), to break ties. */
  readonly random?: () => number;
}

/** A peer in another data centre is picked when it has this many requests less, as
 * bytes between data centres are paid for. */
const REMOTE_REQUESTS = 4;

/** Above the load of any peer. */
const OLDER_CONFIG_COST = 1_000_000;

/**
 * Picks the peer to which an entry without paths to targets relays a request: one
 * that reaches targets, by its load for its capacity, preferably in this data centre.
 *
 * A peer that last reported an older configuration is taken if there is no other: it
 * may have the newer one by now, and else refuses the request. A peer that is not
 * known to serve relayed requests is never taken.
 *
 * @param query - Peers, their load and the request.
 * @param options - Random source.
 * @returns The peer, or undefined if none reaches targets.
 *
 * @example
 * pickRelay({ ...state, nowMs, dataCentre, configVersion, excludedNames });
 */
export function pickRelay(
  query: RelayQuery,
  options: PickRelayOptions = {},
): Peer | undefined {
  const { random = Math.random } = options;
  const { peers, load, dataCentre, excludedNames } = query;
  const relayed = [...load.flights.values()].map(({ targetId }) => targetId);
  const requestsOf = ({ name }: Peer): number =>
    (load.peers.get(name)?.flights.length ?? 0) +
    relayed.filter((targetId) => targetId === name).length;
  return reachingPeers(peers, query.nowMs)
    .filter((peer) => servesRelays(peer) && !excludedNames.has(peer.name))
    .map((peer) => {
      const remote = peer.dataCentre === dataCentre ? 0 : REMOTE_REQUESTS;
      const older =
        peer.configVersion >= query.configVersion ? 0 : OLDER_CONFIG_COST;
      const load = (requestsOf(peer) + remote + random()) / peer.weight;
      return { peer, cost: load + older };
    })
    .toSorted((a, b) => a.cost - b.cost)[0]?.peer;
}
