import type {
  KeyValue,
  PlatformError,
  PlatformPort,
} from '@endivegate/contracts';
import { PLACING_LEASE_TTL_MS } from '@endivegate/core';
import { pipe } from 'fp-ts/lib/function.js';
import * as TE from 'fp-ts/lib/TaskEither.js';

/** Key of the fleet's fencing number, which only increases. */
export const FENCING_KEY = 'orders/fencing';

/** Prefix of the keys held by placing entries, one key per model. */
export const PLACER_PREFIX = 'orders/placer/';

/** Attempts to increment the fencing number before the lease is revoked. */
const MAX_FENCING_ATTEMPTS = 5;

/** An entry that wants to become the placing entry of a model. */
export interface PlacerCandidate {
  readonly model: string;
  readonly entryId: string;
  /** Unique per call, so that the entry recognizes its own write. */
  readonly token: string;
}

/** A lease and the fencing number acquired with it. */
export interface PlacerLease {
  readonly leaseId: string;
  readonly fencingNumber: number;
}

const CALL_OPTIONS = { purpose: 'leases', timeoutMs: 2_000 } as const;

/**
 * Makes an entry the placing entry of a model.
 *
 * The model's key is written under a lease first, and the fleet's fencing
 * number is incremented afterwards. Because the key is held by then, the new
 * number is larger than any that an earlier holder used in its orders. A write
 * whose reply is lost is verified by reading the key.
 *
 * @param platform - The platform.
 * @param candidate - Model, entry and token.
 * @returns The lease, or an error: `conflict` when another entry holds the model.
 */
export function acquirePlacerLease(
  platform: PlatformPort,
  candidate: PlacerCandidate,
): TE.TaskEither<PlatformError, PlacerLease> {
  return pipe(
    checkKeyAbsent(platform, candidate.model),
    TE.chain(() => platform.grantLease(PLACING_LEASE_TTL_MS, CALL_OPTIONS)),
    TE.chain(({ leaseId }) =>
      pipe(
        writePlacerKey(platform, candidate, leaseId),
        TE.chain(() =>
          incrementFencingNumber(
            platform,
            candidate.token,
            MAX_FENCING_ATTEMPTS,
          ),
        ),
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

/**
 * Fails with `conflict` while another entry holds the model. This saves the
 * store three writes: granting a lease, writing the key, revoking the lease.
 */
function checkKeyAbsent(
  platform: PlatformPort,
  model: string,
): TE.TaskEither<PlatformError, undefined> {
  return pipe(
    platform.get(placerKey(model), CALL_OPTIONS),
    TE.chain((current) =>
      current === undefined
        ? TE.right(undefined)
        : TE.left<PlatformError>({ type: 'conflict', current }),
    ),
  );
}

function placerKey(model: string): string {
  return `${PLACER_PREFIX}${encodeURIComponent(model)}`;
}

function writePlacerKey(
  platform: PlatformPort,
  candidate: PlacerCandidate,
  leaseId: string,
): TE.TaskEither<PlatformError, KeyValue> {
  const key = placerKey(candidate.model);
  const value = JSON.stringify({
    entryId: candidate.entryId,
    token: candidate.token,
  });
  return resolveLostReply(
    platform,
    { key, value },
    platform.compareAndSwap(
      { key, value, expectedVersion: 0, leaseId },
      CALL_OPTIONS,
    ),
  );
}

function incrementFencingNumber(
  platform: PlatformPort,
  token: string,
  attemptsLeft: number,
): TE.TaskEither<PlatformError, number> {
  return pipe(
    platform.get(FENCING_KEY, CALL_OPTIONS),
    TE.chain((current) => {
      const number = parseFencingNumber(current) + 1;
      const value = JSON.stringify({ number, token });
      return pipe(
        resolveLostReply(
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
      error.type === 'conflict' && attemptsLeft > 1
        ? incrementFencingNumber(platform, token, attemptsLeft - 1)
        : TE.left(error),
    ),
  );
}

/** Runs a write; if its reply is lost, reads the key to see if it took effect. */
function resolveLostReply(
  platform: PlatformPort,
  expected: { readonly key: string; readonly value: string },
  write: TE.TaskEither<PlatformError, KeyValue>,
): TE.TaskEither<PlatformError, KeyValue> {
  return pipe(
    write,
    TE.orElse((error) =>
      error.type === 'replyLost'
        ? pipe(
            platform.get(expected.key, CALL_OPTIONS),
            TE.chain((current) =>
              current?.value === expected.value
                ? TE.right(current)
                : TE.left<PlatformError>({ type: 'conflict', current }),
            ),
          )
        : TE.left(error),
    ),
  );
}

function parseFencingNumber(current: KeyValue | undefined): number {
  if (current === undefined) return 0;
  const { number } = JSON.parse(current.value) as { readonly number: number };
  return number;
}
