import { setTimeout as sleep } from 'node:timers/promises';
import { request } from 'undici';

/** Options of {@link waitUntilOk}. */
export interface WaitUntilOkOptions {
  readonly timeoutMs?: number;
}

const DEFAULT_TIMEOUT_MS = 20_000;
const POLL_INTERVAL_MS = 100;

/**
 * Waits until a URL answers with status 200.
 *
 * @param url - The URL.
 * @param options - Timeout, 20 s by default.
 * @throws Error when the timeout expires first.
 */
export async function waitUntilOk(
  url: string,
  options: WaitUntilOkOptions = {},
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
 * Sends one request to a URL and checks for status 200.
 *
 * @param url - The URL.
 * @returns Whether the status was 200; `false` also when the request failed.
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
