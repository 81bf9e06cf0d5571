import type { Step } from '../../step/index.ts';
import type { TargetProcess } from '../targetRoster/index.ts';

/** What a response said about the limit of the process that sent it. */
export interface LimitReport extends TargetProcess {
  /** Requests per second that the process takes from all entries together;
   * undefined if the response named no limit. */
  readonly requestsPerS: number | undefined;
  /** Monotonic time of the response. */
  readonly atMs: number;
}

/** Part of a target's limit that one entry may use. */
export interface LimitShare {
  readonly requestsPerS: number;
  /** Most permits that it may have at a time. */
  readonly burst: number;
}

/** The newest report on a process, and what this entry may send to it. */
export interface TargetLimit extends LimitReport {
  /** Whether this entry received the response itself. */
  readonly isOwn: boolean;
  readonly share: LimitShare;
  /** Requests that this entry might send at `permitsAtMs`; below 0 after it sent
   * more than that. */
  readonly permits: number;
  readonly permitsAtMs: number;
}

/** Newest report by target id. */
export type TargetLimitsState = ReadonlyMap<string, TargetLimit>;

/** Events of the limits; times are from the monotonic clock. */
export type TargetLimitsEvent =
  /** A target responded to a request of this entry. */
  | {
      readonly type: 'targetLimits.responded';
      readonly report: LimitReport;
      /** When the request was sent. */
      readonly sentAtMs: number;
    }
  /** A peer reported limits; times are from the receiver's clock. */
  | {
      readonly type: 'targetLimits.received';
      readonly reports: readonly LimitReport[];
    }
  /** This entry sends requests or orders to a target. */
  | {
      readonly type: 'targetLimits.sent';
      readonly atMs: number;
      readonly id: string;
      readonly calls: number;
    }
  /** Time has passed. */
  | {
      readonly type: 'targetLimits.ticked';
      readonly atMs: number;
      /** This entry's shares; see `limitShares`. */
      readonly shares: ReadonlyMap<string, LimitShare>;
    };

/** A change of a limit to log. */
export interface TargetLimitsEffect {
  readonly type: 'targetLimits.changed';
  readonly id: string;
  readonly requestsPerS: number | undefined;
  readonly beforePerS: number | undefined;
  readonly reason: 'response' | 'reported by a peer' | 'expired';
}

/** New limits and the changes to log. */
export type TargetLimitsStep = Step<TargetLimitsState, TargetLimitsEffect>;
