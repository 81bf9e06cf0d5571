import type * as TE from 'fp-ts/lib/TaskEither.js';
import type { Target } from '../../addresses/index.ts';
import type { TargetError } from '../engine/index.ts';

/** A call to a plain service, forwarded unchanged. */
export interface ServiceCall {
  readonly attemptId: string;
  readonly method: string;
  /** Path and query, relative to the service's root. */
  readonly path: string;
  readonly contentType: string | undefined;
  readonly body: Uint8Array;
  readonly idempotencyKey: string | undefined;
  readonly timeoutMs: number;
}

/** A plain service's complete response. */
export interface ServiceAnswer {
  readonly attemptId: string;
  readonly status: number;
  readonly contentType: string;
  readonly body: Uint8Array;
}

/** Result of a plain service's lookup of an idempotency key. */
export type KeyLookup =
  | { readonly type: 'absent' }
  | { readonly type: 'running' }
  | { readonly type: 'done'; readonly answer: ServiceAnswer };

/** Client of the plain services. */
export interface ServicePort {
  readonly call: (
    target: Target,
    call: ServiceCall,
  ) => TE.TaskEither<TargetError, ServiceAnswer>;
  /** Looks up an idempotency key; only for targets with `hasKeyLookup`. */
  readonly lookUpKey: (
    target: Target,
    idempotencyKey: string,
    timeoutMs: number,
  ) => TE.TaskEither<TargetError, KeyLookup>;
}
