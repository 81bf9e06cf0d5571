import type { BucketMap } from '../../bucketMap/index.ts';
import type { EventBase } from '../../events/index.ts';
import type {
  SuspectReport,
  SuspectVerdict,
} from '../../applySuspectReport/index.ts';
import type { RequestInfo } from '../../request/index.ts';
import type { RaiseEffect } from '../../slice/index.ts';
import type { Step } from '../../step/index.ts';

/**
 * Phase of a tracked request.
 *
 * - `unrestricted`: the request runs normally.
 * - `leading`: the request is the only one of its fingerprint that runs; the
 *   others wait until it has produced its first token.
 * - `following`: the request waits for the leader of its fingerprint.
 * - `awaitingVerdict`: the request is a suspect and waits for a verdict.
 * - `waiting`: the request asks for a trial again at `dueAtMs`.
 * - `trial`: the request runs apart from other suspects.
 */
export type TrackedRequestPhase =
  | 'unrestricted'
  | 'leading'
  | 'following'
  | 'awaitingVerdict'
  | 'waiting'
  | 'trial';

/** A request with what this slice tracks about it. */
export interface TrackedRequest {
  readonly request: RequestInfo;
  readonly phase: TrackedRequestPhase;
  /** Whether the request has been sent to routing. */
  readonly sentToRouting: boolean;
  /** Target of the latest attempt. */
  readonly targetId: string | undefined;
  /** Time at which a request in phase `waiting` requests a trial again. */
  readonly dueAtMs: number;
}

/** A fingerprint that the fleet suspects, as last read from the store. */
export interface KnownSuspect {
  readonly fingerprint: string;
  readonly blocked: boolean;
  /** Number of target crashes during requests with the fingerprint. */
  readonly crashes: number;
  readonly untilMs: number;
}

/** State of the suspects slice. */
export interface SuspectsState {
  readonly trackedRequests: BucketMap<TrackedRequest>;
  /** Id of the leading request, by fingerprint not known to be good. */
  readonly leaders: BucketMap<string>;
  /** Ids of the requests that wait for the leader, by fingerprint. */
  readonly followers: BucketMap<readonly string[]>;
  /** Ids of the requests in phase `waiting`. */
  readonly waiting: BucketMap<true>;
  /** Fingerprints with a first token or an answer, in two generations. */
  readonly knownGood: BucketMap<true>;
  /** The generation before `knownGood`. */
  readonly previousKnownGood: BucketMap<true>;
  /** Suspects of the fleet and those that this entry found, by fingerprint. */
  readonly known: ReadonlyMap<string, KnownSuspect>;
  /**
   * Number of crashes that this entry saw, by fingerprint; decides while the
   * store is down.
   */
  readonly localCrashCounts: ReadonlyMap<string, number>;
  /** Time of the last recent crash, by target. */
  readonly lastCrashAtMs: ReadonlyMap<string, number>;
}

/** Events that the daemon's handler dispatches to this slice. */
export type SuspectsEvent = EventBase &
  (
    | {
        readonly type: 'suspects.verdictReceived';
        readonly requestId: string;
        readonly fingerprint: string;
        /** `storeDown` when the report could not be written to the store. */
        readonly verdict: SuspectVerdict | { readonly type: 'storeDown' };
      }
    /** The suspects of the fleet were read from the store. */
    | {
        readonly type: 'suspects.loaded';
        readonly suspects: readonly {
          readonly fingerprint: string;
          readonly blocked: boolean;
          readonly crashes: number;
          readonly remainingMs: number;
        }[];
      }
  );

/** Sends a report to the shared suspects document. */
export interface SuspectsEffect {
  readonly type: 'suspects.announce';
  readonly requestId: string;
  readonly report: SuspectReport;
}

/** Step of the suspects slice. */
export type SuspectsStep = Step<SuspectsState, SuspectsEffect | RaiseEffect>;
