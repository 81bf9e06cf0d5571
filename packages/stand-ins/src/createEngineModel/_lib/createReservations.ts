import type { Reservation, TargetError } from '@endivegate/contracts';
import * as E from 'fp-ts/lib/Either.js';

/** A reservation as stored by an engine. */
interface ActiveReservation {
  readonly tokens: number;
  readonly grantedAtMs: number;
  readonly lifetimeMs: number;
}

/** KV memory reserved for entries, each reservation for a limited time. */
export interface Reservations {
  /** Grants a reservation, or renews the lifetime of one already held. */
  readonly reserve: (
    request: Omit<Reservation, 'ageMs'>,
    freeTokens: number,
    nowMs: number,
  ) => E.Either<TargetError, void>;
  readonly free: (reservationId: string) => void;
  readonly has: (reservationId: string) => boolean;
  /** Frees reservations past their lifetime that no sequence uses. */
  readonly expire: (
    nowMs: number,
    isInUse: (reservationId: string) => boolean,
  ) => void;
  readonly nextExpiryAtMs: () => number;
  readonly list: (nowMs: number) => readonly Reservation[];
  readonly usedTokens: () => number;
  readonly clear: () => void;
}

/** Retry delay that a refused reservation suggests. */
const RESERVE_RETRY_AFTER_MS = 500;

/**
 * Creates the reservations of one engine.
 *
 * @returns The reservations, initially empty.
 */
export function createReservations(): Reservations {
  const active = new Map<string, ActiveReservation>();
  const usedTokens = (): number =>
    [...active.values()].reduce((sum, { tokens }) => sum + tokens, 0);

  return {
    reserve: ({ reservationId, tokens, lifetimeMs }, freeTokens, nowMs) => {
      const previousTokens = active.get(reservationId)?.tokens ?? 0;
      if (tokens > freeTokens + previousTokens) {
        return E.left({
          type: 'refused',
          reason: 'not enough free KV memory',
          retryAfterMs: RESERVE_RETRY_AFTER_MS,
        });
      }
      active.set(reservationId, { tokens, lifetimeMs, grantedAtMs: nowMs });
      return E.right(undefined);
    },
    free: (reservationId) => {
      active.delete(reservationId);
    },
    has: (reservationId) => active.has(reservationId),
    expire: (nowMs, isInUse) => {
      [...active]
        .filter(([id, one]) => expiryAtMs(one) <= nowMs && !isInUse(id))
        .forEach(([id]) => active.delete(id));
    },
    nextExpiryAtMs: () => Math.min(...[...active.values()].map(expiryAtMs)),
    list: (nowMs) =>
      [...active].map(
        ([reservationId, { tokens, grantedAtMs, lifetimeMs }]) => ({
          reservationId,
          tokens,
          ageMs: nowMs - grantedAtMs,
          lifetimeMs,
        }),
      ),
    usedTokens,
    clear: () => {
      active.clear();
    },
  };
}

function expiryAtMs(reservation: ActiveReservation): number {
  return reservation.grantedAtMs + reservation.lifetimeMs;
}
