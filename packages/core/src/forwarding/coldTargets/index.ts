import type { RosterTarget } from '../targetRoster/index.ts';
import { hasSameMembers, isSettled, withMembers } from './_lib/members.ts';
import { withReport, WARM_UP_MARGIN_MS } from './_lib/reports.ts';
import { spacingMsOf } from './_lib/shares.ts';
import type {
  ColdReport,
  ColdTarget,
  ColdTargetsEffect,
  ColdTargetsEvent,
  ColdTargetsState,
  ColdTargetsStep,
} from './types.ts';

export { MAX_WARM_UP_MS } from './_lib/reports.ts';
export type * from './types.ts';

/** An entry that ran no tick for this long was frozen: what it knows is out of date.
 * Ticks are due every 200 ms. */
const FROZEN_MS = 1000;

/** When a process is looked at that no tick has seen yet. */
const NEXT_TICK_MS = 200;

const MS_PER_S = 1000;

type Ticked = Extract<ColdTargetsEvent, { type: 'coldTargets.ticked' }>;

/** Cold targets before the first tick. */
export const initialColdTargets: ColdTargetsState = {
  rules: new Map(),
  bornMsById: undefined,
  cold: new Map(),
  members: new Map(),
  tickedAtMs: undefined,
  settlingSinceMs: 0,
  isServing: false,
  hasHadMembers: false,
};

/**
 * Maintains which targets are cold, and when this entry may send to them. Answers
 * the load pattern "one bound on many senders", for a bound that partitions must not
 * break either.
 *
 * The newest report on the newest process wins, so entries that received the same
 * reports agree. The requests that a cold target takes in a second are divided among
 * the entries known within the last minutes, whether or not they were heard just
 * now. Permits do not accumulate: an entry sends one request at a time and then
 * waits.
 *
 * @param state - Current cold targets.
 * @param event - The event to apply.
 * @returns The new cold targets and the changes to log.
 *
 * @example
 * reduceColdTargets(state, { type: 'coldTargets.sent', atMs, id, calls: 1 });
 */
export function reduceColdTargets(
  state: ColdTargetsState,
  event: ColdTargetsEvent,
): ColdTargetsStep {
  switch (event.type) {
    case 'coldTargets.responded': {
      const { report, sentAtMs } = event;
      const known = state.cold.get(report.id);
      const isOutdated =
        report.leftMs <= 0 && (known === undefined || sentAtMs < known.atMs);
      return isOutdated
        ? { state, effects: [] }
        : withReport(state, report, 'response');
    }
    case 'coldTargets.received':
      return event.reports.reduce<ColdTargetsStep>(
        (step, report) => chain(step, (now) => withReport(now, report, 'peer')),
        { state, effects: [] },
      );
    case 'coldTargets.sent':
      return { state: withSend(state, event), effects: [] };
    case 'coldTargets.ticked':
      return applyTick(state, event);
  }
}

/** What keeps this entry from sending to a cold target. */
export interface WarmingUp {
  readonly obstacle: 'warmingUp';
  /** When this entry, or else another one, may send there. */
  readonly untilMs: number;
}

/**
 * Determines whether a target's warm-up forbids this entry to send to it now.
 *
 * @param state - Current cold targets.
 * @param target - The target.
 * @param nowMs - Current monotonic time.
 * @returns The time of the next permit, or undefined if a request may be sent.
 *
 * @example
 * warmUpObstacle(state.coldTargets, target, performance.now())?.untilMs;
 */
export function warmUpObstacle(
  state: ColdTargetsState,
  target: RosterTarget,
  nowMs: number,
): WarmingUp | undefined {
  if (isUnseen(state, target)) return forbidden(nowMs + NEXT_TICK_MS);
  const rule = state.rules.get(target.service);
  if (rule === undefined) return undefined;
  const cold = coldTargetOf(state, target, nowMs);
  if (cold === undefined) return undefined;
  const warmAtMs = cold.atMs + cold.leftMs;
  if (cold.spacingMs === Infinity) {
    const otherAtMs = nowMs + MS_PER_S / rule.requestsPerS;
    return forbidden(Math.min(warmAtMs, otherAtMs));
  }
  if (isFrozen(state, nowMs)) return forbidden(nowMs + NEXT_TICK_MS);
  const permitAtMs = cold.pacedFromMs + cold.spacingMs;
  return permitAtMs <= nowMs
    ? undefined
    : forbidden(Math.min(warmAtMs, permitAtMs));
}

