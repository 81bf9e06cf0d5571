import { partNews, type PartNews } from '@endivegate/core/forwarding';
import type { GatewayRuntime } from '../../gatewayRuntime/index.ts';

/** Tells peers of parts that crash targets. */
export interface PartNewsSender {
  /** Sends what there is to tell; called once per interval. */
  readonly sendNow: () => void;
  readonly close: () => void;
}

/** Options of {@link createPartNewsSender}. */
export interface CreatePartNewsSenderOptions {
  readonly runtime: GatewayRuntime;
  /** Whether this entry tells blocks of others too, for entries that start later. */
  readonly tellsAllBlocks: () => boolean;
  readonly send: (news: PartNews, nowMs: number) => void;
  /** Monotonic time in ms. */
  readonly now: () => number;
}

/** Collects what a death reveals: each request that ran there reports it. */
const SEND_DELAY_MS = 4;

/** Shortest time between two sends that news cause. */
const MIN_INTERVAL_MS = 40;

/** Creates the sender. It sends at once when the gateway learns something new. */
export function createPartNewsSender(
  options: CreatePartNewsSenderOptions,
): PartNewsSender {
  const { runtime, now } = options;
  let delayTimer: NodeJS.Timeout | undefined;
  let intervalTimer: NodeJS.Timeout | undefined;
  let isDue = false;
  let isClosed = false;

  function sendNow(): void {
    if (isClosed) return;
    isDue = false;
    const nowMs = now();
    const news = partNews(runtime.state().partSuspects, {
      nowMs,
      tellsAllBlocks: options.tellsAllBlocks(),
    });
    if (news !== undefined) options.send(news, nowMs);
  }

  function schedule(): void {
    isDue = true;
    if (intervalTimer !== undefined) return;
    delayTimer = setTimeout(sendNow, SEND_DELAY_MS);
    intervalTimer = setTimeout(() => {
      intervalTimer = undefined;
      if (isDue) schedule();
    }, MIN_INTERVAL_MS);
  }

  runtime.onPartNews(() => {
    if (!isClosed) schedule();
  });

  return {
    sendNow,
    close() {
      isClosed = true;
      clearTimeout(delayTimer);
      clearTimeout(intervalTimer);
    },
  };
}
