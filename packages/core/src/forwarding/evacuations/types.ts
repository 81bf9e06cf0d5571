import type { ExactInteger } from '@endivegate/contracts/forwarding';
import type { Step } from '../../step/index.ts';

/** A revision of the store; revisions are unique only within an era. */
export interface FactPosition {
  readonly era: ExactInteger;
  readonly revision: ExactInteger;
}

/** What the store held on the evacuation of a data centre at one revision. */
export interface EvacuationFact extends FactPosition {
  readonly dataCentre: string;
  /** False once the request was removed. */
  readonly isEvacuated: boolean;
}

/** A fact as reported by another process. */
export interface EvacuationReport extends EvacuationFact {
  /** Time since an entry learned of it. */
  readonly ageMs: number;
}

/** A fact, and when an entry first learned of it. */
export interface Evacuation extends EvacuationFact {
  readonly sinceMs: number;
}

/** Complete list of the evacuated data centres at a position. */
export interface EvacuationList extends FactPosition {
  /** Revision of the request by data centre. */
  readonly revisions: ReadonlyMap<string, ExactInteger>;
}

/** Where a fact was learned: from the store, from an entry that watches it, or from
 * any entry. */
export type EvacuationSource = 'store' | 'watcher' | 'peer';

/** Known facts on evacuations. */
export interface EvacuationsState {
  /** Newest list; undefined before the first one. */
  readonly list: EvacuationList | undefined;
  /** Newest reported fact by data centre, whether or not the list replaces it. */
  readonly facts: ReadonlyMap<string, Evacuation>;
  /** What is in force, by data centre; follows from `list` and `facts`. */
  readonly current: ReadonlyMap<string, Evacuation>;
  /** Removals are reported until this time, by data centre. */
  readonly reportUntilMs: ReadonlyMap<string, number>;
  /** When this entry last read facts in the store itself; undefined if it never
   * did. */
  readonly readAtMs: number | undefined;
  /** When time last passed; undefined before the first tick. */
  readonly tickedAtMs: number | undefined;
  /** Until this time the facts may be outdated, because the process was stopped. */
  readonly outdatedUntilMs: number;
}

/** Events of the evacuations; times are from the monotonic clock. */
export type EvacuationsEvent =
  /** All requests were listed at a position of the store. */
  | {
      readonly type: 'evacuations.listed';
      readonly atMs: number;
      readonly at: FactPosition;
      readonly reports: readonly EvacuationReport[];
      readonly source: EvacuationSource;
    }
  /** Single facts were learned. */
  | {
      readonly type: 'evacuations.reported';
      readonly atMs: number;
      readonly reports: readonly EvacuationReport[];
      readonly source: EvacuationSource;
    }
  /** Time has passed. */
  | { readonly type: 'evacuations.ticked'; readonly atMs: number };

/** Changes to log, and whether to report to peers. */
export type EvacuationsEffect =
  | {
      readonly type: 'evacuations.changed';
      readonly evacuation: Evacuation;
      readonly source: EvacuationSource;
      readonly ageMs: number;
    }
  /** Peers may not know the newest facts. */
  | { readonly type: 'evacuations.reportDue' }
  /** The process was stopped for a time. */
  | { readonly type: 'evacuations.outdated'; readonly stoppedMs: number };

/** New facts and the changes to log. */
export type EvacuationsStep = Step<EvacuationsState, EvacuationsEffect>;
