import { retryDelay } from '../retryDelay/index.ts';
import {
  STORE_DOWN_FAILURES,
  STORE_PROBE_MAX_MS,
  type StoreGate,
} from '../storeGate/index.ts';

/**
 * Records whether the store answered a call. An answer closes the circuit
 * breaker; consecutive failures open it and delay the next probe with
 * exponential back-off.
 *
 * @param gate - Circuit breaker and rate limits of the entry.
 * @param reply - Whether the store answered, with the time and a random number.
 * @returns The next state of the gate.
 *
 * @example
 * recordStoreReply(gate, { isAnswered: false, atMs, random });
 */
export function recordStoreReply(
  gate: StoreGate,
  reply: {
    readonly isAnswered: boolean;
    readonly atMs: number;
    readonly random: number;
  },
): StoreGate {
  if (reply.isAnswered) {
    return { ...gate, failures: 0, probeAtMs: 0, isProbeInFlight: false };
  }
  const failures = gate.failures + 1;
  const delayMs = retryDelay(
    Math.max(1, failures - STORE_DOWN_FAILURES + 1),
    reply.random,
    { baseMs: 500, maxMs: STORE_PROBE_MAX_MS },
  );
  return {
    ...gate,
    failures,
    probeAtMs: reply.atMs + delayMs,
    isProbeInFlight: false,
  };
}
