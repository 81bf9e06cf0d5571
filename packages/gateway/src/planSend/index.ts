import type {
  ForwardingRoute,
  ForwardingService,
} from '@endivegate/contracts/forwarding';
import {
  allLoads,
  type GatewayState,
  type MemorySeat,
  pickTarget,
  planPrompt,
  type RosterTarget,
  usableTargets,
  valueOfPrompt,
} from '@endivegate/core/forwarding';
import type { DeclaredPrompt } from '../httpDialect/index.ts';

/** A request that is to be sent to some target of a service. */
export interface SendQuery {
  readonly service: ForwardingService;
  readonly route: ForwardingRoute;
  readonly prompt: DeclaredPrompt | undefined;
  /** Targets that this request was sent to before. */
  readonly excludedIds: ReadonlySet<string>;
  readonly aimLeftMs: number;
  /** Time until the caller leaves a stream without an event. */
  readonly patienceMs: number;
  readonly nowMs: number;
  readonly dataCentre: string;
}

/** Where a request goes, and what is expected of it. */
export interface SendPlan {
  readonly target: RosterTarget;
  readonly helpers: readonly RosterTarget[];
  readonly partReadMs: number;
  /** Expected time to the first event; undefined for plain calls. */
  readonly firstEventMs: number | undefined;
  /** Expected wait for a slot before that time begins. */
  readonly slotWaitMs: number;
  /** Memory to reserve at helpers before the request is sent. */
  readonly seats: readonly MemorySeat[];
  readonly memoryTokens: number;
  readonly contextTokens: number;
  readonly isShort: boolean;
  /** What its being on time is worth, among prompts. */
  readonly value: number;
}

/** Numbers of engines for a prompt that was sent before: each helper that is
 * gone makes a target refuse it, and there are few sends left. */
const RESEND_PART_COUNTS = [1, 2, 3, 4];

/** Share of the declared maximum that is planned with when there is no hint. */
const OUTPUT_SHARE = 0.5;

/**
 * Plans one send from the state of the gateway.
 *
 * @param state - What the gateway believes.
 * @param query - The request.
 * @returns The plan, or undefined when the service has no target left.
 *
 * @example
 * planSend(runtime.state(), query)?.target.address;
 */
export function planSend(
  state: GatewayState,
  query: SendQuery,
): SendPlan | undefined {
  const { service, prompt, nowMs } = query;
  const targets = usableTargets(state.roster, service.name).filter(
    (target) => !query.excludedIds.has(target.id),
  );
  const loads = allLoads(state.load, nowMs);
  if (service.engine === undefined || prompt === undefined) {
    const { dataCentre } = query;
    const target = pickTarget({ targets, loads, nowMs, dataCentre });
    return target === undefined ? undefined : plainPlan(target);
  }
  const outputTokens =
    prompt.hintedOutputTokens ?? prompt.maxOutputTokens * OUTPUT_SHARE;
  const plan = planPrompt(
    {
      promptTokens: prompt.promptTokens,
      outputTokens,
      aimLeftMs: query.aimLeftMs,
      patienceMs: query.patienceMs,
      gapTargetMs: query.route.gapTargetMs,
    },
    { cost: service.engine, targets, loads, nowMs },
    query.excludedIds.size > 0 ? { partCounts: RESEND_PART_COUNTS } : {},
  );
  return plan === undefined
    ? undefined
    : {
        ...plan,
        contextTokens: plan.memoryTokens,
        value: valueOfPrompt(prompt.promptTokens),
      };
}

function plainPlan(target: RosterTarget): SendPlan {
  return {
    target,
    helpers: [],
    partReadMs: 0,
    firstEventMs: undefined,
    slotWaitMs: 0,
    seats: [],
    memoryTokens: 0,
    contextTokens: 0,
    value: 1,
    isShort: false,
  };
}
