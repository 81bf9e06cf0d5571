import { createReduce } from '../../createReduce/index.ts';
import {
  type BudgetEvent,
  type BudgetState,
  initialBudget,
  reduceBudget,
} from '../retryBudget/index.ts';
import {
  type EvacuationsEffect,
  type EvacuationsEvent,
  type EvacuationsState,
  initialEvacuations,
  reduceEvacuations,
} from '../evacuations/index.ts';
import {
  type ColdTargetsEffect,
  type ColdTargetsEvent,
  type ColdTargetsState,
  initialColdTargets,
  reduceColdTargets,
} from '../coldTargets/index.ts';
import {
  type ConfigSyncEffect,
  type ConfigSyncEvent,
  type ConfigSyncState,
  initialConfigSync,
  reduceConfigSync,
} from '../configSync/index.ts';
import {
  initialLoad,
  type LoadEvent,
  type LoadState,
  reduceLoad,
} from '../engineLoad/index.ts';
import {
  initialPartSuspects,
  type PartSuspectsEffect,
  type PartSuspectsEvent,
  type PartSuspectsState,
  reducePartSuspects,
} from '../partSuspects/index.ts';
import {
  initialPeers,
  type PeersEffect,
  type PeersEvent,
  type PeersState,
  reducePeers,
} from '../peerList/index.ts';
import {
  initialReach,
  type ReachEffect,
  type ReachEvent,
  type ReachState,
  reduceReach,
} from '../targetReach/index.ts';
import {
  type DurationsEvent,
  type DurationsState,
  initialDurations,
  reduceDurations,
} from '../requestDurations/index.ts';
import {
  initialTargetLimits,
  reduceTargetLimits,
  type TargetLimitsEffect,
  type TargetLimitsEvent,
  type TargetLimitsState,
} from '../targetLimits/index.ts';
import {
  initialRoster,
  reduceRoster,
  type RosterEffect,
  type RosterEvent,
  type RosterState,
} from '../targetRoster/index.ts';
import type { Reducer } from '../../step/index.ts';

/** State of a forwarding gateway. */
export interface GatewayState {
  readonly roster: RosterState;
  readonly load: LoadState;
  readonly peers: PeersState;
  readonly budget: BudgetState;
  readonly partSuspects: PartSuspectsState;
  readonly targetLimits: TargetLimitsState;
  readonly targetReach: ReachState;
  readonly evacuations: EvacuationsState;
  readonly coldTargets: ColdTargetsState;
  readonly configSync: ConfigSyncState;
  readonly durations: DurationsState;
}

/** Every event that changes the state of a gateway. */
export type GatewayEvent =
  | RosterEvent
  | LoadEvent
  | PeersEvent
  | BudgetEvent
  | PartSuspectsEvent
  | TargetLimitsEvent
  | ReachEvent
  | EvacuationsEvent
  | ColdTargetsEvent
  | ConfigSyncEvent
  | DurationsEvent;

/** State changes to log. */
export type GatewayEffect =
  | RosterEffect
  | PeersEffect
  | PartSuspectsEffect
  | TargetLimitsEffect
  | ReachEffect
  | EvacuationsEffect
  | ColdTargetsEffect
  | ConfigSyncEffect;

/** State of a gateway before its first event. */
export const initialGatewayState: GatewayState = {
  roster: initialRoster,
  load: initialLoad,
  peers: initialPeers,
  budget: initialBudget,
  partSuspects: initialPartSuspects,
  targetLimits: initialTargetLimits,
  targetReach: initialReach,
  evacuations: initialEvacuations,
  coldTargets: initialColdTargets,
  configSync: initialConfigSync,
  durations: initialDurations,
};

/**
 * Applies one event to all state slices of a gateway.
 *
 * @param state - Current state.
 * @param event - The event to apply.
 * @returns The new state and the changes to log.
 *
 * @example
 * gatewayReduce(initialGatewayState, { type: 'roster.ticked', atMs: 0 });
 */
export const gatewayReduce: Reducer<GatewayState, GatewayEvent, GatewayEffect> =
  createReduce({
    roster: { initial: initialRoster, reduce: reduceRoster },
    load: { initial: initialLoad, reduce: reduceLoad },
    peers: { initial: initialPeers, reduce: reducePeers },
    budget: { initial: initialBudget, reduce: reduceBudget },
    partSuspects: { initial: initialPartSuspects, reduce: reducePartSuspects },
    targetLimits: { initial: initialTargetLimits, reduce: reduceTargetLimits },
    targetReach: { initial: initialReach, reduce: reduceReach },
    evacuations: { initial: initialEvacuations, reduce: reduceEvacuations },
    coldTargets: { initial: initialColdTargets, reduce: reduceColdTargets },
    configSync: { initial: initialConfigSync, reduce: reduceConfigSync },
    durations: { initial: initialDurations, reduce: reduceDurations },
  });
