import type { EngineAssignment } from '@endivegate/contracts';
import type { EventBase } from '../../events/index.ts';
import type { PlannedEngine } from '../../planEngines/index.ts';
import type { Step } from '../../step/index.ts';
import { orderUntilMs, usableLease } from './lease.ts';
import {
  FLEET_LOADS_AT_ONCE,
  LOAD_TIMEOUT_MS,
  ORDER_TIMEOUT_MS,
  READ_BACK_MS,
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
 * Reads engines back and corrects those that do not do what is wanted.
 *
 * @param state - State of the slice.
 * @param event - The tick.
 * @returns The step.
 */
export function tendEngines(state: OrdersState, event: EventBase): OrdersStep {
  return state.plan.reduce<OrdersStep>(
    (done, planned) => {
      const next = tendEngine(done.state, planned, event.atMs);
      return { state: next.state, effects: [...done.effects, ...next.effects] };
    },
    { state, effects: [] },
  );
}

function tendEngine(
  state: OrdersState,
  planned: PlannedEngine,
  atMs: number,
): OrdersStep {
  const lease = usableLease(state, planned.model, atMs);
  const engine = state.ordered.get(planned.targetId) ?? UNKNOWN_ENGINE;
  if (lease === undefined || engine.isBusy) return { state, effects: [] };
  if (atMs >= engine.readAtMs + READ_BACK_MS) {
    return busy(state, planned.targetId, {
      type: 'orders.readBack',
      targetId: planned.targetId,
    });
  }
  if (!isOrderDue(state, planned, atMs)) return { state, effects: [] };
  const { fencingNumber } = lease;
  return busy(
    withEngine(state, planned.targetId, { lastOrdered: planned.wanted }),
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
      sendUntilMs: orderUntilMs(lease),
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
  const isLoading =
    isLoadOpen(engine, atMs) &&
    engine.lastOrdered !== undefined &&
    isSameAssignment(engine.lastOrdered, planned.wanted);
  return !isLoading && loadsOfModel(state, planned.model, atMs) < share(state);
}

/** Part of the weight store's rate that one model's placing entry may use. */
function share(state: OrdersState): number {
  return Math.max(
    1,
    Math.floor(FLEET_LOADS_AT_ONCE / Math.max(1, state.models.length)),
  );
}

function loadsOfModel(state: OrdersState, model: string, atMs: number): number {
  return state.plan.filter(({ targetId, model: owner, wanted }) => {
    const engine = state.ordered.get(targetId);
    return (
      owner === model &&
      engine !== undefined &&
      isLoadOpen(engine, atMs) &&
      !(engine.seen !== undefined && isSameAssignment(engine.seen, wanted))
    );
  }).length;
}

function isLoadOpen(engine: OrderedEngine, atMs: number): boolean {
  return (
    engine.isBusy ||
    (engine.orderedAtMs !== undefined &&
      atMs < engine.orderedAtMs + LOAD_TIMEOUT_MS)
  );
}

/**
 * Takes in what an engine does.
 *
 * @param state - State of the slice.
 * @param event - The read-back.
 * @returns The next state.
 */
export function endReadBack(
  state: OrdersState,
  event: EventBase & {
    readonly targetId: string;
    readonly assignment: EngineAssignment | undefined;
  },
): OrdersState {
  return withEngine(state, event.targetId, {
    seen: event.assignment,
    isBusy: false,
    readAtMs: event.atMs,
  });
}

/**
 * Takes in the end of an order; one without a reply counts as taken until the
 * engine is read back.
 *
 * @param state - State of the slice.
 * @param event - The end of the order.
 * @returns The next state.
 */
export function endOrder(
  state: OrdersState,
  event: EventBase & {
    readonly targetId: string;
    readonly outcome: 'taken' | 'unknown' | 'refused';
  },
): OrdersState {
  const isOpen = event.outcome !== 'refused';
  return withEngine(state, event.targetId, {
    isBusy: false,
    orderedAtMs: isOpen ? event.atMs : undefined,
    ...(isOpen ? {} : { lastOrdered: undefined, seen: undefined }),
  });
}

/**
 * Tells whether two assignments are the same, in whatever order they list.
 *
 * @param a - An assignment.
 * @param b - An assignment.
 * @returns Whether they are the same.
 */
export function isSameAssignment(
  a: EngineAssignment,
  b: EngineAssignment,
): boolean {
  return canonical(a) === canonical(b);
}

function canonical({ models, role }: EngineAssignment): string {
  const names = models.map(({ model, version, adapters }) =>
    JSON.stringify([model, version, adapters.toSorted()]),
  );
  return JSON.stringify([role, names.toSorted()]);
}

function busy(
  state: OrdersState,
  targetId: string,
  effect: OrdersEffect,
): OrdersStep {
  return {
    state: withEngine(state, targetId, { isBusy: true }),
    effects: [effect],
  };
}

function withEngine(
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
