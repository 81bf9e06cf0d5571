import type { Ran, StoredAnswer } from '@endivegate/contracts';
import type { BucketMap } from '../../bucketMap/index.ts';
import type { RequestEnd } from '../../events/index.ts';
import type { RetryBudgets } from './retryBudget.ts';
import type { RequestInfo } from '../../request/index.ts';
import type { RaiseEffect } from '../../slice/index.ts';
import type { Step } from '../../step/index.ts';

/** The attempt of a request that is in progress. */
export interface OpenAttempt {
  readonly attemptId: string;
  readonly targetId: string;
  /** Consecutive status queries about this attempt without a reply. */
  readonly failedQueries: number;
  /** Whether a status query is in progress. */
  readonly isQuerying: boolean;
  /**
   * Whether the attempt's connection is lost; only a query can show its status.
   */
  readonly cut: boolean;
  /** Times the stream was resumed on a new connection since its last token. */
  readonly resumes: number;
}

/** Target that routing has chosen for a request. */
export interface Destination {
  readonly targetId: string;
  readonly reservationId: string | undefined;
}

/** A request that has arrived and not ended. */
export interface OpenRequest {
  readonly info: RequestInfo;
  /** Number of attempts started so far; used to number the attempt ids. */
  readonly attempts: number;
  /**
   * Number of attempts that a target may have run without a complete answer.
   */
  readonly lostAttempts: number;
  /** The open attempt; undefined while the request waits for a target. */
  readonly attempt: OpenAttempt | undefined;
  /** Where to send the request once its claim is granted; else undefined. */
  readonly claimDestination: Destination | undefined;
  /** Whether any attempt ran, as far as known from those that ended. */
  readonly ran: Ran;
  /** Tokens received for the caller by the open attempt. */
  readonly outputTokens: number;
  readonly excludedTargetIds: readonly string[];
  /**
   * Time at which the next attempt is requested; undefined if none is pending.
   */
  readonly retryAtMs: number | undefined;
}

/** State of the requests slice: the open requests of this entry. */
export interface RequestsState {
  readonly open: BucketMap<OpenRequest>;
  /**
   * Targets that are plain services, whose attempts cannot be queried or
   * resumed.
   */
  readonly serviceTargetIds: ReadonlySet<string>;
  readonly retryBudgets: RetryBudgets;
}

/** Effects of the requests slice, run by the daemon. */
export type RequestsEffect =
  /** Send the request to a target as a new attempt. */
  | {
      readonly type: 'requests.send';
      readonly requestId: string;
      readonly attemptId: string;
      readonly targetId: string;
      readonly timeoutMs: number;
      readonly reservationId: string | undefined;
    }
  /** Close the attempt's connection and resume its stream on a new one. */
  | {
      readonly type: 'requests.resume';
      readonly requestId: string;
      readonly attemptId: string;
      readonly targetId: string;
      readonly fromOffset: number;
    }
  /** Query the attempt's status from the target on a new connection. */
  | {
      readonly type: 'requests.queryAttempt';
      readonly requestId: string;
      readonly attemptId: string;
      readonly targetId: string;
      readonly timeoutMs: number;
    }
  /** Close the attempt's connection and tell the target to cancel it. */
  | {
      readonly type: 'requests.cancel';
      readonly requestId: string;
      readonly attemptId: string;
      readonly targetId: string;
    }
  /** Return to the caller the answer stored under its idempotency key. */
  | {
      readonly type: 'requests.replayStored';
      readonly requestId: string;
      readonly answer: StoredAnswer;
    }
  /** Report to the caller how the request ended. */
  | {
      readonly type: 'requests.finish';
      readonly requestId: string;
      readonly ran: Ran;
      readonly end: RequestEnd;
    };

/** Step of the requests slice. */
export type RequestsStep = Step<RequestsState, RequestsEffect | RaiseEffect>;
