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
 * Where a request stands.
 *
 * - `free`: it runs as any other.
 * - `leading`: it is the only one of its fingerprint that runs; others with
 *   the same fingerprint wait until it has given its first token.
 * - `following`: it waits for the leading one.
 * - `asking`: its suspicion is being judged.
 * - `waiting`: it asks again at `nextAtMs`.
 * - `trial`: it runs apart from other suspects.
 */
export type TrackedRequestPhase =
  'free' | 'leading' | 'following' | 'asking' | 'waiting' | 'trial';

/** A request as this slice sees it. */
export interface TrackedRequest {
  readonly request: RequestInfo;
  readonly phase: TrackedRequestPhase;
  /** Whether routing knows the request already. */
  readonly arrived: boolean;
  readonly targetId: string | undefined;
  readonly nextAtMs: number;
}

/** A suspect of the fleet as last learned. */
export interface KnownSuspect {
  readonly fingerprint: string;
  readonly blocked: boolean;
  /** Crashes at which it was in flight. */
  readonly crashes: number;
  readonly untilMs: number;
}

/** What the entry knows of requests that were in flight at crashes. */
export interface SuspectsState {
  readonly flights: BucketMap<TrackedRequest>;
  /** Leading request of each fingerprint that has not answered yet. */
  readonly leaders: BucketMap<string>;
  /** Requests that wait for the leading one, by fingerprint. */
  readonly followers: BucketMap<readonly string[]>;
  /** Requests in phase `waiting`. */
  readonly waiting: BucketMap<true>;
  /** Fingerprints that gave a first token, in two generations. */
  readonly proven: BucketMap<true>;
  readonly provenBefore: BucketMap<true>;
  /** Suspects of the fleet, by fingerprint. */
  readonly known: ReadonlyMap<string, KnownSuspect>;
  /** Crashes this entry saw, by fingerprint; used while the store is down. */
  readonly ownCrashes: ReadonlyMap<string, number>;
  /** When each target crashed last. */
  readonly crashedAtMs: ReadonlyMap<string, number>;
}

/** Replies of the handler. */
export type SuspectsEvent = EventBase &
  (
    | {
        readonly type: 'suspects.judged';
        readonly requestId: string;
        readonly fingerprint: string;
        /** `storeDown` when the store could not be asked. */
        readonly verdict: SuspectVerdict | { readonly type: 'storeDown' };
      }
    /** The suspects of the fleet were read. */
    | {
        readonly type: 'suspects.learned';
        readonly suspects: readonly {
          readonly fingerprint: string;
          readonly blocked: boolean;
          readonly crashes: number;
          readonly remainingMs: number;
        }[];
      }
  );

/** Reports for the suspects of the fleet. */
export interface SuspectsEffect {
  readonly type: 'suspects.announce';
  readonly requestId: string;
  readonly report: SuspectReport;
}

/** Step of the suspects slice. */
export type SuspectsStep = Step<SuspectsState, SuspectsEffect | RaiseEffect>;