/**
 * Checks whether a target is cold. A cold target takes no part of a split prompt,
 * which costs it several requests at once.
 *
 * @param state - Current cold targets.
 * @param target - The target.
 * @param nowMs - Current monotonic time.
 * @returns True if the requests to it are bounded now.
 *
 * @example
 * isColdTarget(state.coldTargets, target, performance.now());
 */
export function isColdTarget(
  state: ColdTargetsState,
  target: RosterTarget,
  nowMs: number,
): boolean {
  return (
    state.rules.has(target.service) &&
    coldTargetOf(state, target, nowMs) !== undefined
  );
}

/**
 * Lists the reports on cold targets to send to peers.
 *
 * @param state - Current cold targets.
 * @param options - Whether to include what other entries reported, and the time.
 * @returns The newest report on each cold target.
 *
 * @example
 * coldReports(state.coldTargets, { includeReceived: false, nowMs });
 */
export function coldReports(
  state: ColdTargetsState,
  options: { readonly includeReceived: boolean; readonly nowMs: number },
): readonly ColdReport[] {
  return [...state.cold.values()]
    .filter(({ source }) => isSaidHere(source) || options.includeReceived)
    .filter(({ atMs, leftMs }) => atMs + leftMs > options.nowMs)
    .map(({ id, bornMs, leftMs, atMs }) => ({ id, bornMs, leftMs, atMs }));
}

/** Whether a target said to this entry that it is cold. */
function isSaidHere(source: ColdTarget['source']): boolean {
  return source === 'response' || source === 'listed';
}

function forbidden(untilMs: number): WarmingUp {
  return { obstacle: 'warmingUp', untilMs };
}

/** Whether the process may be cold without any tick having looked at it. */
function isUnseen(state: ColdTargetsState, target: RosterTarget): boolean {
  const saysCold = (target.warmUpLeftMs ?? 0) > 0;
  if (state.bornMsById === undefined) return saysCold;
  if (!state.rules.has(target.service)) return false;
  const bornMs = state.bornMsById.get(target.id);
  if (bornMs === undefined || bornMs < target.bornMs) return true;
  const isKnownCold = state.cold.get(target.id)?.bornMs === target.bornMs;
  const isLaterThanTick = (target.listedAtMs ?? 0) > (state.tickedAtMs ?? 0);
  return saysCold && !isKnownCold && isLaterThanTick;
}

function coldTargetOf(
  state: ColdTargetsState,
  { id, bornMs }: RosterTarget,
  nowMs: number,
): ColdTarget | undefined {
  const cold = state.cold.get(id);
  return cold?.bornMs === bornMs &&
    cold.atMs + cold.leftMs + WARM_UP_MARGIN_MS > nowMs
    ? cold
    : undefined;
}

function isFrozen({ tickedAtMs }: ColdTargetsState, nowMs: number): boolean {
  return tickedAtMs !== undefined && nowMs - tickedAtMs >= FROZEN_MS;
}

function chain(
  step: ColdTargetsStep,
  next: (state: ColdTargetsState) => ColdTargetsStep,
): ColdTargetsStep {
  const { state, effects } = next(step.state);
  return { state, effects: [...step.effects, ...effects] };
}

/** Requests to a warm target are not counted: it starts without permits when it
 * becomes cold. */
function withSend(
  state: ColdTargetsState,
  event: Extract<ColdTargetsEvent, { type: 'coldTargets.sent' }>,
): ColdTargetsState {
  const cold = state.cold.get(event.id);
  if (cold === undefined || cold.spacingMs === Infinity) return state;
  const extraMs = Math.max(event.calls - 1, 0) * cold.spacingMs;
  return {
    ...state,
    cold: new Map(state.cold).set(event.id, {
      ...cold,
      pacedFromMs: Math.max(cold.pacedFromMs, event.atMs) + extraMs,
    }),
  };
}

