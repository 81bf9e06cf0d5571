import { formsCells } from '../../engineCell/index.ts';
import type { LoadState } from '../../engineLoad/index.ts';
import {
  type Peer,
  type PeersState,
  reachingPeers,
} from '../../peerList/index.ts';
import { dividesLimits } from '../../peerProtocol/index.ts';
import type { RosterState } from '../../targetRoster/index.ts';
import { scoreRendezvous } from '../../../scoreRendezvous/index.ts';
import type { LimitShare, TargetLimitsState } from '../types.ts';
import { limitOf } from './limits.ts';

/** The entries among which limits are divided, as one of them knows them. */
export interface LimitFleet {
  readonly roster: RosterState;
  readonly peers: PeersState;
  /** Requests that peers have in flight. */
  readonly load: Pick<LoadState, 'peers'>;
  readonly nowMs: number;
  /** Name of this entry. */
  readonly name: string;
  readonly dataCentre: string;
  /** Whether this entry takes callers' requests and reaches targets. */
  readonly isServing: boolean;
}

/** Senders beside one for each request a second, so that the loss of one leaves
 * another. */
const MIN_SENDERS = 2;

/** Part of a second's requests that all senders together may save up. */
const BURST_S = 0.5;

/** Most of a limit that is left to peers that may not divide it, so that the others
 * still find out whether it holds. */
const MAX_LEFT_SHARE = 0.9;

const MS_PER_S = 1000;

/**
 * Computes this entry's share of each target's limit.
 *
 * A limit is divided among few senders, about one for each request a second, so that
 * their bursts stay small beside it; the others send nothing to that target. Senders are chosen by rendezvous
 * hashing: entries that know the same others agree without a message, and a change
 * of the fleet moves one sender. A peer whose build divides no limits is not among
 * the senders; what it sends is left to it. In cells, entries know little of other data centres,
 * so that the senders are entries of the target's own.
 *
 * @param limits - Current limits.
 * @param fleet - The entries.
 * @returns Shares by target id; none for targets to which this entry sends nothing.
 */
export function limitShares(
  limits: TargetLimitsState,
  fleet: LimitFleet,
): ReadonlyMap<string, LimitShare> {
  const { roster, name, dataCentre, isServing } = fleet;
  if (limits.size === 0 || !isServing) return new Map();
  const others = reachingPeers(fleet.peers, fleet.nowMs);
  const isCell = formsCells(fleet);
  const shares = [...limits.keys()].flatMap((id) => {
    const target = roster.targets.get(id);
    const limit = target === undefined ? undefined : limitOf(limits, target);
    if (target === undefined || limit === undefined) return [];
    if (isCell && target.dataCentre !== dataCentre) return [];
    const candidates = isCell
      ? others.filter((peer) => peer.dataCentre === dataCentre)
      : others;
    const dividing = candidates.filter((peer) => dividesLimits(peer) !== false);
    const senders = Math.min(
      MIN_SENDERS + Math.floor(limit.requestsPerS),
      dividing.length + 1,
    );
    const ownScore = scoreRendezvous(id, name);
    const before = dividing.filter(
      (peer) => scoreRendezvous(id, peer.name) > ownScore,
    );
    if (before.length >= senders) return [];
    const dividedPerS =
      limit.requestsPerS * (1 - leftShare(id, limit, candidates, fleet));
    const share: LimitShare = {
      requestsPerS: dividedPerS / senders,
      burst: 1 + (BURST_S * dividedPerS) / senders,
    };
    return [[id, share] as const];
  });
  return new Map(shares);
}

/**
 * Returns the part of a limit that is left to peers that are not known to divide it:
 * what they sent within the last second, as far as it is still in flight, and at
 * least their part of the requests if each entry sends as many.
 */
function leftShare(
  id: string,
  limit: { readonly requestsPerS: number },
  candidates: readonly Peer[],
  { load, nowMs }: LimitFleet,
): number {
  const others = candidates.filter((peer) => dividesLimits(peer) !== true);
  if (others.length === 0) return 0;
  const sent = others
    .flatMap((peer) => load.peers.get(peer.name)?.flights ?? [])
    .filter(
      ({ targetId, startedAtMs }) =>
        targetId === id && nowMs - startedAtMs < MS_PER_S,
    ).length;
  const expected = others.length / (candidates.length + 1);
  return Math.min(
    Math.max(expected, sent / limit.requestsPerS),
    MAX_LEFT_SHARE,
  );
}
