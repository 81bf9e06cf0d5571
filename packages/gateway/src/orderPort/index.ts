import type * as TE from 'fp-ts/lib/TaskEither.js';

/** Why an order to a target did not succeed. */
export type OrderError =
  /** The target has no memory free for it. */
  | { readonly type: 'noRoom' }
  /** The target refused it for another reason. */
  | { readonly type: 'refused'; readonly status: number }
  /** No answer; it may have been carried out, or may be later. */
  | { readonly type: 'unanswered'; readonly reason: string };

/** A target that an order goes to. */
export interface OrderTarget {
  readonly id: string;
  readonly address: string;
}

/** Memory to set aside at a target. */
export interface Reservation {
  /** The same id renews a reservation. */
  readonly reservationId: string;
  readonly tokens: number;
  /** The target frees the memory when this passes without a renewal. */
  readonly holdMs: number;
}

/** Orders to targets that the gateway gives. */
export interface OrderPort {
  readonly reserve: (
    target: OrderTarget,
    reservation: Reservation,
  ) => TE.TaskEither<OrderError, void>;
  readonly release: (
    target: OrderTarget,
    reservationId: string,
  ) => TE.TaskEither<OrderError, void>;
}
