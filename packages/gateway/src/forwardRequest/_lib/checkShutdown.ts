import {
  allLoads,
  estimateLongestAnswerMs,
  fitsGrace,
  longestDuration,
  type RequestClass,
} from '@endivegate/core/forwarding';
import type { SendPlan } from '../../planSend/index.ts';
import type { ForwardCall, ForwardContext, GracePeriod } from '../types.ts';

/** A request that may be sent while its entry shuts down. */
export interface ShutdownQuery {
  readonly call: ForwardCall;
  /** When the request was read in full. */
  readonly readAtMs: number;
  readonly deadlineAtMs: number;
  /** Plans the send; undefined if no target can take it. */
  readonly plan: () => SendPlan | undefined;
}

/** Whether an entry that shuts down sends a request, and what this rests on. */
export interface ShutdownCheck {
  readonly isTaken: boolean;
  readonly grace: GracePeriod;
  /** Time after which the request ends at the latest. */
  readonly boundMs: number;
  /** Longest time expected; undefined if unknown. */
  readonly expectedMs: number | undefined;
  /** What the expected time is taken from. */
  readonly source: 'answers' | 'model' | 'none';
  /** Number of answers of its kind, and the time since the last one. */
  readonly answers: number;
  readonly answersAgeMs: number | undefined;
}

/**
 * Checks whether an answer that begins now ends before the entry does.
 *
 * @param query - The request.
 * @param context - The shutdown of the entry, and what is known of such requests.
 * @returns The result; undefined while the entry does not shut down.
 */
export function checkShutdown(
  query: ShutdownQuery,
  context: Pick<ForwardContext, 'runtime' | 'shutdown' | 'now'>,
): ShutdownCheck | undefined {
  const grace = context.shutdown?.grace();
  if (grace === undefined) return undefined;
  const nowMs = context.now();
  const boundMs = query.deadlineAtMs - nowMs;
  const expected = expectedDuration(query, context);
  const isTaken = fitsGrace({
    ...grace,
    readMs: grace.elapsedMs - (nowMs - query.readAtMs),
    boundMs,
    longestMs: expected.expectedMs,
    isRepeatable: query.call.route.repeat === 'idempotent',
  });
  return { isTaken, grace, boundMs, ...expected };
}

/** Few answers may contradict the cost model, for example of slow engines. */
function expectedDuration(
  query: ShutdownQuery,
  context: Pick<ForwardContext, 'runtime' | 'now'>,
): Pick<ShutdownCheck, 'expectedMs' | 'source' | 'answers' | 'answersAgeMs'> {
  const known = longestDuration(
    context.runtime.state().durations,
    requestClass(query.call),
    context.now(),
  );
  const { answers, longestMs, ageMs: answersAgeMs } = known;
  const fromAnswers = { answers, answersAgeMs };
  if (known.isCertain) {
    return { expectedMs: longestMs, source: 'answers', ...fromAnswers };
  }
  const modelledMs = modelledDurationMs(query, context);
  if (modelledMs === undefined) {
    return { expectedMs: undefined, source: 'none', ...fromAnswers };
  }
  return modelledMs < longestMs
    ? { expectedMs: longestMs, source: 'answers', ...fromAnswers }
    : { expectedMs: modelledMs, source: 'model', ...fromAnswers };
}

/** What durations of requests are recorded by. */
export function requestClass({ route, caller }: ForwardCall): RequestClass {
  return { route: route.name, prompt: caller.prompt };
}

/** Time that a prompt may take by the cost model of its engines; undefined for plain calls,
 * and if no engine can take it. */
function modelledDurationMs(
  { call, plan }: ShutdownQuery,
  { runtime, now }: Pick<ForwardContext, 'runtime' | 'now'>,
): number | undefined {
  const { prompt } = call.caller;
  const { engine } = call.service;
  if (prompt === undefined || engine === undefined) return undefined;
  const planned = plan();
  if (planned?.firstEventMs === undefined) return undefined;
  const { load: loads, roster } = runtime.state();
  const load = allLoads(loads, now()).get(planned.target.id);
  return estimateLongestAnswerMs(engine, {
    ...prompt,
    firstEventMs: planned.firstEventMs,
    decodingRequests: load?.decodingRequests ?? 0,
    contextTokens: load?.contextTokens ?? 0,
    slowdown: roster.targets.get(planned.target.id)?.slowdown ?? 1,
  });
}
