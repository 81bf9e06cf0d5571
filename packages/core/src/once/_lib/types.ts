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

/** A claim without the wall clock times that the writer adds. */
export type ClaimDraft = Omit<Claim, 'createdAtMs' | 'changedAtMs'>;

/** A claim as found in the store. */
export interface FoundClaim {
  readonly claim: Claim;
  readonly version: number;
  /** Time since the claim's last change, by wall clocks. */
  readonly ageMs: number;
}

/**
 * Phase of an open claim. In the phases marked with an asterisk exactly one
 * store call or look-up is in flight.
 *
 * - `creating`*: the claim is being written.
 * - `readingBack`*: the reply to a write was lost; the claim is being read.
 * - `createRetryPending`, `readBackRetryPending`: the write or the read is
 *   retried at `dueAtMs`.
 * - `held`: this entry owns the claim and may send, or has sent, the call.
 * - `waiting`: another request holds the key; its claim is read again at
 *   `dueAtMs`.
 * - `reading`*: the other request's claim is being read.
 * - `lookingUp`*: the key is being looked up at the service.
 * - `recording`*: the outcome is being written.
 * - `recordRetryPending`: writing the outcome is retried at `dueAtMs`.
 */
export type ClaimPhase =
  | 'creating'
  | 'createRetryPending'
  | 'readingBack'
  | 'readBackRetryPending'
  | 'held'
  | 'waiting'
  | 'reading'
  | 'lookingUp'
  | 'recording'
  | 'recordRetryPending';

/** A claim that this entry acquires, holds or settles for one request. */
export interface OpenClaim {
  readonly request: RequestInfo;
  readonly targetId: string;
  readonly phase: ClaimPhase;
  /** Latest token that this request has tried to write. */
  readonly token: string;
  /** Number of tokens this request has tried to write; suffix of the latest. */
  readonly tokenCount: number;
  /** Time after which the call must not be sent with the token. */
  readonly sendByMs: number;
  /** Version of the stored claim that the next write expects. */
  readonly version: number;
  /** Whether the request has ended, so that its call must not be sent. */
  readonly abandoned: boolean;
  /** Whether a write whose reply was lost may have stored the token. */
  readonly mayBeStored: boolean;
  /** Attempt that sent the call with the token. */
  readonly attemptId: string | undefined;
  /** Outcome to write into the claim, once known. */
  readonly outcome: ClaimState | undefined;
  /** Other request's claim as last read, while waiting or looking up. */
  readonly found: FoundClaim | undefined;
  /** Earliest time of the next store call in a waiting or retry phase. */
  readonly dueAtMs: number;
  /** Consecutive failed store calls and waits; sets the back-off. */
  readonly failures: number;
  /** Time after which reading back, awaiting an answer or recording stops. */
  readonly giveUpAtMs: number;
}

/** State of the once slice. */
export interface OnceState {
  readonly self: EntryAddress | undefined;
  readonly openClaims: BucketMap<OpenClaim>;
  /** Incarnations known to be dead, as `entryId/incarnation`. */
  readonly dead: ReadonlySet<string>;
  /** Incarnation of each live entry, by entry id. */
  readonly live: ReadonlyMap<string, number>;
  /** Targets that offer a look-up of idempotency keys. */
  readonly lookupTargetIds: ReadonlySet<string>;
  readonly nextSweepAtMs: number;
  readonly nextSweepShard: number;
}

/** Result of writing a claim by compare-and-swap. */
export type ClaimPutResult =
  | { readonly type: 'written'; readonly version: number }
  | { readonly type: 'conflict'; readonly found: FoundClaim | undefined }
  /** The write had no effect. */
  | { readonly type: 'noEffect' }
  /** The write may have taken effect or may still do so. */
  | { readonly type: 'replyLost' }
  /** The time in the key is older than the retention of claims. */
  | { readonly type: 'keyExpired' };

/** Result of reading a claim. */
export type ClaimReadResult =
  | { readonly type: 'found'; readonly found: FoundClaim }
  | { readonly type: 'absent' }
  | { readonly type: 'failed' };

/** Results of this slice's effects; each effect but a sweep has one. */
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

/** Calls to the store and to services that the daemon makes for claims. */
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
  /** Deletes settled claims of one shard that are past their retention. */
  | { readonly type: 'once.sweep'; readonly shard: number };

/** Step of the once slice. */
export type OnceStep = Step<OnceState, OnceEffect | RaiseEffect>;
