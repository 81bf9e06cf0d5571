import type {
  KeyValue,
  PlatformError,
  PlatformPort,
} from '@endivegate/contracts';
import { PLACING_LEASE_TTL_MS } from '@endivegate/core';
import { pipe } from 'fp-ts/lib/function.js';
import * as TE from 'fp-ts/lib/TaskEither.js';

/** Key of the fleet's fencing number; it only grows. */
export const FENCING_KEY = 'orders/fencing';

/** Prefix of the keys that placing entries hold, one for each model. */
export const PLACER_PREFIX = 'orders/placer/';

/** Tries to raise the fencing number before the lease is given up. */
const FENCING_TRIES = 5;

/** Who wants to place which model. */
export interface PlacingClaim {
  readonly model: string;
  readonly entryId: string;
  /** Unique per call, to know one's own write again. */
  readonly token: string;
}

/** A lease with the number that goes with it. */
export interface AcquiredPlacing {
  readonly leaseId: string;
  readonly fencingNumber: number;
}

const CALL_OPTIONS = { purpose: 'leases', timeoutMs: 2_000 } as const;

/**
 * Becomes the placing entry of a model.
 *
 * First the model's key is taken under a lease, then the fleet's fencing
 * number is raised: a number taken while holding the key is above every number
 * that an earlier holder ordered with. A write without a reply is read back.
 *
 * @param platform - The platform.
 * @param claim - Model and entry.
 * @returns The lease and its number, or why another holds the model.
 */
export function acquirePlacing(
  platform: PlatformPort,
  claim: PlacingClaim,
): TE.TaskEither<PlatformError, AcquiredPlacing> {
  return pipe(
    checkFree(platform, claim.model),
    TE.chain(() => platform.grantLease(PLACING_LEASE_TTL_MS, CALL_OPTIONS)),
    TE.chain(({ leaseId }) =>
      pipe(
        takeKey(platform, claim, leaseId),
        TE.chain(() => raiseFencing(platform, claim.token, FENCING_TRIES)),
        TE.map((fencingNumber) => ({ leaseId, fencingNumber })),
        TE.orElse((error) =>
          pipe(
            platform.revokeLease(leaseId, CALL_OPTIONS),
            TE.matchE(
              () => TE.left(error),
              () => TE.left(error),
            ),
          ),
        ),
      ),
    ),
  );
}

/** Spares the store three writes while another holds the model. */
function checkFree(
  platform: PlatformPort,
  model: string,
): TE.TaskEither<PlatformError, undefined> {
  return pipe(
    platform.get(keyOf(model), CALL_OPTIONS),
    TE.chain((current) =>
      current === undefined
        ? TE.right(undefined)
        : TE.left<PlatformError>({ type: 'conflict', current }),
    ),
  );
}

function keyOf(model: string): string {
  return `${PLACER_PREFIX}${encodeURIComponent(model)}`;
}

function takeKey(
  platform: PlatformPort,
  claim: PlacingClaim,
  leaseId: string,
): TE.TaskEither<PlatformError, KeyValue> {
  const key = keyOf(claim.model);
  const value = JSON.stringify({ entryId: claim.entryId, token: claim.token });
  return settle(
    platform,
    { key, value },
    platform.compareAndSwap(
      { key, value, expectedVersion: 0, leaseId },
      CALL_OPTIONS,
    ),
  );
}

function raiseFencing(
  platform: PlatformPort,
  token: string,
  tries: number,
): TE.TaskEither<PlatformError, number> {
  return pipe(
    platform.get(FENCING_KEY, CALL_OPTIONS),
    TE.chain((current) => {
      const number = numberOf(current) + 1;
      const value = JSON.stringify({ number, token });
      return pipe(
        settle(
          platform,
          { key: FENCING_KEY, value },
          platform.compareAndSwap(
            {
              key: FENCING_KEY,
              value,
              expectedVersion: current?.version ?? 0,
            },
            CALL_OPTIONS,
          ),
        ),
        TE.map(() => number),
      );
    }),
    TE.orElse((error) =>
      error.type === 'conflict' && tries > 1
        ? raiseFencing(platform, token, tries - 1)
        : TE.left(error),
    ),
  );
}

/** Settles a write without a reply by looking for its own value. */
function settle(
  platform: PlatformPort,
  written: { readonly key: string; readonly value: string },
  write: TE.TaskEither<PlatformError, KeyValue>,
): TE.TaskEither<PlatformError, KeyValue> {
  return pipe(
    write,
    TE.orElse((error) =>
      error.type === 'replyLost'
        ? pipe(
            platform.get(written.key, CALL_OPTIONS),
            TE.chain((current) =>
              current?.value === written.value
                ? TE.right(current)
                : TE.left<PlatformError>({ type: 'conflict', current }),
            ),
          )
        : TE.left(error),
    ),
  );
}

function numberOf(current: KeyValue | undefined): number {
  if (current === undefined) return 0;
  const { number } = JSON.parse(current.value) as { readonly number: number };
  return number;
}
