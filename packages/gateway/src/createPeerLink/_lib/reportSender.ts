import {
  type GatewayEffect,
  limitReports,
  type LimitReport,
  partReport,
  type PartReport,
} from '@endivegate/core/forwarding';
import type { GatewayRuntime } from '../../gatewayRuntime/index.ts';
import { chunkRows } from './chunkRows.ts';
import { splitPartReport } from './partRows.ts';
import { type ExtensionRegistry, PEER_EXTENSIONS } from './peerExtensions.ts';

/** What an entry reports to its peers besides its own state. */
export interface Reports {
  readonly parts?: PartReport;
  readonly limits?: readonly LimitReport[];
  readonly extensions?: Readonly<Record<string, unknown>>;
}

/** Reports to peers parts that crash targets, limits that targets name, and what the
 * extensions describe. */
export interface ReportSender {
  /** Sends what there is to tell; called once per interval. */
  readonly sendNow: () => void;
  /** Sends soon, together with what follows within a few ms. */
  readonly schedule: () => void;
  readonly close: () => void;
}

/** Options of {@link createReportSender}. */
export interface CreateReportSenderOptions {
  readonly runtime: GatewayRuntime;
  /** Name of this entry. */
  readonly name: string;
  /** Whether this entry reports what it received too, for entries that start later. */
  readonly includeReceived: () => boolean;
  readonly send: (reports: Reports, nowMs: number) => void;
  /** Monotonic time in ms. */
  readonly now: () => number;
  /** The extensions that are reported. */
  readonly registry?: ExtensionRegistry;
}

/** Collects what a death reveals: each request that ran there reports it. */
const SEND_DELAY_MS = 4;

/** Shortest time between two reports that changes cause. */
const MIN_INTERVAL_MS = 40;

/** Limits in one datagram. */
const MAX_LIMIT_ROWS = 20;

/** Creates the sender. It sends at once when the gateway learns something new. */
export function createReportSender(
  options: CreateReportSenderOptions,
): ReportSender {
  const { runtime, name, now, registry = PEER_EXTENSIONS } = options;
  let delayTimer: NodeJS.Timeout | undefined;
  let intervalTimer: NodeJS.Timeout | undefined;
  let isDue = false;
  let isClosed = false;

  function sendNow(): void {
    if (isClosed) return;
    isDue = false;
    const nowMs = now();
    const includeReceived = options.includeReceived();
    const { partSuspects, targetLimits } = runtime.state();
    const parts = partReport(partSuspects, {
      nowMs,
      includeAllBlocks: includeReceived,
    });
    if (parts !== undefined) {
      splitPartReport(parts).forEach((part) => {
        options.send({ parts: part }, nowMs);
      });
    }
    const limits = limitReports(targetLimits, { includeReceived });
    chunkRows(limits, { maxRows: MAX_LIMIT_ROWS }).forEach((rows) => {
      options.send({ limits: rows }, nowMs);
    });
    const context = { nowMs, name, includeReceived };
    Object.entries(registry).forEach(([key, { describe }]) => {
      describe(runtime.state(), context).forEach((value) => {
        options.send({ extensions: { [key]: value } }, nowMs);
      });
    });
  }

  function schedule(): void {
    if (isClosed) return;
    isDue = true;
    if (intervalTimer !== undefined) return;
    delayTimer = setTimeout(sendNow, SEND_DELAY_MS);
    intervalTimer = setTimeout(() => {
      intervalTimer = undefined;
      if (isDue) schedule();
    }, MIN_INTERVAL_MS);
  }

  runtime.onEffect((effect) => {
    if (isReportDue(effect)) schedule();
  });

  return {
    sendNow,
    schedule,
    close() {
      isClosed = true;
      clearTimeout(delayTimer);
      clearTimeout(intervalTimer);
    },
  };
}

/** Whether peers have to learn of a change at once. */
function isReportDue(effect: GatewayEffect): boolean {
  return (
    effect.type === 'partSuspects.reportDue' ||
    effect.type === 'roster.removalReportDue' ||
    effect.type === 'evacuations.reportDue' ||
    (effect.type === 'targetLimits.changed' && effect.reason === 'response') ||
    (effect.type === 'coldTargets.changed' &&
      effect.isCold &&
      effect.source === 'response')
  );
}
