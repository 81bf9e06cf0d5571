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
import { copiesFor } from './fleetSize.ts';
import { memberUpdate, sendPacket } from './packets.ts';
import { stepDeadProbe, stepProbe } from './probe.ts';
import { createDraw, drawSome } from './random.ts';
import { stepView } from './view.ts';

type TimerStep = Step<MembershipState, MembershipEffect | RaiseEffect>;

/** Runs everything that is due at a tick. */
export function stepTimers(
  state: MembershipState,
  event: EventBase,
): TimerStep {
  return chainSteps<MembershipState, MembershipEffect | RaiseEffect>(
    advance(state, event.atMs),
    [
      expireSuspicions,
      (s) => stepProbe(s, event.random),
      (s) => stepDeadProbe(s, event.random),
      (s) => stepGossip(s, event.random),
      (s) => stepFetch(s, event.random),
      (s) => stepView(s, event),
    ],
  );
}

/** Moves the clock; after a pause nothing that it delayed counts as late. */
function advance(state: MembershipState, atMs: number): MembershipState {
  const elapsedMs = atMs - state.nowMs;
  const refill = (elapsedMs * GOSSIP_BYTES_PER_S) / 1_000;
  const next: MembershipState = {
    ...state,
    nowMs: atMs,
    budgetBytes: Math.min(GOSSIP_BURST_BYTES, state.budgetBytes + refill),
    proxyProbes:
      state.proxyProbes.length === 0
        ? state.proxyProbes
        : state.proxyProbes.filter(({ expiresAtMs }) => expiresAtMs > atMs),
  };
  if (elapsedMs < PAUSE_THRESHOLD_MS) return next;
  return {
    ...next,
    probe: undefined,
    suspicions: new Map(
      [...state.suspicions].map(([id, endAtMs]) => [id, endAtMs + elapsedMs]),
    ),
  };
}

function expireSuspicions(
  state: MembershipState,
): Step<MembershipState, MembershipEffect> {
  if (state.suspicions.size === 0) return unchanged(state);
  const dead = [...state.suspicions].flatMap<MemberUpdate>(([id, endAtMs]) => {
    const member = state.members.get(id);
    if (!member || endAtMs > state.nowMs) return [];
    return [{ ...memberUpdate(member, false), status: 'dead' }];
  });
  return dead.length === 0 ? unchanged(state) : applyUpdates(state, dead);
}

function stepGossip(
  state: MembershipState,
  random: number,
): Step<MembershipState, MembershipEffect> {
  const spreadsTable =
    state.tableNumber > 0 &&
    state.tableCopies < copiesFor(state.order.length + 1);
  if (
    state.nowMs < state.nextGossipAtMs ||
    state.budgetBytes <= 0 ||
    (state.spreading.size === 0 && !spreadsTable)
  ) {
    return unchanged(state);
  }
  const receivers = drawSome(state.order, GOSSIP_FANOUT, createDraw(random));
  return chainSteps<MembershipState, MembershipEffect>(
    { ...state, nextGossipAtMs: state.nowMs + GOSSIP_PERIOD_MS },
    receivers.map((entryId) => (s) => sendGossip(s, entryId)),
  );
}

/** Sends what spreads to one member. */
export function sendGossip(
  state: MembershipState,
  entryId: string,
): Step<MembershipState, MembershipEffect> {
  const member = state.members.get(entryId);
  if (!member) return unchanged(state);
  return sendPacket(state, { kind: 'gossip', to: member.address, sequence: 0 });
}

/** Asks a member for all others until one has answered. */
function stepFetch(
  state: MembershipState,
  random: number,
): Step<MembershipState, MembershipEffect> {
  if (
    state.fetched ||
    state.order.length === 0 ||
    state.nowMs < state.nextFetchAtMs
  ) {
    return unchanged(state);
  }
  const entryId = state.order[Math.floor(random * state.order.length)] ?? '';
  const member = state.members.get(entryId);
  return {
    state: { ...state, nextFetchAtMs: state.nowMs + FETCH_PERIOD_MS },
    effects: member ? [{ type: 'membership.fetch', from: member.address }] : [],
  };
}
