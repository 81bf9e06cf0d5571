import { formsCells } from '../../engineCell/index.ts';
import { type PeersState, reachingPeers } from '../../peerList/index.ts';
import type { RosterState } from '../../targetRoster/index.ts';
import { scoreRendezvous } from '../../../scoreRendezvous/index.ts';
import type { LimitShare, TargetLimitsState } from '../types.ts';
import { limitOf } from './limits.ts';

/** The entries among which limits are divided, as one of them knows them. */
export interface LimitFleet {
  readonly roster: RosterState;
  readonly peers: PeersState;
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

/**
 * Computes this entry's share of each target's limit.
 *
 * A limit is divided among few senders, about one for each request a second, so that
 * their bursts stay small beside it; the others send nothing to that target. Senders are chosen by rendezvous
 * hashing: entries that know the same others agree without a message, and a change
 * of the fleet moves one sender. In cells, entries know little of other data centres,
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
    const senders = Math.min(
      MIN_SENDERS + Math.floor(limit.requestsPerS),
      candidates.length + 1,
    );
    const ownScore = scoreRendezvous(id, name);
    const before = candidates.filter(
      (peer) => scoreRendezvous(id, peer.name) > ownScore,
    );
    if (before.length >= senders) return [];
    const share: LimitShare = {
      requestsPerS: limit.requestsPerS / senders,
      burst: 1 + (BURST_S * limit.requestsPerS) / senders,
    };
    return [[id, share] as const];
  });
  return new Map(shares);
}
