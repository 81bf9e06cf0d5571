import type { PlannedReservation } from '@endivegate/core/forwarding';
import * as E from 'fp-ts/lib/Either.js';
import type { EventLog } from '../createEventLog/index.ts';
import type { OrderError, OrderPort } from '../orderPort/index.ts';

/** Memory reserved at one or more targets. */
export interface MemoryReservation {
  /**
   * Releases all of it. Must be called however the request ends; idempotent.
   */
  readonly release: () => void;
}

/** Options of {@link reserveMemory}. */
export interface ReserveMemoryOptions {
  readonly orders: OrderPort;
  readonly log: EventLog;
  /** Id of the request, for log lines. */
  readonly requestId: string;
  /** Id of the reservation; differs between sends of one request. */
  readonly reservationId: string;
  /** Time between renewals; {@link RENEW_INTERVAL_MS} by default. */
  readonly renewMs?: number;
  /** Time between the releases after a renewal without an answer;
   * {@link REPEAT_INTERVAL_MS} by default. */
  readonly repeatMs?: number;
}

/**
 * Targets free the memory this long after the last renewal, for instance when
 * the entry that reserved it is gone. Must be less than the time for which
 * memory may remain reserved after its request (4 s on the users' platform).
 */
export const RESERVATION_TTL_MS = 3300;

/** A third of the TTL, so that the reservation survives two lost renewals. */
const RENEW_INTERVAL_MS = 1100;

/** An order without an answer may be carried out seconds later, also after the release. */
const RELEASES_WHEN_DOUBTFUL = 3;

const REPEAT_INTERVAL_MS = 1000;

/** After this many failed releases, the reservation is left to expire. */
const MAX_RELEASE_ATTEMPTS = 3;

/**
 * Reserves memory at all the given targets, or at none.
 *
 * The reservations are renewed until they are released. A reservation without
 * an answer is released as well, since it may have been made. After a renewal without
 * an answer, the release is repeated, since the renewal may follow the first one.
 *
 * @param reservations - Targets, and the tokens to reserve at each.
 * @param options - Order client, log and ids.
 * @param done - Receives the reservation, or the error that prevented it.
 * @returns A function that cancels the reservation and releases the memory.
 *
 * @example
 * const cancel = reserveMemory(plan.reservations, options, (held) => send(held));
 */
export function reserveMemory(
  reservations: readonly PlannedReservation[],
  options: ReserveMemoryOptions,
  done: (result: E.Either<OrderError, MemoryReservation>) => void,
): () => void {
  const {
    orders,
    log,
    requestId,
    reservationId,
    renewMs = RENEW_INTERVAL_MS,
    repeatMs = REPEAT_INTERVAL_MS,
  } = options;
  /** Reservations with a renewal without an answer. */
  const doubtful = new Set<PlannedReservation>();
  let isReleased = false;
  let renewTimer: NodeJS.Timeout | undefined;

  const reserve = (
    reservation: PlannedReservation,
  ): Promise<E.Either<OrderError, void>> =>
    orders.reserve(reservation.target, {
      reservationId,
      tokens: reservation.tokens,
      holdMs: RESERVATION_TTL_MS,
    })();

  function release(): void {
    if (isReleased) return;
    isReleased = true;
    clearInterval(renewTimer);
    reservations.forEach((reservation) => {
      void releaseReservation(reservation, MAX_RELEASE_ATTEMPTS);
    });
    doubtful.forEach((reservation) => {
      releaseAgain(reservation, RELEASES_WHEN_DOUBTFUL);
    });
  }

  function releaseAgain(reservation: PlannedReservation, times: number): void {
    if (times === 0) return;
    setTimeout(() => {
      void releaseReservation(reservation, 1);
      releaseAgain(reservation, times - 1);
    }, repeatMs).unref();
  }

  async function releaseReservation(
    reservation: PlannedReservation,
    tries: number,
  ): Promise<void> {
    const result = await orders.release(reservation.target, reservationId)();
    if (E.isRight(result)) return;
    log.warn('reservation.releaseFailed', {
      request: requestId,
      target: reservation.target.id,
      ...result.left,
    });
    if (tries > 1 && result.left.type === 'unanswered') {
      await releaseReservation(reservation, tries - 1);
    }
  }

  function renew(): void {
    reservations.forEach((reservation) => {
      void reserve(reservation).then((result) => {
        if (E.isRight(result)) {
          // A renewal that arrives after the release reserves the memory again.
          if (isReleased) void releaseReservation(reservation, 1);
          return;
        }
        if (result.left.type === 'unanswered') noteDoubtful(reservation);
        log.warn('reservation.renewFailed', {
          request: requestId,
          target: reservation.target.id,
          ...result.left,
        });
      });
    });
  }

  function noteDoubtful(reservation: PlannedReservation): void {
    doubtful.add(reservation);
    if (!isReleased) return;
    void releaseReservation(reservation, 1);
    releaseAgain(reservation, RELEASES_WHEN_DOUBTFUL);
  }

  void Promise.all(reservations.map(reserve)).then((results) => {
    if (isReleased) {
      // A reservation may have reached its target after the release.
      reservations.forEach(
        (reservation) => void releaseReservation(reservation, 1),
      );
      return;
    }
    const failed = results.find(E.isLeft);
    log.info('reservation.made', {
      request: requestId,
      targets: reservations.map((reservation) => reservation.target.id),
      tokens: reservations[0]?.tokens,
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
