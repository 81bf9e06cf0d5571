import type { InstanceList, PlatformPort } from '@endivegate/contracts';
import * as E from 'fp-ts/lib/Either.js';

/** Options of {@link pollInstances}. */
export interface PollInstancesOptions {
  readonly platform: PlatformPort;
  readonly onList: (list: InstanceList) => void;
  readonly onError: (error: { readonly type: string }) => void;
  readonly periodMs?: number;
  readonly random?: () => number;
}

const DEFAULT_PERIOD_MS = 2_000;

/** Share of the period by which each wait varies. */
const JITTER = 0.5;

/**
 * Reads the platform's instance list at jittered intervals.
 *
 * @param options - Platform, receivers and period.
 * @returns A function that stops the reading.
 */
export function pollInstances(options: PollInstancesOptions): () => void {
  const periodMs = options.periodMs ?? DEFAULT_PERIOD_MS;
  const random = options.random ?? Math.random;
  let timer: NodeJS.Timeout | undefined;
  let isStopped = false;

  async function poll(): Promise<void> {
    const list = await options.platform.instances({ purpose: 'instances' })();
    if (isStopped) return;
    if (E.isRight(list)) options.onList(list.right);
    else options.onError(list.left);
    const waitMs = periodMs * (1 - JITTER / 2 + JITTER * random());
    timer = setTimeout(() => void poll(), waitMs);
  }

  void poll();
  return () => {
    isStopped = true;
    clearTimeout(timer);
  };
}
