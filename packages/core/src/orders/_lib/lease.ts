import type { EventBase } from '../../events/index.ts';
import { retryDelay } from '../../retryDelay/index.ts';
import { scoreRendezvous } from '../../scoreRendezvous/index.ts';
import type { Step } from '../../step/index.ts';
import {
  MAX_ACQUIRE_RETRY_MS,
  LEASE_MARGIN_MS,
  ORDER_TIMEOUT_MS,
  PLACING_LEASE_TTL_MS,
  PLACING_RENEW_AFTER_MS,
  TAKEOVER_DELAY_MS,
  type OrdersEffect,
  type OrdersEvent,
  type OrdersState,
  type PlacerState,
  type PlacingLease,
} from './state.ts';

type OrdersStep = Step<OrdersState, OrdersEffect>;

const INITIAL_PLACER_STATE: PlacerState = {
  lease: undefined,
  isBusy: false,
  failures: 0,
  nextAttemptAtMs: 0,
};

/**
 * Returns the latest time at which the lease holder may send an order.
 *
 * An order sent by then times out at least {@link LEASE_MARGIN_MS} before the
 * lease expires.
 *
 * @param lease - The holder's lease.
 * @returns A time of the holder's monotonic clock.
 */
export function orderDeadlineMs(lease: PlacingLease): number {
  return lease.validUntilMs - LEASE_MARGIN_MS - ORDER_TIMEOUT_MS;
}

/**
 * Returns the lease under which an order for a model may be sent now.
 *
 * @param state - State of the slice.
 * @param model - The model.
 * @param atMs - Current time.
 * @returns The lease, or undefined while no order may be sent.
 */
export function usableLease(
  state: OrdersState,
  model: string,
  atMs: number,
): PlacingLease | undefined {
  const lease = state.placers.get(model)?.lease;
  if (lease === undefined || atMs < lease.ordersFromMs) return undefined;
  return atMs <= orderDeadlineMs(lease) ? lease : undefined;
}

/**
 * Drops expired leases, and starts the lease calls that are due: to acquire or
 * renew the lease of a model's placing entry.
 *
 * @param state - State of the slice.
 * @param event - The clock tick.
 * @returns The next state and effects.
 */
export function maintainLeases(
  state: OrdersState,
  event: EventBase,
): OrdersStep {
  return state.models.reduce<OrdersStep>(
    (done, { model }) => {
      const next = maintainLease(done.state, model, event.atMs);
      return { state: next.state, effects: [...done.effects, ...next.effects] };
    },
    { state: dropExpired(state, event.atMs), effects: [] },
  );
}

function maintainLease(
  state: OrdersState,
  model: string,
  atMs: number,
): OrdersStep {
  const placer = state.placers.get(model) ?? INITIAL_PLACER_STATE;
  if (placer.isBusy || atMs < placer.nextAttemptAtMs || state.isLeaving) {
    return { state, effects: [] };
  }
  const { lease } = placer;
  if (lease !== undefined && atMs >= lease.renewAtMs) {
    return startCall(state, model, {
      type: 'orders.renew',
      model,
      leaseId: lease.leaseId,
    });
  }
  return lease === undefined && isPreferredPlacer(state, model)
    ? startCall(state, model, { type: 'orders.acquire', model })
    : { state, effects: [] };
}

/**
 * Whether this entry ranks first for a model by rendezvous hashing. Only that
 * entry tries to acquire the lease, to limit the load on the store.
 */
function isPreferredPlacer(state: OrdersState, model: string): boolean {
  const scored = state.liveIds.map((entryId) => ({
    entryId,
    score: scoreRendezvous(`placing/${model}`, entryId),
  }));
  const best = Math.max(...scored.map(({ score }) => score));
  return scored.some(
    ({ entryId, score }) => entryId === state.selfId && score === best,
  );
}

function dropExpired(state: OrdersState, atMs: number): OrdersState {
  const isExpired = ({ lease }: PlacerState): boolean =>
    lease !== undefined && atMs >= lease.validUntilMs;
  if (![...state.placers.values()].some(isExpired)) return state;
  const placers = [...state.placers].map(
    ([model, placer]) =>
      [
        model,
        isExpired(placer) ? { ...placer, lease: undefined } : placer,
      ] as const,
  );
  return { ...state, placers: new Map(placers) };
}

/**
 * Records the outcome of a lease call.
 *
 * @param state - State of the slice.
 * @param event - The outcome of the call.
 * @returns The next state.
 */
export function recordLeaseCall(
  state: OrdersState,
  event: Extract<OrdersEvent, { readonly model: string }>,
): OrdersState {
  const placer = state.placers.get(event.model) ?? INITIAL_PLACER_STATE;
  const idle = { ...placer, isBusy: false };
  switch (event.type) {
    case 'orders.leaseAcquired': {
      const { leaseId, fencingNumber, askedAtMs, atMs } = event;
      const lease: PlacingLease = {
        leaseId,
        fencingNumber,
        validUntilMs: askedAtMs + PLACING_LEASE_TTL_MS,
        ordersFromMs: atMs + TAKEOVER_DELAY_MS,
        renewAtMs: askedAtMs + PLACING_RENEW_AFTER_MS,
      };
      return setPlacer(state, event.model, { ...idle, lease, failures: 0 });
    }
    case 'orders.leaseRenewed': {
      const { lease } = placer;
      if (lease?.leaseId !== event.leaseId) {
        return setPlacer(state, event.model, idle);
      }
      const renewed: PlacingLease = {
        ...lease,
        validUntilMs: event.askedAtMs + PLACING_LEASE_TTL_MS,
        renewAtMs: event.askedAtMs + PLACING_RENEW_AFTER_MS,
      };
      return setPlacer(state, event.model, {
        ...idle,
        lease: renewed,
        failures: 0,
      });
    }
    case 'orders.leaseNotRenewed':
      return setPlacer(
        state,
        event.model,
        backOff(event.isLapsed ? { ...idle, lease: undefined } : idle, event),
      );
    case 'orders.leaseNotAcquired':
      return setPlacer(state, event.model, backOff(idle, event));
    case 'orders.orderEnded':
      return state;
  }
}

function backOff(placer: PlacerState, event: EventBase): PlacerState {
  const failures = placer.failures + 1;
  const maxMs =
    placer.lease === undefined
      ? MAX_ACQUIRE_RETRY_MS
      : PLACING_RENEW_AFTER_MS / 2;
  const delayMs = retryDelay(failures, event.random, { baseMs: 1_000, maxMs });
  return { ...placer, failures, nextAttemptAtMs: event.atMs + delayMs };
}

function startCall(
  state: OrdersState,
  model: string,
  effect: OrdersEffect,
): OrdersStep {
  const placer = state.placers.get(model) ?? INITIAL_PLACER_STATE;
  return {
    state: setPlacer(state, model, { ...placer, isBusy: true }),
    effects: [effect],
  };
}

function setPlacer(
  state: OrdersState,
  model: string,
  placer: PlacerState,
): OrdersState {
  return { ...state, placers: new Map(state.placers).set(model, placer) };
}
