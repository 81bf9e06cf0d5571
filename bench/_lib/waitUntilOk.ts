import { setTimeout as sleep } from 'node:timers/promises';
import { request } from 'undici';

/** Options of {@link untilOk}. */
export interface UntilOkOptions {
  readonly timeoutMs?: number;
}

const DEFAULT_TIMEOUT_MS = 20_000;
const POLL_INTERVAL_MS = 100;

/**
 * Waits until a URL answers with status 200.
 *
 * @param url - The URL.
 * @param options - How long to wait.
 * @throws Error when the time is over.
 */
export async function untilOk(
  url: string,
  options: UntilOkOptions = {},
): Promise<void> {
  const timeoutMs = options.timeoutMs ?? DEFAULT_TIMEOUT_MS;
  const endAtMs = performance.now() + timeoutMs;
  while (performance.now() < endAtMs) {
    if (await isOk(url)) return;
    await sleep(POLL_INTERVAL_MS);
  }
  throw new Error(`${url} was not ready in ${timeoutMs} ms`);
}

/**
 * Tells whether a URL answers with status 200 now.
 *
 * @param url - The URL.
 * @returns Whether it does.
 */
export async function isOk(url: string): Promise<boolean> {
  try {
    const response = await request(url);
    await response.body.dump();
    return response.statusCode === 200;
  } catch {
    return false;
  }
}
