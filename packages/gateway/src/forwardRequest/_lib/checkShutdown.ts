import {
  allLoads,
  checkGrace,
  estimateLongestAnswerMs,
  type GraceCheck,
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
export interface ShutdownCheck extends GraceCheck {
  readonly grace: GracePeriod;
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
  const { call, readAtMs, deadlineAtMs } = query;
  const check = checkGrace(
    {
      grace,
      readAtMs,
      deadlineAtMs,
      nowMs: context.now(),
      kind: requestClass(call),
      repeat: call.route.repeat,
    },
    {
      durations: context.runtime.state().durations,
      modelledMs: () => modelledDurationMs(query, context),
    },
  );
  return { ...check, grace };
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
