import type { RoutingMessage } from '@endivegate/contracts';
import type { EventBase } from '../../events/index.ts';
import { addDemand, takeDemand } from './demand.ts';
import { answerLimitReport, takeLimitGrant } from './limited.ts';
import { proceed } from './admit.ts';
import { retryLimited } from './limitQueue.ts';
import { placerOf } from './peers.ts';
import { takeGrant, takeRefusal } from './placing.ts';
import { noteEnded, notePrefilled, want } from './placer.ts';
import { andThen, withEffects } from './requests.ts';
import type { RoutingState, RoutingStep } from './types.ts';

/** Handles a message of another entry, or of this one to itself. */
export function handleMessage(
  state: RoutingState,
  stamp: EventBase,
  fromEntryId: string,
  message: RoutingMessage,
): RoutingStep {
  switch (message.type) {
    case 'placementWanted':
      return want(state, stamp, fromEntryId, message);
    case 'placementPrefilled':
      return notePrefilled(state, stamp, message.requestId);
    case 'placementEnded':
      return noteEnded(state, stamp, message.requestId);
    case 'placementGranted':
      return takeGrant(state, stamp, message);
    case 'placementRefused':
      return takeRefusal(state, stamp, message);
    case 'limitWanted':
      return answerLimitReport(state, stamp, fromEntryId, message);
    case 'limitGranted':
      return retryLimited(
        takeLimitGrant(state, stamp, message),
        stamp,
        proceed,
      );
    case 'demand':
      return takeReport(state, fromEntryId, message);
    case 'lanes': {
      const lanes = new Map(state.lanes).set(message.model, message.plan);
      return withEffects({ ...state, lanes }, []);
    }
  }
}

/** Delivers messages of a step to this entry itself within the same step. */
export function deliverToSelf(
  step: RoutingStep,
  stamp: EventBase,
): RoutingStep {
  const selfId = step.state.self?.entryId;
  return step.effects.reduce<RoutingStep>(
    (done, effect) => {
      if (effect.type !== 'routing.sendPeer' || effect.toEntryId !== selfId) {
        return { ...done, effects: [...done.effects, effect] };
      }
      const { message } = effect;
      return andThen(done, (state) =>
        deliverToSelf(handleMessage(state, stamp, selfId, message), stamp),
      );
    },
    { state: step.state, effects: [] },
  );
}

/** Reports demand to the placing entries, when it is time. */
export function reportDemand(
  state: RoutingState,
  stamp: EventBase,
): RoutingStep {
  const taken = takeDemand(state, stamp);
  return withEffects(
    taken.state,
    taken.reports.map(([model, work]) => ({
      type: 'routing.sendPeer',
      toEntryId: placerOf(state, model) ?? '',
      message: { type: 'demand', model, work },
    })),
  );
}

function takeReport(
  state: RoutingState,
  fromEntryId: string,
  { model, work }: RoutingMessage & { readonly type: 'demand' },
): RoutingStep {
  const added = addDemand(state, model, work);
  const plan = added.lanes.get(model);
  if (!plan) return withEffects(added, []);
  return withEffects(added, [
    {
      type: 'routing.sendPeer',
      toEntryId: fromEntryId,
      message: { type: 'lanes', model, plan },
    },
  ]);
}
