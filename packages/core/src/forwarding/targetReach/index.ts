import type { Step } from '../../step/index.ts';
import type { RosterState, RosterTarget } from '../targetRoster/index.ts';

/**
 * Whether this entry reaches targets: `probing` after several failed, until probes
 * tell whether all paths are lost.
 */
export type ReachPhase = 'reaching' | 'probing' | 'cutOff';

/** What this entry knows of its paths to targets. */
export interface ReachState {
  readonly phase: ReachPhase;
  /** Time of the last failure by target id, since the last new connection. */
  readonly failures: ReadonlyMap<string, number>;
  /** Successful rounds of probes in a row while cut off. */
  readonly soundRounds: number;
}

/** Events of the reach; times are from the monotonic clock. */
export type ReachEvent =
  /** A connection failed, broke or fell silent. */
  | {
      readonly type: 'targetReach.failed';
      readonly atMs: number;
      readonly id: string;
    }
  /** No target has sent anything for a while, though requests are open. */
  | { readonly type: 'targetReach.silent' }
  /** A new connection to a target was opened. */
  | { readonly type: 'targetReach.connected' }
  /** A round of probes has ended. */
  | {
      readonly type: 'targetReach.probed';
      readonly probed: number;
      readonly connected: number;
    };

/** A change to log, or a round of probes to start. */
export type ReachEffect =
  | { readonly type: 'targetReach.probeDue' }
  | {
      readonly type: 'targetReach.changed';
      readonly phase: 'reaching' | 'cutOff';
      readonly failedTargets: number;
    };

/** Failures count together within this time. */
const FAILURE_WINDOW_MS = 4000;

/** Targets that fail before others are probed. One may pause, and another may end at
 * the same time, so a probe decides. */
const MIN_FAILED_TARGETS = 2;

/** Rounds of probes in a row that end a cut, so that a single connection that gets
 * through does not. */
const SOUND_ROUNDS = 2;

/** Targets in one round of probes. */
const MAX_PROBED_TARGETS = 3;

/** State of an entry that has not sent anything. */
export const initialReach: ReachState = {
  phase: 'reaching',
  failures: new Map(),
  soundRounds: 0,
};

/**
 * Tells a lost path to all targets from failures of some targets. Answers the load
 * pattern "partitioned sender".
 *
 * Failures only raise the question; new connections to other targets answer it.
 * Answers on connections that were open before say nothing about new ones.
 *
 * @param state - Current state.
 * @param event - The event to apply.
 * @returns The new state, changes to log and whether to probe.
 *
 * @example
 * reduceReach(initialReach, { type: 'targetReach.failed', atMs, id });
 */
export function reduceReach(
  state: ReachState,
  event: ReachEvent,
): Step<ReachState, ReachEffect> {
  switch (event.type) {
    case 'targetReach.failed':
      return applyFailure(state, event.id, event.atMs);
    case 'targetReach.silent':
      return state.phase === 'reaching'
        ? startProbing(state)
        : { state, effects: [] };
    case 'targetReach.connected':
      return state.phase === 'cutOff' || state.failures.size === 0
        ? { state, effects: [] }
        : { state: { ...state, failures: new Map() }, effects: [] };
    case 'targetReach.probed':
      return applyProbes(state, event);
  }
}

/**
 * Chooses the targets to probe: those that did not fail first, of as many data
 * centres and services as possible.
 *
 * @param roster - Listed targets.
 * @param failures - Targets that failed.
 * @param random - Returns a number uniform in [0, 1).
 * @returns Up to three targets.
 *
 * @example
 * pickProbedTargets(state.roster, state.targetReach.failures);
 */
export function pickProbedTargets(
  roster: RosterState,
  failures: ReadonlyMap<string, number>,
  random: () => number = Math.random,
): readonly RosterTarget[] {
  const candidates = [...roster.targets.values()]
    .filter((target) => !target.draining)
    .map((target) => ({
      target,
      rank: random() + (failures.has(target.id) ? 1 : 0),
    }))
    .toSorted((a, b) => a.rank - b.rank)
    .map(({ target }) => target);
  return Array.from({
    length: Math.min(MAX_PROBED_TARGETS, candidates.length),
  }).reduce<readonly RosterTarget[]>((chosen) => {
    const likeness = (target: RosterTarget): number =>
      chosen.filter((one) => one.dataCentre === target.dataCentre).length +
      chosen.filter((one) => one.service === target.service).length;
    const [next] = candidates
      .filter((target) => !chosen.includes(target))
      .toSorted((a, b) => likeness(a) - likeness(b));
    return next === undefined ? chosen : [...chosen, next];
  }, []);
}

function applyFailure(
  state: ReachState,
  id: string,
  atMs: number,
): Step<ReachState, ReachEffect> {
  if (state.phase === 'cutOff') return { state, effects: [] };
  const recent = [...state.failures].filter(
    ([, failedAtMs]) => atMs - failedAtMs < FAILURE_WINDOW_MS,
  );
  const failures = new Map(recent).set(id, atMs);
  const next = { ...state, failures };
  const isDue =
    state.phase === 'reaching' && failures.size >= MIN_FAILED_TARGETS;
  return isDue ? startProbing(next) : { state: next, effects: [] };
}

function startProbing(state: ReachState): Step<ReachState, ReachEffect> {
  return {
    state: { ...state, phase: 'probing' },
    effects: [{ type: 'targetReach.probeDue' }],
  };
}

function applyProbes(
  state: ReachState,
  round: { readonly probed: number; readonly connected: number },
): Step<ReachState, ReachEffect> {
  const failedTargets = state.failures.size;
  const isSound = round.connected > 0 || round.probed === 0;
  if (state.phase !== 'cutOff') {
    return isSound
      ? { state: initialReach, effects: [] }
      : {
          state: { ...state, phase: 'cutOff', soundRounds: 0 },
          effects: [
            { type: 'targetReach.changed', phase: 'cutOff', failedTargets },
            { type: 'targetReach.probeDue' },
          ],
        };
  }
  const soundRounds = isSound ? state.soundRounds + 1 : 0;
  return soundRounds >= SOUND_ROUNDS
    ? {
        state: initialReach,
        effects: [
          { type: 'targetReach.changed', phase: 'reaching', failedTargets },
        ],
      }
    : {
        state: { ...state, soundRounds },
        effects: [{ type: 'targetReach.probeDue' }],
      };
}
