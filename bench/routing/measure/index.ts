import {
  lengthClassOf,
  lengthClassSchema,
  type LengthClass,
} from '@endivegate/contracts';
import { MODEL } from '../makeTrace/index.ts';
import type { Outcome, ReplayResult } from '../replay/index.ts';

/** First token times of one length class. */
export interface ClassMeasures {
  readonly requests: number;
  readonly answered: number;
  readonly p50Ms: number | undefined;
  readonly p95Ms: number | undefined;
}

/** What a replay showed. */
export interface Measures {
  readonly requests: number;
  /** Requests answered whole within their time. */
  readonly answeredInTime: number;
  /** Share of all requests answered whole within their time. */
  readonly goodput: number;
  readonly byClass: Readonly<Record<LengthClass, ClassMeasures>>;
  readonly refusals: Readonly<Record<string, number>>;
  /** Admitted requests that neither finished nor failed within their time. */
  readonly late: number;
  /** Jain's index over workspaces' answered shares; 1 is even. */
  readonly fairness: number;
  readonly kvLeftTokens: number;
  readonly peerMessages: number;
  readonly loadReads: number;
}

/** Time by which an end may lag the deadline: one tick and the network. */
const DEADLINE_GRACE_MS = 250;

/**
 * Measures a replay.
 *
 * @param result - What became of the requests.
 * @returns The figures.
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
      outcomes.map(endName).filter((name) => name !== 'answered'),
    ),
    late: outcomes.filter(isLate).length,
    fairness: fairnessOf(outcomes),
    ...counts,
  };
}

/**
 * Tells whether a request was answered whole within its time.
 *
 * @param outcome - What became of the request.
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
 * @param q - Which quantile, 0 to 1.
 * @returns The value at that rank, or `undefined` for none.
 */
export function quantile(
  values: readonly number[],
  q: number,
): number | undefined {
  const sorted = values.toSorted((a, b) => a - b);
  return sorted[Math.min(sorted.length - 1, Math.floor(q * sorted.length))];
}

/** Times are those of requests that got a first token; see `answered` beside. */
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

function endName({ end }: Outcome): string {
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
