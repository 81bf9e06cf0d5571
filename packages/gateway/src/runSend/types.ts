import type { SendEnd } from '@endivegate/core/forwarding';
import type { ForwardCall } from '../forwardRequest/types.ts';
import type { TargetHead } from '../httpDialect/index.ts';
import type { SendPlan } from '../planSend/index.ts';
import type { ResponseHead } from '../sendRequest/index.ts';
import type { StreamEvent } from '../splitEvents/index.ts';

/** Options of a single send of a request to a target. */
export interface SendRun {
  readonly call: ForwardCall;
  readonly plan: SendPlan;
  /** Number of this send, starting at 1. */
  readonly number: number;
  /** Sends that the route still allows, including this one. */
  readonly attemptsLeft: number;
  readonly deadlineAtMs: number;
  /** Time until the caller disconnects if it receives nothing, or the deadline. */
  readonly patienceMs: number;
  /**
   * Id of the last event delivered to the caller; set when a stream is resumed.
   */
  readonly resumeAfterId: string | undefined;
}

/** A complete response that is not a stream. */
export interface BufferedResponse {
  readonly head: ResponseHead;
  readonly body: Buffer;
}

/** The outcome of a send, with the response for the caller. */
export interface SendResult {
  readonly end: SendEnd;
  readonly target: TargetHead | undefined;
  /** Undefined for streams, and if no response head was received. */
  readonly answer: BufferedResponse | undefined;
  /** Observed divided by predicted decoding pass time; undefined if unknown. */
  readonly passTimeRatio: number | undefined;
}

/** Callbacks of a send. `onEnd` is called once, after all others. */
export interface SendRunHandlers {
  /** Called before the request is written; it may run from then on. */
  readonly onSent: () => void;
  /**
   * Called with events that arrived together, in order. Returns false if the stream should
   * be paused until the caller catches up.
   */
  readonly onEvents: (
    events: readonly StreamEvent[],
    head: ResponseHead,
  ) => boolean;
  /**
   * Called when the target has been silent for too long, and again while it stays
   * so. The send goes on.
   */
  readonly onSilence: () => void;
  readonly onEnd: (result: SendResult) => void;
  /** Called with an error that is thrown while the send is handled, also by the callbacks
   * above. The send has to be cancelled. */
  readonly onError: (error: unknown) => void;
}

/** Handle of a send in progress. No handler is called after its end. */
export interface SendHandle {
  readonly cancel: () => void;
  /** Cancels a send whose request another target has taken over. */
  readonly supersede: () => void;
  /** Continues a stream that was paused because its caller reads slowly. */
  readonly resume: () => void;
}
