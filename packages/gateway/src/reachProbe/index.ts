import { pickProbedTargets } from '@endivegate/core/forwarding';
import type { GatewayRuntime } from '../gatewayRuntime/index.ts';
import { probeAddress } from '../probeAddress/index.ts';

/** Probes targets to find out whether this entry reaches any. */
export interface ReachProbe {
  /** Call when a target has sent something. */
  readonly noteReceived: () => void;
  /** Starts a round if requests are open but no target has sent anything for a while;
   * called regularly. */
  readonly checkSilence: () => void;
  /** Registers a listener for the loss of the paths to all targets; returns a function
   * that removes it. */
  readonly onCutOff: (listener: () => void) => () => void;
  readonly close: () => void;
}

/** Options of {@link startReachProbe}. */
export interface StartReachProbeOptions {
  readonly runtime: GatewayRuntime;
  /** Monotonic time in ms. */
  readonly now: () => number;
  readonly probe?: typeof probeAddress;
}

/** Time between rounds of probes while an entry is cut off. */
const ROUND_INTERVAL_MS = 400;

/** A sound target may pause for a second; that long, several together may not. */
const MAX_SILENCE_MS = 1500;

/**
 * Starts a round of probes whenever the state of the gateway asks for one.
 *
 * @param options - State of the gateway.
 * @returns The probe.
 *
 * @example
 * startReachProbe({ runtime, now }).close();
 */
export function startReachProbe(options: StartReachProbeOptions): ReachProbe {
  const { runtime, now, probe = probeAddress } = options;
  const cutOffListeners = new Set<() => void>();
  let lastActivityAtMs = -Infinity;
  let timer: NodeJS.Timeout | undefined;
  let isClosed = false;

  function startRound(): void {
    const { roster, targetReach } = runtime.state();
    const targets = pickProbedTargets(roster, targetReach.failures);
    let pending = targets.length;
    let connected = 0;
    if (pending === 0) finishRound(0, 0);
    targets.forEach(({ address }) => {
      probe(address, (result) => {
        pending -= 1;
        if (result === 'accepted') connected += 1;
        if (pending === 0) finishRound(targets.length, connected);
      });
    });
  }

  function finishRound(probed: number, connected: number): void {
    if (isClosed) return;
    runtime.dispatch({ type: 'targetReach.probed', probed, connected });
  }

  /** Whether a request has been open at a target for longer than the silence. */
  function hasOldRequest(sinceMs: number): boolean {
    const { load, roster } = runtime.state();
    return [...load.flights.values()].some(
      (flight) =>
        flight.isAbandoned !== true &&
        flight.startedAtMs <= sinceMs &&
        roster.targets.has(flight.targetId),
    );
  }

  runtime.onEffect((effect) => {
    if (effect.type === 'targetReach.changed' && effect.phase === 'cutOff') {
      [...cutOffListeners].forEach((listener) => {
        listener();
      });
    }
    if (effect.type !== 'targetReach.probeDue' || isClosed) return;
    const isCutOff = runtime.state().targetReach.phase === 'cutOff';
    timer = setTimeout(startRound, isCutOff ? ROUND_INTERVAL_MS : 0);
  });

  return {
    noteReceived() {
      lastActivityAtMs = now();
    },
    checkSilence() {
      const nowMs = now();
      const sinceMs = nowMs - MAX_SILENCE_MS;
      if (lastActivityAtMs > sinceMs || !hasOldRequest(sinceMs)) return;
      lastActivityAtMs = nowMs;
      runtime.dispatch({ type: 'targetReach.silent' });
    },
    onCutOff(listener) {
      cutOffListeners.add(listener);
      return () => cutOffListeners.delete(listener);
    },
    close() {
      isClosed = true;
      clearTimeout(timer);
    },
  };
}
