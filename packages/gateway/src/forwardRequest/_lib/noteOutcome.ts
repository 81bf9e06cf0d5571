import type { SendPlan } from '../../planSend/index.ts';
import type { SendResult } from '../../runSend/index.ts';
import type { ForwardContext } from '../types.ts';

/** A send that has ended. */
export interface Outcome {
  readonly plan: SendPlan;
  readonly result: SendResult;
  readonly fingerprint: () => string;
}

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
      noteBlamed(outcome, context);
      return;
    case 'notSent':
      if (plan.seats.length > 0) return;
      dispatch({
        type: 'roster.failed',
        atMs,
        id,
        reason: end.reason,
        isSlow: false,
      });
      return;
    case 'stalled':
      dispatch({
        type: 'roster.failed',
        atMs,
        id,
        reason: 'stalled',
        isSlow: true,
      });
      return;
    case 'broken':
      dispatch({
        type: 'roster.failed',
        atMs,
        id,
        reason: end.reason,
        isSlow: false,
      });
      dispatch({
        type: 'suspects.crashed',
        atMs,
        fingerprint: fingerprint(),
        targetId: id,
      });
  }
}

/** A refusal of a split prompt names the engine because of which it failed. */
function noteBlamed(outcome: Outcome, context: ForwardContext): void {
  const { plan, result } = outcome;
  if (plan.helpers.length === 0) return;
  const blamed = [plan.target, ...plan.helpers].find(
    (one) => one.address === result.target?.blamedAddress,
  );
  if (blamed === undefined) return;
  context.runtime.dispatch({
    type: 'roster.failed',
    atMs: context.now(),
    id: blamed.id,
    reason: 'named in a refusal',
    isSlow: false,
  });
}
