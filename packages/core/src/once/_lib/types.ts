import type {
  Claim,
  ClaimState,
  EntryAddress,
  KeyLookup,
  StoredAnswer,
} from '@endivegate/contracts';
import type { BucketMap } from '../../bucketMap/index.ts';
import type { EventBase } from '../../events/index.ts';
import type { RequestInfo } from '../../request/index.ts';
import type { RaiseEffect } from '../../slice/index.ts';
import type { Step } from '../../step/index.ts';

/** A claim without the wall clock times that its writer stamps. */
export type ClaimDraft = Omit<Claim, 'createdAtMs' | 'changedAtMs'>;

/** A claim as found in the store. */
export interface FoundClaim {
  readonly claim: Claim;
  readonly version: number;
  /** Time since its last change, by wall clocks. */
  readonly ageMs: number;
}

/**
 * Where the work on one request's claim stands. In the phases marked with an
 * asterisk exactly one store call or look-up is under way.
 *
 * - `creating`*: the claim is being written.
 * - `readingBack`*: a write's reply was lost; the claim is being read.
 * - `creatingLater`, `readingBackLater`: the same, due at `nextAtMs`.
 * - `held`: this entry has the right to send, or has sent.
 * - `waiting`: another holds the claim; read again at `nextAtMs`.
 * - `reading`*: another's claim is being read.
 * - `lookingUp`*: the service is asked about the key.
 * - `recording`*, `recordingLater`: the outcome is being written.
 */
export type ClaimPhase =
  | 'creating'
  | 'creatingLater'
  | 'readingBack'
  | 'readingBackLater'
  | 'held'
  | 'waiting'
  | 'reading'
  | 'lookingUp'
  | 'recording'
  | 'recordingLater';

/** The work on one request's claim. */
export interface OpenClaim {
  readonly request: RequestInfo;
  readonly targetId: string;
  readonly phase: ClaimPhase;
  /** Token of this request's own latest claim. */
  readonly token: string;
  /** Claims this request has tried to write; numbers the tokens. */
  readonly claims: number;
  /** Time after which the token must not be used for sending. */
  readonly sendByMs: number;
  /** Version that the next write expects. */
  readonly version: number;
  /** Whether the request has ended, so that nothing may be sent for it. */
  readonly abandoned: boolean;
  /** Whether a write with the token may have taken effect unseen. */
  readonly mayExist: boolean;
  /** Attempt sent with the token. */
  readonly attemptId: string | undefined;
  /** Outcome to write, once known. */
  readonly outcome: ClaimState | undefined;
  /** Claim found last, while another's is waited for or looked up. */
  readonly found: FoundClaim | undefined;
  readonly nextAtMs: number;
  /** Failed store calls in a row. */
  readonly failures: number;
  /** When the work on this claim is given up, whatever its phase. */
  readonly giveUpAtMs: number;
}

/** State of the claims that this entry works on. */
export interface OnceState {
  readonly self: EntryAddress | undefined;
  readonly open: BucketMap<OpenClaim>;
  /** Incarnations known dead, as `entryId/incarnation`. */
  readonly dead: ReadonlySet<string>;
  /** Live incarnation of each entry. */
  readonly live: ReadonlyMap<string, number>;
  readonly lookupTargetIds: ReadonlySet<string>;
  readonly nextSweepAtMs: number;
  readonly nextShard: number;
}

/** Result of writing a claim by compare-and-swap. */
export type ClaimPutResult =
  | { readonly type: 'written'; readonly version: number }
  | { readonly type: 'conflict'; readonly found: FoundClaim | undefined }
  /** The write had no effect. */
  | { readonly type: 'noEffect' }
  /** The write may have taken effect or may yet do so. */
  | { readonly type: 'replyLost' }
  /** The key's own time is older than claims are kept. */
  | { readonly type: 'keyExpired' };

/** Result of reading a claim. */
export type ClaimReadResult =
  | { readonly type: 'found'; readonly found: FoundClaim }
  | { readonly type: 'absent' }
  | { readonly type: 'failed' };

/** Replies to the effects of this slice; each effect has one. */
export type OnceEvent = EventBase &
  (
    | {
        readonly type: 'once.putDone';
        readonly requestId: string;
        readonly result: ClaimPutResult;
      }
    | {
        readonly type: 'once.readDone';
        readonly requestId: string;
        readonly result: ClaimReadResult;
      }
    | {
        readonly type: 'once.lookedUp';
        readonly requestId: string;
        readonly result:
          | Exclude<KeyLookup, { readonly type: 'done' }>
          | { readonly type: 'done'; readonly answer: StoredAnswer | undefined }
          | { readonly type: 'failed' };
      }
  );

/** Calls to the store and to services about claims. */
export type OnceEffect =
  | {
      readonly type: 'once.put';
      readonly requestId: string;
      readonly draft: ClaimDraft;
      readonly expectedVersion: number;
    }
  | {
      readonly type: 'once.read';
      readonly requestId: string;
      readonly address: Pick<Claim, 'workspace' | 'service' | 'idempotencyKey'>;
    }
  | {
      readonly type: 'once.lookUp';
      readonly requestId: string;
      readonly targetId: string;
      readonly idempotencyKey: string;
    }
  /** Delete settled claims of one shard that are older than they are kept. */
  | { readonly type: 'once.sweep'; readonly shard: number };

/** Step of the once slice. */
export type OnceStep = Step<OnceState, OnceEffect | RaiseEffect>;
