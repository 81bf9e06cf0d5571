import { pickProbedTargets } from '@endivegate/core/forwarding';
import type { GatewayRuntime } from '../gatewayRuntime/index.ts';
import { probeAddress } from '../probeAddress/index.ts';

/** Probes targets to find out whether this entry reaches any. */
export interface ReachProbe {
  readonly close: () => void;
}

/** Options of {@link startReachProbe}. */
export interface StartReachProbeOptions {
  readonly runtime: GatewayRuntime;
  readonly probe?: typeof probeAddress;
}

/** Time between rounds of probes while an entry is cut off. */
const ROUND_INTERVAL_MS = 400;

/**
 * Starts a round of probes whenever the state of the gateway asks for one.
 *
 * @param options - State of the gateway.
 * @returns The probe.
 *
 * @example
 * startReachProbe({ runtime }).close();
 */
export function startReachProbe(options: StartReachProbeOptions): ReachProbe {
  const { runtime, probe = probeAddress } = options;
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

  runtime.onEffect((effect) => {
    if (effect.type !== 'targetReach.probeDue' || isClosed) return;
    const isCutOff = runtime.state().targetReach.phase === 'cutOff';
    timer = setTimeout(startRound, isCutOff ? ROUND_INTERVAL_MS : 0);
  });

  return {
    close() {
      isClosed = true;
      clearTimeout(timer);
    },
  };
}
