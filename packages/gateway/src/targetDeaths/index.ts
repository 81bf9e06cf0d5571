import { type PartDeath, processKey } from '@endivegate/core/forwarding';
import { xxHash32 } from 'js-xxhash';
import type { EventLog } from '../createEventLog/index.ts';
import type { GatewayMetrics } from '../createGatewayMetrics/index.ts';
import type { GatewayRuntime } from '../gatewayRuntime/index.ts';
import type { SendDestination } from '../planSend/index.ts';
import { probeAddress, type ProbeResult } from '../probeAddress/index.ts';

/** A send whose connection broke before its answer began. */
export interface BrokenSend {
  readonly attemptId: string;
  readonly service: string;
  readonly target: SendDestination;
  readonly parts: readonly string[];
  readonly sentAtMs: number;
  readonly endedAtMs: number;
}

/** Finds out whether targets whose connections broke have died. */
export interface TargetDeaths {
  readonly sendBroke: (send: BrokenSend) => void;
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

const REPROBE_DELAY_MS = 100;

/**
 * Creates the check for dead targets. A target whose connection broke is dead if
 * a new connection is refused, or if it is listed as another process by then. A
 * target that accepts is alive, and one that does not answer may be cut off, as may
 * this entry if others fail too. A
 * target that was leaving, or is no longer listed, has ended as planned.
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

  function sendBroke(send: BrokenSend): void {
    const { target } = send;
    const listed = runtime.state().roster.targets.get(target.id);
    if (listed === undefined || listed.draining) return;
    const process = processKey(target);
    const sends = waiting.get(process);
    waiting.set(process, [...(sends ?? []), send]);
    if (sends !== undefined) return;
    if (isKnownDead(process) || isReplaced(target)) settle(process, true);
    else startProbe(target, 1);
  }

  function startProbe(target: SendDestination, number: number): void {
    const process = processKey(target);
    probe(target.address, (result) => {
      const isInDoubt = result === 'accepted' || !reachesTargets();
      if (isInDoubt && number < MAX_PROBES && !isReplaced(target)) {
        setTimeout(() => {
          startProbe(target, number + 1);
        }, REPROBE_DELAY_MS);
        return;
      }
      settle(process, isDeath(target, result));
    });
  }

  function isDeath(target: SendDestination, result: ProbeResult): boolean {
    return (result === 'refused' && reachesTargets()) || isReplaced(target);
  }

  /** While this entry has lost its paths to all targets, or may have, a refused
   * connection says nothing about a single one. */
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
    const process = processKey(send.target);
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
    runtime.dispatch({ type: 'partSuspects.died', atMs: now(), death });
  }

  return { sendBroke };
}
