import type { EventBase, SharedEvent } from '../events/index.ts';
import { planEngines } from '../planEngines/index.ts';
import type { RaiseEffect, Slice } from '../slice/index.ts';
import { unchanged, type Step } from '../step/index.ts';
import { endOrder, endReadBack, tendEngines } from './_lib/engines.ts';
import { endLeaseCall, tendLeases } from './_lib/lease.ts';
import {
  READ_BACK_MS,
  type OrdersEffect,
  type OrdersEvent,
  type OrdersState,
} from './_lib/state.ts';

export type {
  OrderedEngine,
  OrdersEffect,
  OrdersEvent,
  OrdersState,
  Placing,
  PlacingLease,
} from './_lib/state.ts';
export {
  FLEET_LOADS_AT_ONCE,
  LEASE_MARGIN_MS,
  ORDER_TIMEOUT_MS,
  PLACING_LEASE_TTL_MS,
  READ_BACK_MS,
  SUCCESSOR_WAIT_MS,
} from './_lib/state.ts';
export { isSameAssignment } from './_lib/engines.ts';

type OrdersStep = Step<OrdersState, OrdersEffect | RaiseEffect>;

const initial: OrdersState = {
  selfId: '',
  isLeaving: false,
  liveIds: [],
  models: [],
  engines: [],
  plan: [],
  placings: new Map(),
  ordered: new Map(),
};

/**
 * Brings engines to what the table wants: which model, adapters and version,
 * in which role.
 *
 * One placing entry per model gives the orders, under a lease and a fencing
 * number. For engines that ignore the number, it acts only a margin before its
 * lease ends by its own clock, and waits out that margin after taking over.
 */
export const ordersSlice: Slice<OrdersState, OrdersEvent, OrdersEffect> = {
  initial,
  reduce: (state, event) => {
    switch (event.type) {
      case 'entry.started':
        return unchanged({ ...state, selfId: event.self.entryId });
      case 'members.changed':
        return unchanged({
          ...state,
          liveIds: event.live.map(({ entryId }) => entryId),
        });
      case 'table.installed':
        return unchanged(withPlan({ ...state, models: event.models ?? [] }));
      case 'targets.changed':
        return unchanged(withPlan({ ...state, engines: enginesOf(event) }));
      case 'leaving.requested':
        return leave(state);
      case 'clock.ticked':
        return tick(state, event);
      case 'orders.assignmentRead':
        return unchanged(endReadBack(state, event));
      case 'orders.orderEnded':
        return finishOrder(state, event);
      case 'orders.leaseAcquired':
      case 'orders.leaseNotAcquired':
      case 'orders.leaseRenewed':
      case 'orders.leaseNotRenewed':
        return unchanged(endLeaseCall(state, event));
      default:
        return unchanged(state);
    }
  },
};

function enginesOf(
  event: Extract<SharedEvent, { type: 'targets.changed' }>,
): OrdersState['engines'] {
  return event.targets.filter(
    ({ targetKind, leaving }) => targetKind === 'engine' && !leaving,
  );
}

function withPlan(state: OrdersState): OrdersState {
  const plan = planEngines(state.models, state.engines);
  const planned = new Set(plan.map(({ targetId }) => targetId));
  const ordered = [...state.ordered].filter(([id]) => planned.has(id));
  return { ...state, plan, ordered: new Map(ordered) };
}

function tick(state: OrdersState, event: EventBase): OrdersStep {
  if (state.models.length === 0) return unchanged(state);
  const leases = tendLeases(state, event);
  const engines = tendEngines(leases.state, event);
  return {
    state: engines.state,
    effects: [...leases.effects, ...engines.effects],
  };
}

/**
 * A refused order means that a newer fencing number was there, so the lease is
 * given back; whoever holds the key next gets a newer number.
 */
function finishOrder(
  state: OrdersState,
  event: Extract<OrdersEvent, { type: 'orders.orderEnded' }>,
): OrdersStep {
  const next = endOrder(state, event);
  const placing = next.placings.get(event.model);
  if (event.outcome !== 'refused' || placing?.lease === undefined) {
    return unchanged(next);
  }
  const { leaseId } = placing.lease;
  const placings = new Map(next.placings).set(event.model, {
    ...placing,
    lease: undefined,
    nextTryAtMs: event.atMs + READ_BACK_MS * event.random,
  });
  return {
    state: { ...next, placings },
    effects: [{ type: 'orders.release', leaseId }],
  };
}

/** Gives the leases back, so that others need not wait for their end. */
function leave(state: OrdersState): OrdersStep {
  const leases = [...state.placings.values()].flatMap(({ lease }) =>
    lease === undefined ? [] : [lease.leaseId],
  );
  return {
    state: { ...state, isLeaving: true, placings: new Map() },
    effects: leases.map((leaseId) => ({ type: 'orders.release', leaseId })),
  };
}
