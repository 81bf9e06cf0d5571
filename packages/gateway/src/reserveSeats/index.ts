import type { MemorySeat } from '@endivegate/core/forwarding';
import * as E from 'fp-ts/lib/Either.js';
import type { EventLog } from '../createEventLog/index.ts';
import type { OrderError, OrderPort } from '../orderPort/index.ts';

/** Memory that is set aside at several targets. */
export interface HeldSeats {
  /** Frees all of it, once; called however the request ended. */
  readonly release: () => void;
}

/** Options of {@link reserveSeats}. */
export interface ReserveSeatsOptions {
  readonly orders: OrderPort;
  readonly log: EventLog;
  /** Id of the request, for the reservation's own id and log lines. */
  readonly requestId: string;
  /** Distinguishes sends of one request. */
  readonly reservationId: string;
  /** Time between renewals; {@link RENEW_MS} by default. */
  readonly renewMs?: number;
}

/**
 * Memory of an entry that is gone is free again after this. It is below the
 * time for which memory may outlast its request (4 s on the users' platform).
 */
export const HOLD_MS = 3300;

/** Two renewals may be lost before the memory is. */
const RENEW_MS = 1100;

/** A release is repeated this often; after that the hold runs out by itself. */
const RELEASE_TRIES = 3;

/**
 * Sets memory aside at all targets, or at none.
 *
 * The memory is held by renewals until it is released. A reservation whose
 * answer was lost is released as well, since it may have been carried out.
 *
 * @param seats - Targets and tokens.
 * @param options - Orders and names.
 * @param done - Receives the held seats, or why there are none.
 * @returns A function that gives up and frees what was set aside.
 *
 * @example
 * const giveUp = reserveSeats(plan.seats, options, (held) => send(held));
 */
export function reserveSeats(
  seats: readonly MemorySeat[],
  options: ReserveSeatsOptions,
  done: (result: E.Either<OrderError, HeldSeats>) => void,
): () => void {
  const { orders, log, requestId, reservationId, renewMs = RENEW_MS } = options;
  let isReleased = false;
  let renewTimer: NodeJS.Timeout | undefined;

  const reserve = (seat: MemorySeat): Promise<E.Either<OrderError, void>> =>
    orders.reserve(seat.target, {
      reservationId,
      tokens: seat.tokens,
      holdMs: HOLD_MS,
    })();

  function release(): void {
    if (isReleased) return;
    isReleased = true;
    clearInterval(renewTimer);
    seats.forEach((seat) => {
      void releaseSeat(seat, RELEASE_TRIES);
    });
  }

  async function releaseSeat(seat: MemorySeat, tries: number): Promise<void> {
    const result = await orders.release(seat.target, reservationId)();
    if (E.isRight(result)) return;
    log.warn('reservation.releaseFailed', {
      request: requestId,
      target: seat.target.id,
      ...result.left,
    });
    if (tries > 1 && result.left.type === 'unanswered') {
      await releaseSeat(seat, tries - 1);
    }
  }

  function renew(): void {
    seats.forEach((seat) => {
      void reserve(seat).then((result) => {
        if (E.isRight(result)) {
          // A renewal that arrives after the release would set memory aside.
          if (isReleased) void releaseSeat(seat, 1);
          return;
        }
        log.warn('reservation.renewFailed', {
          request: requestId,
          target: seat.target.id,
          ...result.left,
        });
      });
    });
  }

  void Promise.all(seats.map(reserve)).then((results) => {
    if (isReleased) {
      // The release may have overtaken a reservation.
      seats.forEach((seat) => void releaseSeat(seat, 1));
      return;
    }
    const failed = results.find(E.isLeft);
    log.info('reservation.made', {
      request: requestId,
      targets: seats.map((seat) => seat.target.id),
      tokens: seats[0]?.tokens,
      failed: failed?.left.type,
    });
    if (failed !== undefined) {
      release();
      done(E.left(failed.left));
      return;
    }
    renewTimer = setInterval(renew, renewMs);
    done(E.right({ release }));
  });
  return release;
}
