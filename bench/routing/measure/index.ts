import {
  lengthClassOf,
  lengthClassSchema,
  type LengthClass,
} from '@endivegate/contracts';
import { MODEL } from '../makeTrace/index.ts';
import type { Outcome, ReplayResult } from '../replay/index.ts';

/** Times to first token in one length class. */
export interface ClassMeasures {
  readonly requests: number;
  readonly answered: number;
  readonly p50Ms: number | undefined;
  readonly p95Ms: number | undefined;
}

/** Metrics of one replay. */
export interface Measures {
  readonly requests: number;
  /** Requests answered completely before their deadline. */
  readonly answeredInTime: number;
  /** Fraction of all requests answered completely before their deadline. */
  readonly goodput: number;
  readonly byClass: Readonly<Record<LengthClass, ClassMeasures>>;
  readonly refusals: Readonly<Record<string, number>>;
  /**
   * Requests that ended more than the grace period after their deadline, or
   * never.
   */
  readonly late: number;
  /** Jain's fairness index of the workspaces' goodput; 1 means equal shares. */
  readonly fairness: number;
  readonly kvLeftTokens: number;
  readonly peerMessages: number;
  readonly loadReads: number;
}

/**
 * Tolerated delay of an end after its deadline, for one tick and the network.
 */
const DEADLINE_GRACE_MS = 250;

/**
 * Computes the metrics of a replay.
 *
 * @param result - Result of the replay.
 * @returns The metrics.
 */
export function measure(result: ReplayResult): Measures {
  const { outcomes, ...counts } = result;
  const prompts = outcomes.filter(({ request }) => request.service === MODEL);
  const inTime = outcomes.filter(isAnsweredInTime);
  return {
    requests: outcomes.length,
    answeredInTime: inTime.length,
    goodput: inTime.length / Math.max(1, outcomes.length),
    byClass: Object.fromEntries(
      lengthClassSchema.options.map((name) => [
        name,
        classMeasures(
          prompts.filter(
            ({ request }) => lengthClassOf(request.promptTokens) === name,
          ),
        ),
      ]),
    ) as Record<LengthClass, ClassMeasures>,
    refusals: countBy(
      outcomes.map(outcomeName).filter((name) => name !== 'answered'),
    ),
    late: outcomes.filter(isLate).length,
    fairness: fairnessOf(outcomes),
    ...counts,
  };
}

/**
 * Checks whether a request was answered completely before its deadline.
 *
 * @param outcome - Outcome of the request.
 * @returns Whether it counts as goodput.
 */
export function isAnsweredInTime(outcome: Outcome): boolean {
  return (
    outcome.end?.type === 'answered' &&
    outcome.endedAtMs !== undefined &&
    outcome.endedAtMs <= outcome.deadlineAtMs
  );
}

/**
 * Returns a quantile of values.
 *
 * @param values - Values in any order.
 * @param q - Quantile to return, 0 to 1.
 * @returns The value at that rank, or `undefined` without values.
 */
export function quantile(
  values: readonly number[],
  q: number,
): number | undefined {
  const sorted = values.toSorted((a, b) => a - b);
  return sorted[Math.min(sorted.length - 1, Math.floor(q * sorted.length))];
}

/**
 * The quantiles cover only requests that received a first token; `answered`
 * counts those answered in time.
 */
function classMeasures(outcomes: readonly Outcome[]): ClassMeasures {
  const firstTokenMs = outcomes.flatMap(({ firstTokenAtMs, arrivedAtMs }) =>
    firstTokenAtMs === undefined ? [] : [firstTokenAtMs - arrivedAtMs],
  );
  return {
    requests: outcomes.length,
    answered: outcomes.filter(isAnsweredInTime).length,
    p50Ms: quantile(firstTokenMs, 0.5),
    p95Ms: quantile(firstTokenMs, 0.95),
  };
}

function outcomeName({ end }: Outcome): string {
  if (end === undefined) return 'open';
  return end.type === 'refused' ? `refused:${end.reason}` : end.type;
}

function isLate({ endedAtMs, deadlineAtMs }: Outcome): boolean {
  return (endedAtMs ?? Infinity) > deadlineAtMs + DEADLINE_GRACE_MS;
}

function fairnessOf(outcomes: readonly Outcome[]): number {
  const workspaces = new Set(outcomes.map(({ request }) => request.workspace));
  const shares = [...workspaces].map((workspace) => {
    const own = outcomes.filter(
      ({ request }) => request.workspace === workspace,
    );
    return own.filter(isAnsweredInTime).length / own.length;
  });
  const total = shares.reduce((sum, share) => sum + share, 0);
  const squares = shares.reduce((sum, share) => sum + share * share, 0);
  return (total * total) / (shares.length * squares);
}

function countBy(names: readonly string[]): Readonly<Record<string, number>> {
  return names.reduce<Record<string, number>>(
    (counts, name) => ({ ...counts, [name]: (counts[name] ?? 0) + 1 }),
    {},
  );
}
