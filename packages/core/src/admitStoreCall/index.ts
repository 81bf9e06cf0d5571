import type { StorePurpose } from '@endivegate/contracts';
import {
  STORE_BUDGETS,
  STORE_DOWN_FAILURES,
  type StoreBudget,
  type StoreGate,
} from '../storeGate/index.ts';

/** Whether a call may be made now. */
export type StoreAdmission =
  | { readonly type: 'admitted' }
  /** The store is down, and no probe is due. */
  | { readonly type: 'down' }
  | { readonly type: 'overBudget'; readonly retryAfterMs: number };

/** Options of {@link admitStoreCall}. */
export interface AdmitStoreCallOptions {
  readonly budgets?: Readonly<Record<StorePurpose, StoreBudget>>;
}

/**
 * Decides whether an entry makes a call to the store.
 *
 * While the store is down a single call at a time goes through as a probe; the
 * time of the next one has jitter, so that a fleet's return is no stampede.
 *
 * @param gate - What the entry knows.
 * @param call - Purpose and time of the call.
 * @param options - Budgets by purpose.
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
  if (isDown && (gate.isProbing || call.atMs < gate.probeAtMs)) {
    return { gate, admission: { type: 'down' } };
  }
  const budget = (options.budgets ?? STORE_BUDGETS)[call.purpose];
  const calls = levelOf(gate, call, budget);
  if (calls < 1) {
    const retryAfterMs = Math.ceil(
      ((1 - calls) / budget.callsPerSecond) * 1_000,
    );
    return { gate, admission: { type: 'overBudget', retryAfterMs } };
  }
  const levels = new Map(gate.levels).set(call.purpose, {
    calls: calls - 1,
    atMs: call.atMs,
  });
  return {
    gate: { ...gate, levels, isProbing: isDown },
    admission: { type: 'admitted' },
  };
}

function levelOf(
  gate: StoreGate,
  call: { readonly purpose: StorePurpose; readonly atMs: number },
  budget: StoreBudget,
): number {
  const level = gate.levels.get(call.purpose);
  if (level === undefined) return budget.burstCalls;
  const passedSeconds = (call.atMs - level.atMs) / 1_000;
  const refilled = level.calls + passedSeconds * budget.callsPerSecond;
  return Math.min(budget.burstCalls, refilled);
}
