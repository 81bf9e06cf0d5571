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

/** The newest report on a process. */
export interface TargetLimit extends LimitReport {
  /** Whether this entry received the response itself. */
  readonly isOwn: boolean;
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
  | { readonly type: 'targetLimits.ticked'; readonly atMs: number };

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
