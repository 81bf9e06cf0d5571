import type * as TE from 'fp-ts/lib/TaskEither.js';
import type { Target } from '../../addresses/index.ts';

/** Why a call to a target did not give a whole answer of its own. */
export type TargetError =
  /** No byte of the request left this process. */
  | { readonly type: 'notSent'; readonly reason: string }
  /** The target refused before it started; nothing ran. */
  | {
      readonly type: 'refused';
      readonly reason: string;
      readonly retryAfterMs: number | undefined;
    }
  /** The connection broke, or the answer ended without its end mark. */
  | { readonly type: 'cut'; readonly reason: string }
  /** The target did not answer in time. */
  | { readonly type: 'timedOut' }
  /** The answer carries the id of another attempt. */
  | { readonly type: 'crossed'; readonly attemptId: string }
  /** The target ran the request and reports that it failed. */
  | { readonly type: 'failed'; readonly reason: string };

/** A prompt as submitted to an engine. */
export interface EngineSubmission {
  readonly attemptId: string;
  readonly model: string;
  readonly prompt: string;
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
  readonly priority: number;
  /** Time the engine may still spend, relative to the submission. */
  readonly timeoutMs: number;
  readonly reservationId: string | undefined;
  /** Hashes of the prompt's leading blocks, shortest prefix first. */
  readonly prefixHashes: readonly string[];
}

/** One item of an engine's answer stream. */
export type EngineStreamItem =
  | { readonly type: 'token'; readonly offset: number; readonly text: string }
  | {
      readonly type: 'end';
      readonly finishReason: 'stop' | 'length';
      readonly outputTokens: number;
    }
  | { readonly type: 'error'; readonly error: TargetError };

/** An engine's answer stream; it ends after one `end` or `error` item. */
export type EngineStream = AsyncIterable<EngineStreamItem>;

/** What an engine tells about an attempt. */
export type AttemptReport =
  | { readonly type: 'absent' }
  | {
      readonly type: 'queued' | 'prefill' | 'decoding' | 'done';
      readonly outputTokens: number;
    };

/** A KV memory reservation held on an engine. */
export interface Reservation {
  /** `entryId/incarnation/sequence`. */
  readonly reservationId: string;
  readonly tokens: number;
  readonly ageMs: number;
  readonly lifetimeMs: number;
}

/** A prefix cache event; sequence numbers show gaps. */
export interface CacheEvent {
  readonly sequence: number;
  readonly change: 'stored' | 'evicted';
  readonly prefixHash: string;
}

/** Load as an engine reports it, some time after the fact. */
export interface LoadReport {
  /** Age of the report when the engine sent it. */
  readonly ageMs: number;
  readonly queuedRequests: number;
  readonly runningRequests: number;
  readonly queuedPrefillTokens: number;
  readonly kvUsedTokens: number;
  readonly kvCapacityTokens: number;
}

/** An order that states the wanted end, so that repeating it is harmless. */
export interface EngineOrder {
  readonly orderId: string;
  readonly fencingNumber: number;
  readonly wanted: EngineAssignment;
  readonly timeoutMs: number;
}

/** What an engine serves, and in which role. */
export interface EngineAssignment {
  readonly models: readonly {
    readonly model: string;
    readonly version: string;
    readonly adapters: readonly string[];
  }[];
  readonly role: 'mixed' | 'long' | 'short';
}

/** Calls to model engines. */
export interface EnginePort {
  readonly submit: (
    target: Target,
    submission: EngineSubmission,
    signal: AbortSignal,
  ) => TE.TaskEither<TargetError, EngineStream>;
  /** Asks about an attempt on a fresh connection. */
  readonly queryAttempt: (
    target: Target,
    attemptId: string,
    timeoutMs: number,
  ) => TE.TaskEither<TargetError, AttemptReport>;
  /** Continues an attempt's stream after `fromOffset` tokens. */
  readonly resume: (
    target: Target,
    attemptId: string,
    fromOffset: number,
    signal: AbortSignal,
  ) => TE.TaskEither<TargetError, EngineStream>;
  readonly cancel: (
    target: Target,
    attemptId: string,
  ) => TE.TaskEither<TargetError, void>;
  readonly reserve: (
    target: Target,
    reservation: Omit<Reservation, 'ageMs'>,
  ) => TE.TaskEither<TargetError, void>;
  /** Frees a reservation; freeing an absent one succeeds. */
  readonly freeReservation: (
    target: Target,
    reservationId: string,
  ) => TE.TaskEither<TargetError, void>;
  readonly listReservations: (
    target: Target,
  ) => TE.TaskEither<TargetError, readonly Reservation[]>;
  readonly exportKv: (
    target: Target,
    attemptId: string,
  ) => TE.TaskEither<TargetError, Uint8Array>;
  readonly importKv: (
    target: Target,
    attemptId: string,
    kv: Uint8Array,
  ) => TE.TaskEither<TargetError, void>;
  readonly cacheEvents: (
    target: Target,
    afterSequence: number,
  ) => TE.TaskEither<TargetError, readonly CacheEvent[]>;
  readonly load: (target: Target) => TE.TaskEither<TargetError, LoadReport>;
  readonly order: (
    target: Target,
    order: EngineOrder,
  ) => TE.TaskEither<TargetError, void>;
  readonly assignment: (
    target: Target,
  ) => TE.TaskEither<TargetError, EngineAssignment>;
}
