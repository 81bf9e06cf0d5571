import { pickProbedTargets } from '@endivegate/core/forwarding';
import type { GatewayRuntime } from '../gatewayRuntime/index.ts';
import type { probeAddress } from '../probeAddress/index.ts';

/** Options of {@link probeOthers}. */
export interface ProbeOthersOptions {
  readonly runtime: Pick<GatewayRuntime, 'state'>;
  readonly probe: typeof probeAddress;
}

/**
 * Finds out whether this entry reaches other targets than one that does not answer: if it
 * does not, the path may be lost.
 *
 * @param targetId - The target that does not answer.
 * @param done - Receives whether another one accepts a connection; undefined if there is
 * no other one to ask.
 * @param options - State of the gateway, and how to connect.
 *
 * @example
 * probeOthers('t1', (reaches) => log.info('path', { reaches }), { runtime, probe });
 */
export function probeOthers(
  targetId: string,
  done: (reaches: boolean | undefined) => void,
  { runtime, probe }: ProbeOthersOptions,
): void {
  const { roster, targetReach } = runtime.state();
  const targets = new Map(roster.targets);
  targets.delete(targetId);
  const others = pickProbedTargets(
    { ...roster, targets },
    targetReach.failures,
  );
  if (others.length === 0) {
    done(undefined);
    return;
  }
  let pending = others.length;
  let accepted = 0;
  others.forEach(({ address }) => {
    probe(address, (result) => {
      pending -= 1;
      if (result === 'accepted') accepted += 1;
      if (pending === 0) done(accepted > 0);
    });
  });
}
