import type { EngineAssignment } from '@endivegate/contracts';
import type { EventBase } from '../../events/index.ts';
import type { PlannedEngine } from '../../planEngines/index.ts';
import type { Step } from '../../step/index.ts';
import { orderDeadlineMs, usableLease } from './lease.ts';
import {
  MAX_FLEET_LOADS,
  LOAD_TIMEOUT_MS,
  ORDER_TIMEOUT_MS,
  READ_BACK_PERIOD_MS,
  type OrderedEngine,
  type OrdersEffect,
  type OrdersState,
} from './state.ts';

type OrdersStep = Step<OrdersState, OrdersEffect>;

const UNKNOWN_ENGINE: OrderedEngine = {
  seen: undefined,
  isBusy: false,
  readAtMs: Number.NEGATIVE_INFINITY,
  orderedAtMs: undefined,
  lastOrdered: undefined,
};

/**
 * Reads back the assignments of the planned engines, and sends orders to those
 * that differ from the plan.
 *
 * @param state - State of the slice.
 * @param event - The clock tick.
 * @returns The next state and effects.
 */
export function reconcileEngines(
  state: OrdersState,
  event: EventBase,
): OrdersStep {
  return state.plan.reduce<OrdersStep>(
    (done, planned) => {
      const next = reconcileEngine(done.state, planned, event.atMs);
      return { state: next.state, effects: [...done.effects, ...next.effects] };
    },
    { state, effects: [] },
  );
}

function reconcileEngine(
  state: OrdersState,
  planned: PlannedEngine,
  atMs: number,
): OrdersStep {
  const lease = usableLease(state, planned.model, atMs);
  const engine = state.ordered.get(planned.targetId) ?? UNKNOWN_ENGINE;
  if (lease === undefined || engine.isBusy) return { state, effects: [] };
  if (atMs >= engine.readAtMs + READ_BACK_PERIOD_MS) {
    return startCall(state, planned.targetId, {
      type: 'orders.readBack',
      targetId: planned.targetId,
    });
  }
  if (!isOrderDue(state, planned, atMs)) return { state, effects: [] };
  const { fencingNumber } = lease;
  return startCall(
    updateEngine(state, planned.targetId, { lastOrdered: planned.wanted }),
    planned.targetId,
    {
      type: 'orders.send',
      targetId: planned.targetId,
      model: planned.model,
      order: {
        orderId: `${state.selfId}/${fencingNumber}/${planned.targetId}/${Math.round(atMs)}`,
        fencingNumber,
        wanted: planned.wanted,
        timeoutMs: ORDER_TIMEOUT_MS,
      },
      sendUntilMs: orderDeadlineMs(lease),
    },
  );
}

function isOrderDue(
  state: OrdersState,
  planned: PlannedEngine,
  atMs: number,
): boolean {
  const engine = state.ordered.get(planned.targetId) ?? UNKNOWN_ENGINE;
  if (engine.seen === undefined) return false;
  if (isSameAssignment(engine.seen, planned.wanted)) return false;
  const isAlreadyLoading =
    isLoading(engine, atMs) &&
    engine.lastOrdered !== undefined &&
    isSameAssignment(engine.lastOrdered, planned.wanted);
  return (
    !isAlreadyLoading &&
    countLoads(state, planned.model, atMs) < maxLoadsPerModel(state)
  );
}

/**
 * Returns the number of concurrent loads that the placing entry of one model may
 * start. The weight store's capacity is divided equally among the models.
 */
function maxLoadsPerModel(state: OrdersState): number {
  return Math.max(
    1,
    Math.floor(MAX_FLEET_LOADS / Math.max(1, state.models.length)),
  );
}

/** Counts the loads of a model that are in progress. */
function countLoads(state: OrdersState, model: string, atMs: number): number {
  return state.plan.filter(({ targetId, model: owner, wanted }) => {
    const engine = state.ordered.get(targetId);
    return (
      owner === model &&
      engine !== undefined &&
      isLoading(engine, atMs) &&
      !(engine.seen !== undefined && isSameAssignment(engine.seen, wanted))
    );
  }).length;
}

function isLoading(engine: OrderedEngine, atMs: number): boolean {
  return (
    engine.isBusy ||
    (engine.orderedAtMs !== undefined &&
      atMs < engine.orderedAtMs + LOAD_TIMEOUT_MS)
  );
}

/**
 * Records the result of a read-back.
 *
 * @param state - State of the slice.
 * @param event - The engine's assignment; undefined if it could not be read.
 * @returns The next state.
 */
export function recordReadBack(
  state: OrdersState,
  event: EventBase & {
    readonly targetId: string;
    readonly assignment: EngineAssignment | undefined;
  },
): OrdersState {
  return updateEngine(state, event.targetId, {
    seen: event.assignment,
    isBusy: false,
    readAtMs: event.atMs,
  });
}

/**
 * Records the outcome of an order. An order without a reply is treated as
 * accepted until the engine is read back.
 *
 * @param state - State of the slice.
 * @param event - The outcome of the order.
 * @returns The next state.
 */
export function recordOrderOutcome(
  state: OrdersState,
  event: EventBase & {
    readonly targetId: string;
    readonly outcome: 'taken' | 'unknown' | 'refused';
  },
): OrdersState {
  const mayBeApplied = event.outcome !== 'refused';
  return updateEngine(state, event.targetId, {
    isBusy: false,
    orderedAtMs: mayBeApplied ? event.atMs : undefined,
    ...(mayBeApplied ? {} : { lastOrdered: undefined, seen: undefined }),
  });
}

/**
 * Checks whether two assignments are equal, regardless of the order of their
 * models and adapters.
 *
 * @param a - The first assignment.
 * @param b - The second assignment.
 * @returns Whether the assignments are equal.
 */
export function isSameAssignment(
  a: EngineAssignment,
  b: EngineAssignment,
): boolean {
  return canonicalJson(a) === canonicalJson(b);
}

function canonicalJson({ models, role }: EngineAssignment): string {
  const names = models.map(({ model, version, adapters }) =>
    JSON.stringify([model, version, adapters.toSorted()]),
  );
  return JSON.stringify([role, names.toSorted()]);
}

function startCall(
  state: OrdersState,
  targetId: string,
  effect: OrdersEffect,
): OrdersStep {
  return {
    state: updateEngine(state, targetId, { isBusy: true }),
    effects: [effect],
  };
}

function updateEngine(
  state: OrdersState,
  targetId: string,
  change: Partial<OrderedEngine>,
): OrdersState {
  const engine = state.ordered.get(targetId) ?? UNKNOWN_ENGINE;
  return {
    ...state,
    ordered: new Map(state.ordered).set(targetId, { ...engine, ...change }),
  };
}
