import {
  type CrashReport,
  type PartDeath,
  processKey,
  requestPart,
  type TargetProcess,
} from '@endivegate/core/forwarding';
import { xxHash32 } from 'js-xxhash';
import type { EventLog } from '../createEventLog/index.ts';
import type { GatewayMetrics } from '../createGatewayMetrics/index.ts';
import type { GatewayRuntime } from '../gatewayRuntime/index.ts';
import type { SendDestination } from '../planSend/index.ts';
import { probeAddress } from '../probeAddress/index.ts';
import { probeOthers } from '../probeOthers/index.ts';
import { reportedService } from '../partGuard/_lib/reportedService.ts';
import { shortName } from '../shortName/index.ts';

/** A send whose connection broke before its answer was complete. */
export interface BrokenSend {
  readonly attemptId: string;
  readonly service: string;
  readonly target: SendDestination;
  /** See `PartDeath`. */
  readonly parts: readonly string[];
  /** Fingerprint of the request. */
  readonly fingerprint: string;
  readonly sentAtMs: number;
  readonly endedAtMs: number;
}

/** Finds out whether targets whose connections broke have died. */
export interface TargetDeaths {
  readonly sendBroke: (send: BrokenSend) => void;
  /** Checks a target that an entry of an earlier build reports as crashed, which it does
   * for each broken connection. Each report is checked once. */
  readonly crashReported: (crash: CrashReport) => void;
}

/** Options of {@link createTargetDeaths}. */
export interface CreateTargetDeathsOptions {
  readonly runtime: Pick<GatewayRuntime, 'state' | 'dispatch'>;
  readonly log: EventLog;
  readonly metrics: Pick<GatewayMetrics, 'partSuspected'>;
  /** Monotonic time in ms. */
  readonly now: () => number;
  readonly probe?: typeof probeAddress;
}

/** A process may accept a last connection while it ends. */
const MAX_PROBES = 2;

/** Earlier builds repeat a report for two minutes. */
const MAX_KNOWN_REPORTS = 256;

/** Earlier builds do not report when a request was sent. Targets whose crashes are
 * reported within this time count as one. */
const ASSUMED_RUN_MS = 200;

const REPROBE_DELAY_MS = 100;

/** With the hash of a request, names of processes and sends fit into rows of builds of
 * protocol version 1, which read 128 characters. */
const MAX_PROCESS_BYTES = 117;

/**
 * Creates the check for dead targets. A target whose connection broke is dead if it
 * refuses a new connection while another target accepts one, or if it is listed as
 * another process by then. A target that accepts is alive, and one that does not answer
 * may be cut off. A target that was leaving, or is no longer listed, has ended as planned.
 *
 * @param options - State, log and clock of the gateway.
 * @returns The check, with one probe at a time for each process.
 *
 * @example
 * createTargetDeaths({ runtime, log, metrics, now }).sendBroke(send);
 */
export function createTargetDeaths(
  options: CreateTargetDeathsOptions,
): TargetDeaths {
  const { runtime, log, metrics, now, probe = probeAddress } = options;
  const waiting = new Map<string, readonly BrokenSend[]>();
  const knownReports = new Set<string>();

  function sendBroke(send: BrokenSend): void {
    const { target } = send;
    const listed = runtime.state().roster.targets.get(target.id);
    if (listed === undefined || listed.draining) return;
    const process = processName(target);
    const sends = waiting.get(process);
    waiting.set(process, [...(sends ?? []), send]);
    if (sends !== undefined) return;
    if (isKnownDead(process) || isReplaced(target)) settle(process, true);
    else startProbe(target, 1);
  }

  function startProbe(target: SendDestination, number: number): void {
    probe(target.address, (result) => {
      if (result === 'accepted') retryProbe(target, number);
      else if (result === 'refused') checkPath(target, number);
      else settle(processName(target), isReplaced(target));
    });
  }

  function retryProbe(target: SendDestination, number: number): void {
    if (number >= MAX_PROBES || isReplaced(target)) {
      settle(processName(target), isReplaced(target));
      return;
    }
    setTimeout(() => {
      startProbe(target, number + 1);
    }, REPROBE_DELAY_MS);
  }

  /** Finds out whether the path is lost, in which case a refused connection says nothing
   * about a single target. */
  function checkPath(target: SendDestination, number: number): void {
    probeOthers(
      target.id,
      (reaches) => {
        if (reaches === undefined) confirm(target, number, reachesTargets());
        else confirmAgain(target, number, reaches);
      },
      { runtime, probe },
    );
  }

  /** A path that was lost may be back since the target refused. */
  function confirmAgain(
    target: SendDestination,
    number: number,
    reaches: boolean,
  ): void {
    if (!reaches) {
      confirm(target, number, false);
      return;
    }
    probe(target.address, (result) => {
      confirm(target, number, result === 'refused');
    });
  }

  function confirm(
    target: SendDestination,
    number: number,
    isDead: boolean,
  ): void {
    if (isDead) settle(processName(target), true);
    else retryProbe(target, number);
  }

  /** Whether this entry has, and may have, paths to targets. */
  function reachesTargets(): boolean {
    return runtime.state().targetReach.phase === 'reaching';
  }

  function isKnownDead(process: string): boolean {
    return [...runtime.state().partSuspects.deaths.values()].some(
      (death) => death.process === process,
    );
  }

  function isReplaced(target: SendDestination): boolean {
    const listed = runtime.state().roster.targets.get(target.id);
    return listed !== undefined && listed.bornMs !== target.bornMs;
  }

  function settle(process: string, isDead: boolean): void {
    const sends = waiting.get(process) ?? [];
    waiting.delete(process);
    if (isDead) sends.forEach(recordDeath);
  }

  function recordDeath(send: BrokenSend): void {
    const process = processName(send.target);
    const death: PartDeath = {
      id: `${process}#${xxHash32(send.attemptId)}`,
      service: send.service,
      process,
      parts: send.parts,
      sentAtMs: send.sentAtMs,
      endedAtMs: send.endedAtMs,
    };
    metrics.partSuspected({ event: 'death' });
    log.info('suspect.death', {
      request: send.attemptId,
      service: send.service,
      target: send.target.id,
      parts: send.parts,
    });
    const crash = {
      fingerprint: send.fingerprint,
      targetId: send.target.id,
    };
    runtime.dispatch({ type: 'partSuspects.died', atMs: now(), death, crash });
  }

  function crashReported({ fingerprint, targetId }: CrashReport): void {
    const target = runtime.state().roster.targets.get(targetId);
    if (target === undefined) return;
    const report = `${processName(target)}#${fingerprint}`;
    if (knownReports.has(report)) return;
    knownReports.add(report);
    const [oldest] = knownReports;
    if (knownReports.size > MAX_KNOWN_REPORTS && oldest !== undefined) {
      knownReports.delete(oldest);
    }
    sendBroke({
      attemptId: fingerprint,
      service: reportedService(target.service),
      target,
      parts: [requestPart(fingerprint)],
      fingerprint,
      sentAtMs: now() - ASSUMED_RUN_MS,
      endedAtMs: now(),
    });
  }

  return { sendBroke, crashReported };
}

/** Identifies a process in reports to peers. */
function processName(target: TargetProcess): string {
  return shortName(processKey(target), MAX_PROCESS_BYTES);
}
