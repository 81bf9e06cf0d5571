import { chainSteps } from '../../chainSteps/index.ts';
import type { Step } from '../../step/index.ts';
import { unchanged } from '../../step/index.ts';
import type { MembershipEffect, MembershipState, Probe } from '../types.ts';
import { applyUpdates } from './applyUpdates.ts';
import {
  DEAD_PROBE_PERIOD_MS,
  MAX_INDIRECT_ROUNDS,
  MAX_HEALTH_PENALTY,
  PROBE_PERIOD_MS,
  PROBE_ROUND_MS,
  MAX_CORRECTED_UPDATES,
} from './constants.ts';
import { memberUpdate, sendPacket } from './packets.ts';
import { pickProxies } from './pickProxies.ts';
import { createRandomInt, sample } from './random.ts';

type ProbeStep = Step<MembershipState, MembershipEffect>;

/** Advances the probe in progress, or starts the next one when it is due. */
export function stepProbe(state: MembershipState, random: number): ProbeStep {
  const { probe } = state;
  if (!probe) return startProbe(state, random);
  const elapsedMs = state.nowMs - probe.startedAtMs;
  const slowdown = 1 + state.healthPenalty;
  if (elapsedMs >= PROBE_PERIOD_MS * slowdown) return failProbe(state, probe);
  if (
    probe.rounds < MAX_INDIRECT_ROUNDS &&
    elapsedMs >= PROBE_ROUND_MS * slowdown * (probe.rounds + 1)
  ) {
    return startIndirectRound(state, probe, random);
  }
  return unchanged(state);
}

function startProbe(state: MembershipState, random: number): ProbeStep {
  if (state.nowMs < state.nextProbeAtMs || state.probeOrder.length === 0) {
    return unchanged(state);
  }
  const cursor = state.probeCursor % state.probeOrder.length;
  const subjectId = state.probeOrder[cursor] ?? '';
  const sequence = state.sequence + 1;
  const wraps = cursor + 1 === state.probeOrder.length;
  const started: MembershipState = {
    ...state,
    sequence,
    probeOrder: wraps ? shuffle(state.probeOrder, random) : state.probeOrder,
    probeCursor: cursor + 1,
    nextProbeAtMs: state.nowMs + PROBE_PERIOD_MS,
    probe: {
      subjectId,
      sequence,
      startedAtMs: state.nowMs,
      rounds: 0,
    },
  };
  return sendPing(started, subjectId, { sequence, random });
}

/**
 * Sends a ping. It carries the receiver's own record if that is suspect or dead,
 * so that the receiver can refute it, and some suspicions about other members,
 * which the receiver corrects if it has newer records.
 */
function sendPing(
  state: MembershipState,
  subjectId: string,
  options: { readonly sequence: number; readonly random: number },
): ProbeStep {
  const { sequence, random } = options;
  const member = state.members.get(subjectId);
  if (!member) return unchanged(state);
  const suspectIds = sample(
    [...state.suspicionDeadlines.keys()],
    MAX_CORRECTED_UPDATES,
    createRandomInt(random),
  );
  const ids = new Set(
    member.status === 'alive' ? suspectIds : [subjectId, ...suspectIds],
  );
  const requiredUpdates = [...ids].flatMap((entryId) => {
    const record = state.members.get(entryId);
    return record ? [memberUpdate(record, false)] : [];
  });
  const to = member.address;
  return sendPacket(state, { kind: 'ping', to, sequence, requiredUpdates });
}

/** Asks other members to probe, and repeats the ping in case it was lost. */
function startIndirectRound(
  state: MembershipState,
  probe: Probe,
  random: number,
): ProbeStep {
  const { subjectId, sequence } = probe;
  const proxies = pickProxies(state, subjectId, createRandomInt(random));
  const started: MembershipState = {
    ...state,
    probe: { ...probe, rounds: probe.rounds + 1 },
  };
  return chainSteps<MembershipState, MembershipEffect>(started, [
    (s) => sendPing(s, subjectId, { sequence, random }),
    ...proxies.map(
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

/** Ends the current probe if the ack belongs to it. */
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

/**
 * Periodically pings one dead member, so that the fleet merges again after a
 * network partition.
 */
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
  return sendPing(next, state.deadIds[index] ?? '', { sequence, random });
}

function shuffle(items: readonly string[], random: number): readonly string[] {
  const randomInt = createRandomInt(random);
  const result = [...items];
  result.forEach((item, index) => {
    const other = index + randomInt(result.length - index);
    result[index] = result[other] ?? item;
    result[other] = item;
  });
  return result;
}