function applyTick(state: ColdTargetsState, event: Ticked): ColdTargetsStep {
  const { atMs, rules, own } = event;
  if (rules.size === 0 && state.rules.size === 0) {
    return { state, effects: [] };
  }
  const members = withMembers(state.members, event.members, atMs);
  const hasBegun = isFrozen(state, atMs) || (own.isServing && !state.isServing);
  const ticked: ColdTargetsState = {
    ...state,
    rules,
    members,
    tickedAtMs: atMs,
    isServing: own.isServing,
    hasHadMembers: state.hasHadMembers || members.size > 0,
    settlingSinceMs:
      hasBegun && state.tickedAtMs !== undefined
        ? atMs
        : Math.max(state.settlingSinceMs, own.startedAtMs),
  };
  const listed = withTargets(ticked, event);
  const warm = withoutWarm(listed.state, atMs);
  const isSameFleet =
    hasSameMembers(state.members, members) && state.rules === rules;
  return {
    state: withShares(warm.state, event, isSameFleet),
    effects: [...listed.effects, ...warm.effects],
  };
}

/** Applies what the list says, and finds processes that started. */
function withTargets(state: ColdTargetsState, event: Ticked): ColdTargetsStep {
  const { targets, rules, atMs } = event;
  const known = state.bornMsById;
  if (known === undefined && targets.length === 0)
    return { state, effects: [] };
  const isNew = ({ id, bornMs }: RosterTarget): boolean =>
    known !== undefined && (known.get(id) ?? -Infinity) < bornMs;
  const bornMsById = new Map(known);
  targets.forEach(({ id, bornMs }) => {
    bornMsById.set(id, Math.max(bornMsById.get(id) ?? bornMs, bornMs));
  });
  return targets.reduce<ColdTargetsStep>(
    (step, target) => {
      const { id, bornMs, warmUpLeftMs = 0, listedAtMs = atMs } = target;
      const rule = rules.get(target.service);
      if (rule === undefined) return step;
      if (warmUpLeftMs > 0) {
        const report = { id, bornMs, leftMs: warmUpLeftMs, atMs: listedAtMs };
        return chain(step, (now) => withReport(now, report, 'listed'));
      }
      if (!isNew(target) || rule.warmUpMs <= 0) return step;
      const report = { id, bornMs, leftMs: rule.warmUpMs, atMs };
      return chain(step, (now) =>
        now.cold.get(id)?.bornMs === bornMs
          ? { state: now, effects: [] }
          : withReport(now, report, 'started'),
      );
    },
    { state: { ...state, bornMsById }, effects: [] },
  );
}

function withoutWarm(state: ColdTargetsState, atMs: number): ColdTargetsStep {
  const warm = [...state.cold.values()].filter(
    (cold) => cold.atMs + cold.leftMs + WARM_UP_MARGIN_MS <= atMs,
  );
  if (warm.length === 0) return { state, effects: [] };
  const ids = new Set(warm.map(({ id }) => id));
  return {
    state: {
      ...state,
      cold: new Map([...state.cold].filter(([id]) => !ids.has(id))),
    },
    effects: warm
      .filter(({ leftMs }) => leftMs > 0)
      .map(({ id }): ColdTargetsEffect => ({
        type: 'coldTargets.changed',
        id,
        isCold: false,
        leftMs: 0,
        source: 'elapsed',
        isClamped: false,
      })),
  };
}

/** Divides the requests to cold targets anew if the entries changed, and for targets
 * without a share. */
function withShares(
  state: ColdTargetsState,
  event: Ticked,
  isSameFleet: boolean,
): ColdTargetsState {
  const { atMs, own, bound } = event;
  if (state.cold.size === 0) return state;
  const isSettledNow = isSettled(state, atMs);
  const targetById = new Map(event.targets.map((one) => [one.id, one]));
  const cold = [...state.cold.values()].map((one): ColdTarget => {
    const target = targetById.get(one.id);
    const rule = state.rules.get(target?.service ?? '');
    if (target === undefined || rule === undefined || !isSettledNow) {
      return { ...one, spacingMs: Infinity, isDivided: false };
    }
    if (isSameFleet && one.isDivided) return one;
    const { members } = state;
    const spacingMs = spacingMsOf({ target, rule, bound, own, members });
    const isBegin = one.spacingMs === Infinity && spacingMs !== Infinity;
    return {
      ...one,
      spacingMs,
      isDivided: true,
      pacedFromMs: isBegin ? Math.max(one.pacedFromMs, atMs) : one.pacedFromMs,
    };
  });
  return { ...state, cold: new Map(cold.map((one) => [one.id, one])) };
}
