import type { RaiseEffect } from '../../slice/index.ts';
import type { Step } from '../../step/index.ts';
import { unchanged } from '../../step/index.ts';
import { chainSteps } from '../../chainSteps/index.ts';
import type { EventBase } from '../../events/index.ts';
import { PAUSE_THRESHOLD_MS } from '../../clock/index.ts';
import type {
  MembershipEffect,
  MembershipState,
  MemberUpdate,
} from '../types.ts';
import { applyUpdates } from './applyUpdates.ts';
import {
  FETCH_PERIOD_MS,
  GOSSIP_BURST_BYTES,
  GOSSIP_BYTES_PER_S,
  GOSSIP_FANOUT,
  GOSSIP_PERIOD_MS,
} from './constants.ts';
import { transmitLimit } from './fleetSize.ts';
import { memberUpdate, sendPacket } from './packets.ts';
import { stepDeadProbe, stepProbe } from './probe.ts';
import { createRandomInt, sample } from './random.ts';
import { publishMembers } from './publishMembers.ts';

type TimerStep = Step<MembershipState, MembershipEffect | RaiseEffect>;

/** Runs all periodic work that is due at a tick. */
export function stepTimers(
  state: MembershipState,
  event: EventBase,
): TimerStep {
  return chainSteps<MembershipState, MembershipEffect | RaiseEffect>(
    advanceClock(state, event.atMs),
    [
      expireSuspicions,
      (s) => stepProbe(s, event.random),
      (s) => stepDeadProbe(s, event.random),
      (s) => stepGossip(s, event.random),
      (s) => stepFetch(s, event.random),
      (s) => publishMembers(s, event),
    ],
  );
}

/**
 * Advances the clock. After a pause of this process, the current probe is
 * dropped and suspicions are extended by the pause, so that no member is
 * suspected for answers that this process could not read in time.
 */
function advanceClock(state: MembershipState, atMs: number): MembershipState {
  const elapsedMs = atMs - state.nowMs;
  const refillBytes = (elapsedMs * GOSSIP_BYTES_PER_S) / 1_000;
  const next: MembershipState = {
    ...state,
    nowMs: atMs,
    gossipBudgetBytes: Math.min(
      GOSSIP_BURST_BYTES,
      state.gossipBudgetBytes + refillBytes,
    ),
    proxyProbes:
      state.proxyProbes.length === 0
        ? state.proxyProbes
        : state.proxyProbes.filter(({ expiresAtMs }) => expiresAtMs > atMs),
  };
  if (elapsedMs < PAUSE_THRESHOLD_MS) return next;
  return {
    ...next,
    probe: undefined,
    suspicionDeadlines: new Map(
      [...state.suspicionDeadlines].map(([id, endAtMs]) => [
        id,
        endAtMs + elapsedMs,
      ]),
    ),
  };
}

function expireSuspicions(
  state: MembershipState,
): Step<MembershipState, MembershipEffect> {
  if (state.suspicionDeadlines.size === 0) return unchanged(state);
  const dead = [...state.suspicionDeadlines].flatMap<MemberUpdate>(
    ([id, endAtMs]) => {
      const member = state.members.get(id);
      if (!member || endAtMs > state.nowMs) return [];
      return [{ ...memberUpdate(member, false), status: 'dead' }];
    },
  );
  return dead.length === 0 ? unchanged(state) : applyUpdates(state, dead);
}

function stepGossip(
  state: MembershipState,
  random: number,
): Step<MembershipState, MembershipEffect> {
  const gossipsTable =
    state.tableNumber > 0 &&
    state.tableTransmitCount < transmitLimit(state.probeOrder.length + 1);
  if (
    state.nowMs < state.nextGossipAtMs ||
    state.gossipBudgetBytes <= 0 ||
    (state.transmitCounts.size === 0 && !gossipsTable)
  ) {
    return unchanged(state);
  }
  const receivers = sample(
    state.probeOrder,
    GOSSIP_FANOUT,
    createRandomInt(random),
  );
  return chainSteps<MembershipState, MembershipEffect>(
    { ...state, nextGossipAtMs: state.nowMs + GOSSIP_PERIOD_MS },
    receivers.map((entryId) => (s) => sendGossip(s, entryId)),
  );
}

/** Sends pending updates to one member in a gossip packet. */
export function sendGossip(
  state: MembershipState,
  entryId: string,
): Step<MembershipState, MembershipEffect> {
  const member = state.members.get(entryId);
  if (!member) return unchanged(state);
  return sendPacket(state, { kind: 'gossip', to: member.address, sequence: 0 });
}

/** Requests the full member list from a random member until one has answered. */
function stepFetch(
  state: MembershipState,
  random: number,
): Step<MembershipState, MembershipEffect> {
  if (
    state.fetched ||
    state.probeOrder.length === 0 ||
    state.nowMs < state.nextFetchAtMs
  ) {
    return unchanged(state);
  }
  const entryId =
    state.probeOrder[Math.floor(random * state.probeOrder.length)] ?? '';
  const member = state.members.get(entryId);
  return {
    state: { ...state, nextFetchAtMs: state.nowMs + FETCH_PERIOD_MS },
    effects: member ? [{ type: 'membership.fetch', from: member.address }] : [],
  };
}
