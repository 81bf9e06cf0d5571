import type * as TE from 'fp-ts/lib/TaskEither.js';

/** Error of an order to a target. */
export type OrderError =
  /** The target does not have enough free memory. */
  | { readonly type: 'noRoom' }
  /** The target refused the order for another reason. */
  | { readonly type: 'refused'; readonly status: number }
  /**
   * No answer was received; the order may have been or may still be executed.
   */
  | { readonly type: 'unanswered'; readonly reason: string };

/** The target of an order. */
export interface OrderTarget {
  readonly id: string;
  readonly address: string;
}

/** A memory reservation at a target. */
export interface Reservation {
  /** Reserving again with the same id renews the reservation. */
  readonly reservationId: string;
  readonly tokens: number;
  /** Time without a renewal after which the target frees the memory. */
  readonly holdMs: number;
}

/** Orders that the gateway sends to targets. */
export interface OrderPort {
  readonly reserve: (
    target: OrderTarget,
    reservation: Reservation,
  ) => TE.TaskEither<OrderError, void>;
  /** Whether a request uses the memory of a reservation; false if there is none. */
  readonly isInUse: (
    target: OrderTarget,
    reservationId: string,
  ) => TE.TaskEither<OrderError, boolean>;
  readonly release: (
    target: OrderTarget,
    reservationId: string,
  ) => TE.TaskEither<OrderError, void>;
}
