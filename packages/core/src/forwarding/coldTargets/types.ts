import type { Step } from '../../step/index.ts';
import type { RosterTarget, TargetProcess } from '../targetRoster/index.ts';

/** What an entry learned about the warm-up of a process. */
export interface ColdReport extends TargetProcess {
  /** How long the process stays cold after `atMs`; 0 if it is warm. */
  readonly leftMs: number;
  /** Monotonic time at which this was said. */
  readonly atMs: number;
}

/**
 * Where a report comes from. `started` is no report: the process is new, and its
 * service says how long new processes are cold.
 */
export type ColdSource = 'started' | 'listed' | 'response' | 'peer';

/** A cold process, and when this entry may send to it. */
export interface ColdTarget extends ColdReport {
  readonly source: ColdSource;
  /** Shortest time between two requests of this entry; Infinity if it may send
   * none. */
  readonly spacingMs: number;
  /** Time from which `spacingMs` counts: the last request, or the begin of the
   * share. */
  readonly pacedFromMs: number;
  /** Whether `spacingMs` was computed for the entries known now. */
  readonly isDivided: boolean;
}

/** How many requests cold targets of a service take. */
export interface WarmUpRule {
  readonly warmUpMs: number;
  readonly requestsPerS: number;
}

/** Bound of the deployment on requests to a cold target in any second: `overrun`
 * times the rate of the service, plus `slack` requests. */
export interface WarmUpBound {
  readonly overrun: number;
  readonly slack: number;
}

/** An entry among which the requests to cold targets are divided. */
export interface MemberReport {
  /** Address for traffic between entries, which identifies it. */
  readonly address: string;
  /** Undefined if the entry is known only by its address. */
  readonly dataCentre: string | undefined;
  /** Monotonic time of its last message; undefined if there was none. */
  readonly heardAtMs: number | undefined;
  readonly isLeaving: boolean;
  /** Whether its build divides the requests as this one does. */
  readonly isAware: boolean;
}

/** An entry that is remembered, also while it is silent. */
export interface Member extends MemberReport {
  readonly addedAtMs: number;
}

/** This entry, as it takes part in the division. */
export interface OwnMember {
  readonly address: string;
  readonly dataCentre: string;
  /** Monotonic time at which its process started. */
  readonly startedAtMs: number;
  /** Whether it takes callers' requests and reaches targets. */
  readonly isServing: boolean;
}

/** State of the cold targets. */
export interface ColdTargetsState {
  /** Rules by service; empty until a service asks for them. */
  readonly rules: ReadonlyMap<string, WarmUpRule>;
  /** Start time of the newest known process by target id; undefined before the
   * first list. */
  readonly bornMsById: ReadonlyMap<string, number> | undefined;
  /** Cold targets by id. */
  readonly cold: ReadonlyMap<string, ColdTarget>;
  /** The other entries by address. */
  readonly members: ReadonlyMap<string, Member>;
  /** Time of the last tick; undefined before the first. */
  readonly tickedAtMs: number | undefined;
  /** When this entry started, resumed after a freeze, or began to serve. */
  readonly settlingSinceMs: number;
  readonly isServing: boolean;
  /** Whether this entry ever knew of another. */
  readonly hasHadMembers: boolean;
}

/** Events of the cold targets; times are from the monotonic clock. */
export type ColdTargetsEvent =
  /** Time has passed. Also the only event that reads targets and entries. */
  | {
      readonly type: 'coldTargets.ticked';
      readonly atMs: number;
      readonly rules: ReadonlyMap<string, WarmUpRule>;
      readonly bound: WarmUpBound;
      readonly targets: readonly RosterTarget[];
      readonly members: readonly MemberReport[];
      readonly own: OwnMember;
    }
  /** A response said how long its process stays cold. */
  | {
      readonly type: 'coldTargets.responded';
      readonly report: ColdReport;
      /** When the request was sent. */
      readonly sentAtMs: number;
    }
  /** A peer reported cold targets; times are from the receiver's clock. */
  | {
      readonly type: 'coldTargets.received';
      readonly reports: readonly ColdReport[];
    }
  /** This entry sends requests to a target. */
  | {
      readonly type: 'coldTargets.sent';
      readonly atMs: number;
      readonly id: string;
      readonly calls: number;
    };

/** A change to log. */
export interface ColdTargetsEffect {
  readonly type: 'coldTargets.changed';
  readonly id: string;
  readonly isCold: boolean;
  /** 0 once it is warm. */
  readonly leftMs: number;
  readonly source: ColdSource | 'elapsed';
  /** Whether the value was above the longest accepted time. */
  readonly isClamped: boolean;
}

/** New state and the changes to log. */
export type ColdTargetsStep = Step<ColdTargetsState, ColdTargetsEffect>;
