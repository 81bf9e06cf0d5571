import { partReport, type PartReport } from '@endivegate/core/forwarding';
import type { GatewayRuntime } from '../../gatewayRuntime/index.ts';

/** Tells peers of parts that crash targets. */
export interface PartReportSender {
  /** Sends what there is to tell; called once per interval. */
  readonly sendNow: () => void;
  readonly close: () => void;
}

/** Options of {@link createPartReportSender}. */
export interface CreatePartReportSenderOptions {
  readonly runtime: GatewayRuntime;
  /** Whether this entry tells blocks of others too, for entries that start later. */
  readonly includeAllBlocks: () => boolean;
  readonly send: (report: PartReport, nowMs: number) => void;
  /** Monotonic time in ms. */
  readonly now: () => number;
}

/** Collects what a death reveals: each request that ran there reports it. */
const SEND_DELAY_MS = 4;

/** Shortest time between two reports that changes cause. */
const MIN_INTERVAL_MS = 40;

/** Creates the sender. It sends at once when the gateway learns something new. */
export function createPartReportSender(
  options: CreatePartReportSenderOptions,
): PartReportSender {
  const { runtime, now } = options;
  let delayTimer: NodeJS.Timeout | undefined;
  let intervalTimer: NodeJS.Timeout | undefined;
  let isDue = false;
  let isClosed = false;

  function sendNow(): void {
    if (isClosed) return;
    isDue = false;
    const nowMs = now();
    const report = partReport(runtime.state().partSuspects, {
      nowMs,
      includeAllBlocks: options.includeAllBlocks(),
    });
    if (report !== undefined) options.send(report, nowMs);
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

  runtime.onPartReport(() => {
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
