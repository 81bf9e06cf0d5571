import type { SendEnd } from '@endivegate/core/forwarding';
import type { ForwardCall } from '../forwardRequest/types.ts';
import type { TargetHead } from '../httpDialect/index.ts';
import type { SendPlan } from '../planSend/index.ts';
import type { AnswerHead } from '../sendRequest/index.ts';
import type { StreamEvent } from '../splitEvents/index.ts';

/** One send of a request. */
export interface SendRun {
  readonly call: ForwardCall;
  readonly plan: SendPlan;
  /** Number of this send, from 1. */
  readonly number: number;
  /** Whether no other send may follow this one. */
  readonly isLast: boolean;
  readonly deadlineAtMs: number;
  /** Id of the last event that the caller has, when a stream is resumed. */
  readonly resumeAfterId: number | undefined;
}

/** An answer that is not a stream, whole. */
export interface CollectedAnswer {
  readonly head: AnswerHead;
  readonly body: Buffer;
}

/** How a send ended, with what the caller may need of it. */
export interface SendResult {
  readonly end: SendEnd;
  readonly target: TargetHead | undefined;
  /** Undefined for streams. */
  readonly answer: CollectedAnswer | undefined;
  /** Observed ÷ published time of a pass, where events showed it. */
  readonly pace: number | undefined;
}

/** Receives what becomes of a send; `onEnd` comes once and last. */
export interface SendRunHandlers {
  /** The request is about to be written: from now on it may run. */
  readonly onSent: () => void;
  /** Returns whether more events may follow at once. */
  readonly onEvent: (event: StreamEvent, head: AnswerHead) => boolean;
  /** Whether another target would take the request now, if it were cut off. */
  readonly mayMove: () => boolean;
  readonly onEnd: (result: SendResult) => void;
}
