import type { StorePurpose } from '@endivegate/contracts';
import {
  STORE_BUDGETS,
  STORE_DOWN_FAILURES,
  type StoreBudget,
  type StoreGate,
} from '../storeGate/index.ts';

/** Decision on whether a store call may be made now. */
export type StoreAdmission =
  | { readonly type: 'admitted' }
  /** The store is down, and no probe is due. */
  | { readonly type: 'down' }
  /** The rate limit of the call's purpose is used up. */
  | { readonly type: 'overBudget'; readonly retryAfterMs: number };

/** Options of {@link admitStoreCall}. */
export interface AdmitStoreCallOptions {
  /** Rate limits by purpose; default {@link STORE_BUDGETS}. */
  readonly budgets?: Readonly<Record<StorePurpose, StoreBudget>>;
}

/**
 * Decides whether an entry may call the store now, by a circuit breaker and a
 * rate limit for each purpose.
 *
 * While the store is down, one call at a time is admitted as a probe. The time
 * of the next probe has jitter, so that the entries of a fleet do not all call
 * a recovering store at once.
 *
 * @param gate - Circuit breaker and rate limits of the entry.
 * @param call - Purpose and time of the call.
 * @param options - Rate limits by purpose.
 * @returns The decision and the next state of the gate.
 *
 * @example
 * admitStoreCall(gate, { purpose: 'table', atMs });
 */
export function admitStoreCall(
  gate: StoreGate,
  call: { readonly purpose: StorePurpose; readonly atMs: number },
  options: AdmitStoreCallOptions = {},
): { readonly gate: StoreGate; readonly admission: StoreAdmission } {
  const isDown = gate.failures >= STORE_DOWN_FAILURES;
  if (isDown && (gate.isProbeInFlight || call.atMs < gate.probeAtMs)) {
    return { gate, admission: { type: 'down' } };
  }
  const budget = (options.budgets ?? STORE_BUDGETS)[call.purpose];
  const availableCalls = availableCallsOf(gate, call, budget);
  if (availableCalls < 1) {
    const retryAfterMs = Math.ceil(
      ((1 - availableCalls) / budget.callsPerSecond) * 1_000,
    );
    return { gate, admission: { type: 'overBudget', retryAfterMs } };
  }
  const budgetLevels = new Map(gate.budgetLevels).set(call.purpose, {
    availableCalls: availableCalls - 1,
    atMs: call.atMs,
  });
  return {
    gate: { ...gate, budgetLevels, isProbeInFlight: isDown },
    admission: { type: 'admitted' },
  };
}

function availableCallsOf(
  gate: StoreGate,
  call: { readonly purpose: StorePurpose; readonly atMs: number },
  budget: StoreBudget,
): number {
  const level = gate.budgetLevels.get(call.purpose);
  if (level === undefined) return budget.burstCalls;
  const elapsedSeconds = (call.atMs - level.atMs) / 1_000;
  const refilledCalls =
    level.availableCalls + elapsedSeconds * budget.callsPerSecond;
  return Math.min(budget.burstCalls, refilledCalls);
}
