import type { RoutingMessage } from '@endivegate/contracts';
import type { EventBase } from '../../events/index.ts';
import { addReportedWork, takeDueReports } from './demand.ts';
import { handleLimitReport, handleLimitGrant } from './limitUse.ts';
import { sendOrQueue } from './admit.ts';
import { drainLimitQueues } from './limitQueue.ts';
import { placerOf } from './placerOf.ts';
import {
  handlePlacementGranted,
  handlePlacementRefused,
} from './placementRequests.ts';
import {
  handlePlacementEnded,
  handlePlacementPrefilled,
  handlePlacementWanted,
} from './placer.ts';
import { andThen, withEffects } from './routedRequests.ts';
import type { RoutingState, RoutingStep } from './types.ts';

/** Handles a message from another entry or from this entry itself. */
export function handleMessage(
  state: RoutingState,
  eventBase: EventBase,
  fromEntryId: string,
  message: RoutingMessage,
): RoutingStep {
  switch (message.type) {
    case 'placementWanted':
      return handlePlacementWanted(state, eventBase, fromEntryId, message);
    case 'placementPrefilled':
      return handlePlacementPrefilled(state, eventBase, message.requestId);
    case 'placementEnded':
      return handlePlacementEnded(state, eventBase, message.requestId);
    case 'placementGranted':
      return handlePlacementGranted(state, eventBase, message);
    case 'placementRefused':
      return handlePlacementRefused(state, eventBase, message);
    case 'limitWanted':
      return handleLimitReport(state, eventBase, fromEntryId, message);
    case 'limitGranted':
      return drainLimitQueues(
        handleLimitGrant(state, eventBase, message),
        eventBase,
        sendOrQueue,
      );
    case 'demand':
      return handleDemandReport(state, fromEntryId, message);
    case 'lanes': {
      const lanes = new Map(state.lanes).set(message.model, message.plan);
      return withEffects({ ...state, lanes }, []);
    }
  }
}

/** Handles the step's messages addressed to this entry within the same step. */
export function deliverToSelf(
  step: RoutingStep,
  eventBase: EventBase,
): RoutingStep {
  const selfId = step.state.self?.entryId;
  return step.effects.reduce<RoutingStep>(
    (done, effect) => {
      if (effect.type !== 'routing.sendPeer' || effect.toEntryId !== selfId) {
        return { ...done, effects: [...done.effects, effect] };
      }
      const { message } = effect;
      return andThen(done, (state) =>
        deliverToSelf(
          handleMessage(state, eventBase, selfId, message),
          eventBase,
        ),
      );
    },
    { state: step.state, effects: [] },
  );
}

/** Sends the demand reports that are due to the models' placing entries. */
export function reportDemand(
  state: RoutingState,
  eventBase: EventBase,
): RoutingStep {
  const due = takeDueReports(state, eventBase);
  return withEffects(
    due.state,
    due.reports.map(([model, work]) => ({
      type: 'routing.sendPeer',
      toEntryId: placerOf(state, model) ?? '',
      message: { type: 'demand', model, work },
    })),
  );
}

function handleDemandReport(
  state: RoutingState,
  fromEntryId: string,
  { model, work }: RoutingMessage & { readonly type: 'demand' },
): RoutingStep {
  const added = addReportedWork(state, model, work);
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
