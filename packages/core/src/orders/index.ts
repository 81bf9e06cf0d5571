import type { EventBase, SharedEvent } from '../events/index.ts';
import { planEngines } from '../planEngines/index.ts';
import type { RaiseEffect, Slice } from '../slice/index.ts';
import { unchanged, type Step } from '../step/index.ts';
import {
  recordOrderOutcome,
  recordReadBack,
  reconcileEngines,
} from './_lib/engines.ts';
import { recordLeaseCall, maintainLeases } from './_lib/lease.ts';
import {
  READ_BACK_PERIOD_MS,
  type OrdersEffect,
  type OrdersEvent,
  type OrdersState,
} from './_lib/state.ts';

export type {
  OrderedEngine,
  OrdersEffect,
  OrdersEvent,
  OrdersState,
  PlacerState,
  PlacingLease,
} from './_lib/state.ts';
export {
  MAX_FLEET_LOADS,
  LEASE_MARGIN_MS,
  ORDER_TIMEOUT_MS,
  PLACING_LEASE_TTL_MS,
  READ_BACK_PERIOD_MS,
  TAKEOVER_DELAY_MS,
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
  placers: new Map(),
  ordered: new Map(),
};

/**
 * Reconciles the engines with the table, which defines the model, version,
 * adapters and role of each engine.
 *
 * One placing entry per model sends the orders, under a lease and with a fencing
 * number. Some engines ignore the fencing number. For their sake, the placing
 * entry stops sending a safety margin before its lease expires by its own clock,
 * and waits for the margin and an order timeout after it takes over.
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
        return unchanged(updatePlan({ ...state, models: event.models ?? [] }));
      case 'targets.changed':
        return unchanged(updatePlan({ ...state, engines: listEngines(event) }));
      case 'leaving.requested':
        return releaseLeases(state);
      case 'clock.ticked':
        return tick(state, event);
      case 'orders.assignmentRead':
        return unchanged(recordReadBack(state, event));
      case 'orders.orderEnded':
        return finishOrder(state, event);
      case 'orders.leaseAcquired':
      case 'orders.leaseNotAcquired':
      case 'orders.leaseRenewed':
      case 'orders.leaseNotRenewed':
        return unchanged(recordLeaseCall(state, event));
      default:
        return unchanged(state);
    }
  },
};

function listEngines(
  event: Extract<SharedEvent, { type: 'targets.changed' }>,
): OrdersState['engines'] {
  return event.targets.filter(
    ({ targetKind, leaving }) => targetKind === 'engine' && !leaving,
  );
}

function updatePlan(state: OrdersState): OrdersState {
  const plan = planEngines(state.models, state.engines);
  const planned = new Set(plan.map(({ targetId }) => targetId));
  const ordered = [...state.ordered].filter(([id]) => planned.has(id));
  return { ...state, plan, ordered: new Map(ordered) };
}

function tick(state: OrdersState, event: EventBase): OrdersStep {
  if (state.models.length === 0) return unchanged(state);
  const leases = maintainLeases(state, event);
  const engines = reconcileEngines(leases.state, event);
  return {
    state: engines.state,
    effects: [...leases.effects, ...engines.effects],
  };
}

/**
 * Records the outcome of an order. A refused order means that the engine has
 * seen a newer fencing number, so the lease is released; the next holder gets a
 * newer number.
 */
function finishOrder(
  state: OrdersState,
  event: Extract<OrdersEvent, { type: 'orders.orderEnded' }>,
): OrdersStep {
  const next = recordOrderOutcome(state, event);
  const placer = next.placers.get(event.model);
  if (event.outcome !== 'refused' || placer?.lease === undefined) {
    return unchanged(next);
  }
  const { leaseId } = placer.lease;
  const placers = new Map(next.placers).set(event.model, {
    ...placer,
    lease: undefined,
    nextAttemptAtMs: event.atMs + READ_BACK_PERIOD_MS * event.random,
  });
  return {
    state: { ...next, placers },
    effects: [{ type: 'orders.release', leaseId }],
  };
}

/** Releases the leases, so that other entries need not wait for their expiry. */
function releaseLeases(state: OrdersState): OrdersStep {
  const leaseIds = [...state.placers.values()].flatMap(({ lease }) =>
    lease === undefined ? [] : [lease.leaseId],
  );
  return {
    state: { ...state, isLeaving: true, placers: new Map() },
    effects: leaseIds.map((leaseId) => ({ type: 'orders.release', leaseId })),
  };
}
