import type { Ran, StoredAnswer } from '@endivegate/contracts';
import type { BucketMap } from '../../bucketMap/index.ts';
import type { RequestEnd } from '../../events/index.ts';
import type { RetryBudgets } from './retryBudget.ts';
import type { RequestInfo } from '../../request/index.ts';
import type { RaiseEffect } from '../../slice/index.ts';
import type { Step } from '../../step/index.ts';

/** The attempt of a request that is under way. */
export interface OpenAttempt {
  readonly attemptId: string;
  readonly targetId: string;
  /** Asks about this attempt that brought no reply, in a row. */
  readonly failedAsks: number;
  /** Whether an ask is under way. */
  readonly asking: boolean;
  /** Whether the attempt's connection has ended, so that only an ask can tell. */
  readonly cut: boolean;
  /** Times the stream was continued on a new connection. */
  readonly resumes: number;
}

/** Where routing has placed a request. */
export interface Destination {
  readonly targetId: string;
  readonly reservationId: string | undefined;
}

/** A request from its arrival to its end. */
export interface OpenRequest {
  readonly info: RequestInfo;
  /** Attempts started so far; numbers the attempt ids. */
  readonly attempts: number;
  /** Attempts among them that a target may have run without answering. */
  readonly lostAttempts: number;
  /** Undefined while the request waits for a target. */
  readonly attempt: OpenAttempt | undefined;
  /** Where to send once the right to send is given; undefined without need. */
  readonly claimFor: Destination | undefined;
  /** What is known of all attempts together. */
  readonly ran: Ran;
  /** Tokens received for the caller by the open attempt. */
  readonly outputTokens: number;
  readonly excludedTargetIds: readonly string[];
  /** When the next attempt may be asked for; undefined when none is due. */
  readonly retryAtMs: number | undefined;
}

/** State of the requests that this entry has admitted. */
export interface RequestsState {
  readonly open: BucketMap<OpenRequest>;
  /** Plain services; they have no stream to ask about or to resume. */
  readonly serviceTargetIds: ReadonlySet<string>;
  readonly retryBudgets: RetryBudgets;
}

/** What the daemon does for a request. */
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
  /** Drop the attempt's connection and continue its stream on a new one. */
  | {
      readonly type: 'requests.resume';
      readonly requestId: string;
      readonly attemptId: string;
      readonly targetId: string;
      readonly fromOffset: number;
    }
  /** Ask the target about the attempt on a new connection. */
  | {
      readonly type: 'requests.ask';
      readonly requestId: string;
      readonly attemptId: string;
      readonly targetId: string;
      readonly timeoutMs: number;
    }
  /** Drop the attempt's connection and tell the target to stop it. */
  | {
      readonly type: 'requests.cancel';
      readonly requestId: string;
      readonly attemptId: string;
      readonly targetId: string;
    }
  /** Hand the caller an answer that is stored for its idempotency key. */
  | {
      readonly type: 'requests.replayStored';
      readonly requestId: string;
      readonly answer: StoredAnswer;
    }
  /** Tell the caller how the request ended. */
  | {
      readonly type: 'requests.finish';
      readonly requestId: string;
      readonly ran: Ran;
      readonly end: RequestEnd;
    };

/** Step of the requests slice. */
export type RequestsStep = Step<RequestsState, RequestsEffect | RaiseEffect>;
