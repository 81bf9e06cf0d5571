import { setTimeout as sleep } from 'node:timers/promises';

/** Options of {@link paceCalls}. */
export interface PaceCallsOptions {
  readonly callsPerSecond: number;
  readonly durationMs: number;
}

const MS_PER_SECOND = 1_000;

/**
 * Makes calls at a fixed rate, without waiting for earlier calls to finish.
 *
 * @param call - Makes one call; receives its index.
 * @param options - Rate and duration.
 * @returns The results of all calls.
 */
export async function paceCalls<Result>(
  call: (index: number) => Promise<Result>,
  options: PaceCallsOptions,
): Promise<readonly Result[]> {
  const intervalMs = MS_PER_SECOND / options.callsPerSecond;
  const total = Math.floor(options.durationMs / intervalMs);
  const startedAtMs = performance.now();
  const results: Promise<Result>[] = [];
  while (results.length < total) {
    const dueAtMs = startedAtMs + results.length * intervalMs;
    const waitMs = dueAtMs - performance.now();
    if (waitMs > 0) await sleep(waitMs);
    results.push(call(results.length));
  }
  return Promise.all(results);
}
