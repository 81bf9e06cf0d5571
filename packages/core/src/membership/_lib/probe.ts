import { chainSteps } from '../../chainSteps/index.ts';
import type { Step } from '../../step/index.ts';
import { unchanged } from '../../step/index.ts';
import type { MembershipEffect, MembershipState, Probe } from '../types.ts';
import { applyUpdates } from './applyUpdates.ts';
import {
  DEAD_PROBE_PERIOD_MS,
  INDIRECT_ROUNDS,
  MAX_HEALTH_PENALTY,
  PROBE_PERIOD_MS,
  PROBE_ROUND_MS,
  MAX_CHECKED_RECORDS,
} from './constants.ts';
import { memberUpdate, sendPacket } from './packets.ts';
import { pickHelpers } from './pickHelpers.ts';
import { createDraw, drawSome } from './random.ts';

type ProbeStep = Step<MembershipState, MembershipEffect>;

/** Drives the probe that runs, or starts the next one when it is time. */
export function stepProbe(state: MembershipState, random: number): ProbeStep {
  const { probe } = state;
  if (!probe) return startProbe(state, random);
  const elapsedMs = state.nowMs - probe.startedAtMs;
  const slowdown = 1 + state.healthPenalty;
  if (elapsedMs >= PROBE_PERIOD_MS * slowdown) return failProbe(state, probe);
  if (
    probe.rounds < INDIRECT_ROUNDS &&
    elapsedMs >= PROBE_ROUND_MS * slowdown * (probe.rounds + 1)
  ) {
    return widenProbe(state, probe, random);
  }
  return unchanged(state);
}

function startProbe(state: MembershipState, random: number): ProbeStep {
  if (state.nowMs < state.nextProbeAtMs || state.order.length === 0) {
    return unchanged(state);
  }
  const cursor = state.cursor % state.order.length;
  const subjectId = state.order[cursor] ?? '';
  const sequence = state.sequence + 1;
  const wraps = cursor + 1 === state.order.length;
  const started: MembershipState = {
    ...state,
    sequence,
    order: wraps ? shuffled(state.order, random) : state.order,
    cursor: cursor + 1,
    nextProbeAtMs: state.nowMs + PROBE_PERIOD_MS,
    probe: {
      subjectId,
      sequence,
      startedAtMs: state.nowMs,
      rounds: 0,
    },
  };
  return ping(started, subjectId, { sequence, random });
}

/**
 * Sends a ping that tells the member what is held against it, and shows it
 * some suspicions, which it corrects where it knows better.
 */
function ping(
  state: MembershipState,
  subjectId: string,
  options: { readonly sequence: number; readonly random: number },
): ProbeStep {
  const { sequence, random } = options;
  const member = state.members.get(subjectId);
  if (!member) return unchanged(state);
  const checked = drawSome(
    [...state.suspicions.keys()],
    MAX_CHECKED_RECORDS,
    createDraw(random),
  );
  const ids = new Set(
    member.status === 'alive' ? checked : [subjectId, ...checked],
  );
  const about = [...ids].flatMap((entryId) => {
    const record = state.members.get(entryId);
    return record ? [memberUpdate(record, false)] : [];
  });
  const to = member.address;
  return sendPacket(state, { kind: 'ping', to, sequence, about });
}

/** Asks helpers to probe, and repeats the ping in case it was lost. */
function widenProbe(
  state: MembershipState,
  probe: Probe,
  random: number,
): ProbeStep {
  const { subjectId, sequence } = probe;
  const helpers = pickHelpers(state, subjectId, createDraw(random));
  const widened: MembershipState = {
    ...state,
    probe: { ...probe, rounds: probe.rounds + 1 },
  };
  return chainSteps<MembershipState, MembershipEffect>(widened, [
    (s) => ping(s, subjectId, { sequence, random }),
    ...helpers.map(
      ({ address }) =>
        (s: MembershipState) =>
          sendPacket(s, {
            kind: 'pingRequest',
            to: address,
            sequence,
            subjectId,
          }),
    ),
  ]);
}

function failProbe(state: MembershipState, probe: Probe): ProbeStep {
  const member = state.members.get(probe.subjectId);
  const ended: MembershipState = { ...state, probe: undefined };
  if (member?.status !== 'alive') return unchanged(ended);
  const suspect = {
    ...memberUpdate(member, false),
    status: 'suspect' as const,
  };
  const penalty = Math.min(MAX_HEALTH_PENALTY, state.healthPenalty + 1);
  return applyUpdates({ ...ended, healthPenalty: penalty }, [suspect]);
}

/** Ends the probe that an ack answers. */
export function finishProbe(
  state: MembershipState,
  sequence: number,
): MembershipState {
  if (state.probe?.sequence !== sequence) return state;
  return {
    ...state,
    probe: undefined,
    healthPenalty: Math.max(0, state.healthPenalty - 1),
  };
}

/** Pings one dead member now and then, so that parted fleets find together. */
export function stepDeadProbe(
  state: MembershipState,
  random: number,
): ProbeStep {
  if (state.deadIds.length === 0 || state.nowMs < state.nextDeadProbeAtMs) {
    return unchanged(state);
  }
  const index = Math.floor(random * state.deadIds.length);
  const sequence = state.sequence + 1;
  const next = {
    ...state,
    sequence,
    nextDeadProbeAtMs: state.nowMs + DEAD_PROBE_PERIOD_MS,
  };
  return ping(next, state.deadIds[index] ?? '', { sequence, random });
}

function shuffled(items: readonly string[], random: number): readonly string[] {
  const draw = createDraw(random);
  const result = [...items];
  result.forEach((item, index) => {
    const other = index + draw(result.length - index);
    result[index] = result[other] ?? item;
    result[other] = item;
  });
  return result;
}
