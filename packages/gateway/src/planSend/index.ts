import type {
  ForwardingRoute,
  ForwardingService,
} from '@endivegate/contracts/forwarding';
import {
  allLoads,
  availableTargets,
  cellTargets,
  formsCells,
  isColdTarget,
  type GatewayState,
  type PlannedReservation,
  type PromptDemand,
  type RelayQuery,
  pickRelay,
  pickTarget,
  planPrompt,
  type RosterTarget,
  valueOfPrompt,
} from '@endivegate/core/forwarding';
import type { DeclaredPrompt } from '../httpDialect/index.ts';

/** A request to send to one of a service's targets. */
export interface SendQuery {
  readonly service: ForwardingService;
  readonly route: ForwardingRoute;
  readonly prompt: DeclaredPrompt | undefined;
  /** Targets that this request was already sent to. */
  readonly excludedIds: ReadonlySet<string>;
  /** Time until the latency target; negative once it is missed. */
  readonly latencyBudgetMs: number;
  /** Time until the caller gives up on a stream without events. */
  readonly patienceMs: number;
  readonly nowMs: number;
  readonly dataCentre: string;
  /** See `EngineView`; only given where requests wait for memory. */
  readonly memoryUtilisation?: number | undefined;
}

/** Where a request is sent: a target, or a peer. */
export type SendDestination = Pick<RosterTarget, 'id' | 'address' | 'bornMs'>;

/** The chosen target and helpers of a send, and its expected costs. */
export interface SendPlan {
  readonly target: SendDestination;
  /** Whether `target` is a peer that serves the request in place of this entry. */
  readonly isRelay: boolean;
  /** Engines that prefill parts of the prompt besides `target`. */
  readonly helpers: readonly RosterTarget[];
  /** Expected prefill time of each part. */
  readonly partPrefillMs: number;
  /**
   * Expected time to first event once a slot is free; undefined for plain
   * calls.
   */
  readonly firstEventMs: number | undefined;
  /** Expected wait for a free slot. */
  readonly slotWaitMs: number;
  /** Memory to reserve at helpers before sending the request. */
  readonly reservations: readonly PlannedReservation[];
  readonly memoryTokens: number;
  /** Whether the targets have room for the prompt now. */
  readonly fits: boolean;
  readonly contextTokens: number;
  readonly isShort: boolean;
  /** Value of meeting the latency target; see `valueOfPrompt`. */
  readonly value: number;
  /** Probability that the first event misses the latency target. */
  readonly lateShare: number;
  /** Expected loss of other prompts that it delays, in on-time requests. */
  readonly delayCost: number;
}

/**
 * Part counts for a prompt that is sent again. They are kept low because the
 * target refuses the prompt if any helper is gone, and few sends remain.
 */
const RESEND_PART_COUNTS = [1, 2, 3, 4];

/** Expected output as a share of the declared maximum, if there is no hint. */
const EXPECTED_OUTPUT_SHARE = 0.5;

/**
 * Plans one send from the state of the gateway.
 *
 * @param state - State of the gateway.
 * @param query - The request.
 * @returns The plan, or undefined if the service has no usable target left.
 *
 * @example
 * planSend(runtime.state(), query)?.target.address;
 */
export function planSend(
  state: GatewayState,
  query: SendQuery,
): SendPlan | undefined {
  const { service, prompt, nowMs } = query;
  const usable = availableTargets(state, service.name, nowMs).filter(
    (target) => !query.excludedIds.has(target.id),
  );
  const loads = allLoads(state.load, nowMs);
  if (service.engine === undefined || prompt === undefined) {
    const { dataCentre } = query;
    const target = pickTarget({ targets: usable, loads, nowMs, dataCentre });
    return target === undefined ? undefined : plainPlan(target);
  }
  const isCell = formsCells({ ...state, dataCentre: query.dataCentre });
  const targets = isCell ? cellTargets(usable, query) : usable;
  const outputTokens =
    prompt.hintedOutputTokens ?? prompt.maxOutputTokens * EXPECTED_OUTPUT_SHARE;
  const plannedPrompt: PromptDemand = {
    promptTokens: prompt.promptTokens,
    outputTokens,
    latencyBudgetMs: query.latencyBudgetMs,
    patienceMs: query.patienceMs,
    gapTargetMs: query.route.gapTargetMs,
  };
  const resendOptions =
    query.excludedIds.size > 0 ? { partCounts: RESEND_PART_COUNTS } : {};
  const fleet = {
    cost: service.engine,
    targets,
    loads,
    nowMs,
    memoryUtilisation: query.memoryUtilisation,
  };
  const split = planPrompt(plannedPrompt, fleet, resendOptions);
  const isCold = (target: RosterTarget): boolean =>
    isColdTarget(state.coldTargets, target, nowMs);
  const isSplitOverCold =
    split !== undefined &&
    split.helpers.length > 0 &&
    [split.target, ...split.helpers].some(isCold);
  const warm = targets.filter((target) => !isCold(target));
  // A split prompt costs each of its targets several requests at once.
  const plan = isSplitOverCold
    ? (planPrompt(plannedPrompt, { ...fleet, targets: warm }, resendOptions) ??
      planPrompt(plannedPrompt, fleet, { partCounts: [1] }))
    : split;
  return plan === undefined
    ? undefined
    : {
        ...plan,
        isRelay: false,
        contextTokens: plan.memoryTokens,
        value: valueOfPrompt(prompt.promptTokens),
      };
}

/**
 * Plans to relay a request to a peer, while this entry reaches no targets.
 *
 * @param state - State of the gateway.
 * @param query - Where and when, and the peers that were tried.
 * @returns The plan, or undefined if no peer reaches targets.
 *
 * @example
 * planRelay(runtime.state(), query)?.target.address;
 */
export function planRelay(
  state: GatewayState,
  query: Omit<RelayQuery, 'peers' | 'load'>,
): SendPlan | undefined {
  const peer = pickRelay({ ...state, ...query });
  if (peer === undefined) return undefined;
  const { name, peerAddress, startedAtUnixMs } = peer;
  const target = { id: name, address: peerAddress, bornMs: startedAtUnixMs };
  return { ...plainPlan(target), isRelay: true };
}

/** Plans a plain call, which has no prompt and needs no helpers or memory. */
function plainPlan(target: SendDestination): SendPlan {
  return {
    target,
    isRelay: false,
    helpers: [],
    partPrefillMs: 0,
    firstEventMs: undefined,
    slotWaitMs: 0,
    reservations: [],
    memoryTokens: 0,
    fits: true,
    contextTokens: 0,
    value: 1,
    lateShare: 0,
    delayCost: 0,
    isShort: false,
  };
}
