import type { EventBase } from '../../events/index.ts';
import { retryDelay } from '../../retryDelay/index.ts';
import { scoreRendezvous } from '../../scoreRendezvous/index.ts';
import type { Step } from '../../step/index.ts';
import {
  ACQUIRE_RETRY_MAX_MS,
  LEASE_MARGIN_MS,
  ORDER_TIMEOUT_MS,
  PLACING_LEASE_TTL_MS,
  PLACING_RENEW_AFTER_MS,
  SUCCESSOR_WAIT_MS,
  type OrdersEffect,
  type OrdersEvent,
  type OrdersState,
  type Placing,
  type PlacingLease,
} from './state.ts';

type OrdersStep = Step<OrdersState, OrdersEffect>;

const NO_PLACING: Placing = {
  lease: undefined,
  isBusy: false,
  failures: 0,
  nextTryAtMs: 0,
};

/**
 * Tells until when a holder may begin an order.
 *
 * An order begun by then ends, by its time-out, a margin before the lease.
 *
 * @param lease - The holder's lease.
 * @returns Time of the holder's monotonic clock.
 */
export function orderUntilMs(lease: PlacingLease): number {
  return lease.validUntilMs - LEASE_MARGIN_MS - ORDER_TIMEOUT_MS;
}

/**
 * Returns the lease that allows an order about a model now.
 *
 * @param state - State of the slice.
 * @param model - The model.
 * @param atMs - Now.
 * @returns The lease, or undefined while no order may be given.
 */
export function usableLease(
  state: OrdersState,
  model: string,
  atMs: number,
): PlacingLease | undefined {
  const lease = state.placings.get(model)?.lease;
  if (lease === undefined || atMs < lease.ordersFromMs) return undefined;
  return atMs <= orderUntilMs(lease) ? lease : undefined;
}

/**
 * Starts calls about leases that are due: to become, stay or cease to be the
 * placing entry of a model.
 *
 * @param state - State of the slice.
 * @param event - The tick.
 * @returns The step.
 */
export function tendLeases(state: OrdersState, event: EventBase): OrdersStep {
  return state.models.reduce<OrdersStep>(
    (done, { model }) => {
      const next = tendLease(done.state, model, event.atMs);
      return { state: next.state, effects: [...done.effects, ...next.effects] };
    },
    { state: dropExpired(state, event.atMs), effects: [] },
  );
}

function tendLease(
  state: OrdersState,
  model: string,
  atMs: number,
): OrdersStep {
  const placing = state.placings.get(model) ?? NO_PLACING;
  if (placing.isBusy || atMs < placing.nextTryAtMs || state.isLeaving) {
    return { state, effects: [] };
  }
  const { lease } = placing;
  if (lease !== undefined && atMs >= lease.renewAtMs) {
    return busy(state, model, {
      type: 'orders.renew',
      model,
      leaseId: lease.leaseId,
    });
  }
  return lease === undefined && isFirstChoice(state, model)
    ? busy(state, model, { type: 'orders.acquire', model })
    : { state, effects: [] };
}

/** Only the first choice of a model asks for its lease, to spare the store. */
function isFirstChoice(state: OrdersState, model: string): boolean {
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
  const isExpired = ({ lease }: Placing): boolean =>
    lease !== undefined && atMs >= lease.validUntilMs;
  if (![...state.placings.values()].some(isExpired)) return state;
  const placings = [...state.placings].map(
    ([model, placing]) =>
      [
        model,
        isExpired(placing) ? { ...placing, lease: undefined } : placing,
      ] as const,
  );
  return { ...state, placings: new Map(placings) };
}

/**
 * Takes in the outcome of a call about a lease.
 *
 * @param state - State of the slice.
 * @param event - The outcome.
 * @returns The next state.
 */
export function endLeaseCall(
  state: OrdersState,
  event: Extract<OrdersEvent, { readonly model: string }>,
): OrdersState {
  const placing = state.placings.get(event.model) ?? NO_PLACING;
  const idle = { ...placing, isBusy: false };
  switch (event.type) {
    case 'orders.leaseAcquired': {
      const { leaseId, fencingNumber, askedAtMs, atMs } = event;
      const lease: PlacingLease = {
        leaseId,
        fencingNumber,
        validUntilMs: askedAtMs + PLACING_LEASE_TTL_MS,
        ordersFromMs: atMs + SUCCESSOR_WAIT_MS,
        renewAtMs: askedAtMs + PLACING_RENEW_AFTER_MS,
      };
      return withPlacing(state, event.model, { ...idle, lease, failures: 0 });
    }
    case 'orders.leaseRenewed': {
      const { lease } = placing;
      if (lease?.leaseId !== event.leaseId) {
        return withPlacing(state, event.model, idle);
      }
      const renewed: PlacingLease = {
        ...lease,
        validUntilMs: event.askedAtMs + PLACING_LEASE_TTL_MS,
        renewAtMs: event.askedAtMs + PLACING_RENEW_AFTER_MS,
      };
      return withPlacing(state, event.model, {
        ...idle,
        lease: renewed,
        failures: 0,
      });
    }
    case 'orders.leaseNotRenewed':
      return withPlacing(
        state,
        event.model,
        backOff(event.isLapsed ? { ...idle, lease: undefined } : idle, event),
      );
    case 'orders.leaseNotAcquired':
      return withPlacing(state, event.model, backOff(idle, event));
    case 'orders.orderEnded':
      return state;
  }
}

function backOff(placing: Placing, event: EventBase): Placing {
  const failures = placing.failures + 1;
  const maxMs =
    placing.lease === undefined
      ? ACQUIRE_RETRY_MAX_MS
      : PLACING_RENEW_AFTER_MS / 2;
  const delayMs = retryDelay(failures, event.random, { baseMs: 1_000, maxMs });
  return { ...placing, failures, nextTryAtMs: event.atMs + delayMs };
}

function busy(
  state: OrdersState,
  model: string,
  effect: OrdersEffect,
): OrdersStep {
  const placing = state.placings.get(model) ?? NO_PLACING;
  return {
    state: withPlacing(state, model, { ...placing, isBusy: true }),
    effects: [effect],
  };
}

function withPlacing(
  state: OrdersState,
  model: string,
  placing: Placing,
): OrdersState {
  return { ...state, placings: new Map(state.placings).set(model, placing) };
}
