import type { FailureCause } from '@endivegate/core/forwarding';
import type { SendPlan } from '../../planSend/index.ts';
import type { SendResult } from '../../runSend/index.ts';
import type { ForwardContext } from '../types.ts';

/** A send that has ended. */
export interface Outcome {
  readonly plan: SendPlan;
  readonly result: SendResult;
  readonly fingerprint: () => string;
}

/** Another process answers at the target's address. */
const MISDIRECTED = 421;

/** Tells the gateway's state what a send showed of its target. */
export function noteOutcome(outcome: Outcome, context: ForwardContext): void {
  const { plan, result, fingerprint } = outcome;
  const { end } = result;
  const { dispatch, state } = context.runtime;
  const atMs = context.now();
  const { id } = plan.target;
  switch (end.type) {
    case 'answered':
      dispatch({ type: 'roster.succeeded', atMs, id, ratio: result.pace });
      if (state().suspects.size > 0) {
        dispatch({ type: 'suspects.cleared', fingerprint: fingerprint() });
      }
      return;
    case 'refused':
      noteRefusal(end.status);
      return;
    case 'notSent':
      if (plan.seats.length === 0) failed(id, end.reason, 'broken');
      return;
    case 'stalled':
      // Whatever lost track of this connection may have lost the others too.
      context.pool.discard(plan.target.address);
      failed(id, 'stalled', 'slow');
      return;
    case 'broken':
      failed(id, end.reason, 'broken');
      dispatch({
        type: 'suspects.crashed',
        atMs,
        fingerprint: fingerprint(),
        targetId: id,
      });
  }

  /** A refusal names the engine because of which it failed; of one that is not
   * at its address any more, the target itself where none is named. */
  function noteRefusal(status: number): void {
    const asked = [plan.target, ...plan.helpers];
    const named = asked.find(
      (one) => one.address === result.target?.blamedAddress,
    );
    const isReplaced = status === MISDIRECTED;
    if (isReplaced)
      failed((named ?? plan.target).id, 'misdirected', 'replaced');
    else if (named !== undefined && plan.helpers.length > 0) {
      failed(named.id, 'named in a refusal', 'broken');
    }
  }

  function failed(targetId: string, reason: string, cause: FailureCause): void {
    dispatch({ type: 'roster.failed', atMs, id: targetId, reason, cause });
  }
}
