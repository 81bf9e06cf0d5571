import type { FailureCause } from '@endivegate/core/forwarding';
import type { SendPlan } from '../../planSend/index.ts';
import type { SendResult } from '../../runSend/index.ts';
import type { ForwardContext } from '../types.ts';

/** A completed send. */
export interface Outcome {
  readonly plan: SendPlan;
  readonly result: SendResult;
}

/** 421 Misdirected Request: another process listens at the target's address. */
const MISDIRECTED = 421;

/** Updates the gateway's state with the outcome of a send. */
export function recordOutcome(outcome: Outcome, context: ForwardContext): void {
  const { plan, result } = outcome;
  const { end } = result;
  const { dispatch } = context.runtime;
  const atMs = context.now();
  const { id } = plan.target;
  context.admission?.sendEnded(plan, end);
  switch (end.type) {
    case 'answered':
      dispatch({
        type: 'roster.succeeded',
        atMs,
        id,
        ratio: result.passTimeRatio,
      });
      return;
    case 'refused':
      recordRefusal(end.status);
      return;
    case 'notSent':
      if (plan.reservations.length === 0 && end.obstacle === undefined)
        reportFailure(id, end.reason, 'broken');
      return;
    case 'broken':
      if (end.isTargetLost !== true) reportFailure(id, end.reason, 'broken');
  }

  /**
   * Marks the engine that a refusal blames as failed. A misdirected request
   * that blames no engine counts against the target itself.
   */
  function recordRefusal(status: number): void {
    const engines = [plan.target, ...plan.helpers];
    const blamed = engines.find(
      (one) => one.address === result.target?.blamedAddress,
    );
    const isReplaced = status === MISDIRECTED;
    if (isReplaced)
      reportFailure((blamed ?? plan.target).id, 'misdirected', 'replaced');
    else if (blamed !== undefined && plan.helpers.length > 0) {
      reportFailure(blamed.id, 'blamed in a refusal', 'broken');
    }
  }

  function reportFailure(
    targetId: string,
    reason: string,
    cause: FailureCause,
  ): void {
    dispatch({ type: 'roster.failed', atMs, id: targetId, reason, cause });
    if (cause === 'broken') {
      dispatch({ type: 'targetReach.failed', atMs, id: targetId });
    }
  }
}

/**
 * Avoids a target that was silent for so long that another was asked to take
 * over. Whatever lost the state of its connection may have lost that of the idle
 * connections too. Of a silent peer, only the idle connections are closed.
 */
export function recordSilence(
  { target, isRelay }: Pick<SendPlan, 'target' | 'isRelay'>,
  context: ForwardContext,
): void {
  if (isRelay) {
    context.peerPool.discard(target.address);
    return;
  }
  const { id } = target;
  const atMs = context.now();
  context.pool.discard(target.address);
  context.runtime.dispatch({ type: 'targetReach.failed', atMs, id });
  context.runtime.dispatch({
    type: 'roster.failed',
    atMs,
    id,
    reason: 'stalled',
    cause: 'slow',
  });
}
