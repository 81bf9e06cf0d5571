import type { Reservation, TargetError } from '@endivegate/contracts';
import * as E from 'fp-ts/lib/Either.js';

/** A reservation as an engine keeps it. */
interface HeldReservation {
  readonly tokens: number;
  readonly grantedAtMs: number;
  readonly lifetimeMs: number;
}

/** KV memory set aside for entries, each for a limited time. */
export interface Reservations {
  /** Grants a reservation, or renews the lifetime of one already held. */
  readonly reserve: (
    wanted: Omit<Reservation, 'ageMs'>,
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

/** Time after which a refused reservation is worth another try. */
const RESERVE_RETRY_AFTER_MS = 500;

/**
 * Creates the reservations of one engine.
 *
 * @returns The reservations, none held.
 */
export function createReservations(): Reservations {
  const held = new Map<string, HeldReservation>();
  const usedTokens = (): number =>
    [...held.values()].reduce((sum, { tokens }) => sum + tokens, 0);

  return {
    reserve: ({ reservationId, tokens, lifetimeMs }, freeTokens, nowMs) => {
      const before = held.get(reservationId)?.tokens ?? 0;
      if (tokens > freeTokens + before) {
        return E.left({
          type: 'refused',
          reason: 'not enough free KV memory',
          retryAfterMs: RESERVE_RETRY_AFTER_MS,
        });
      }
      held.set(reservationId, { tokens, lifetimeMs, grantedAtMs: nowMs });
      return E.right(undefined);
    },
    free: (reservationId) => {
      held.delete(reservationId);
    },
    has: (reservationId) => held.has(reservationId),
    expire: (nowMs, isInUse) => {
      [...held]
        .filter(([id, one]) => expiryAtMs(one) <= nowMs && !isInUse(id))
        .forEach(([id]) => held.delete(id));
    },
    nextExpiryAtMs: () => Math.min(...[...held.values()].map(expiryAtMs)),
    list: (nowMs) =>
      [...held].map(([reservationId, { tokens, grantedAtMs, lifetimeMs }]) => ({
        reservationId,
        tokens,
        ageMs: nowMs - grantedAtMs,
        lifetimeMs,
      })),
    usedTokens,
    clear: () => {
      held.clear();
    },
  };
}

function expiryAtMs(reservation: HeldReservation): number {
  return reservation.grantedAtMs + reservation.lifetimeMs;
}
