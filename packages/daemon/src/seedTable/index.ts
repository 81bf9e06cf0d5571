import { createHash } from 'node:crypto';
import {
  type PlatformError,
  type PlatformPort,
  TABLE_MANIFEST_KEY,
  type TableDocument,
  type TableManifest,
} from '@endivegate/contracts';
import { splitTable } from '@endivegate/core';
import { pipe } from 'fp-ts/lib/function.js';
import * as TE from 'fp-ts/lib/TaskEither.js';

const EDIT_TOKEN = 'dev';

/**
 * Writes an initial table to an empty store.
 *
 * @param platform - The store.
 * @param document - The table.
 * @returns Nothing, or the first error of the store.
 */
export function seedTable(
  platform: PlatformPort,
  document: TableDocument,
): TE.TaskEither<PlatformError, void> {
  const { rootKey, written } = splitTable(document, { token: EDIT_TOKEN });
  const manifest: TableManifest = {
    history: [
      {
        number: 1,
        rootKey,
        editToken: EDIT_TOKEN,
        author: 'endivegate dev',
        note: 'first table',
        atUnixMs: Date.now(),
      },
    ],
    collections: 0,
  };
  const values = [
    ...written,
    { key: TABLE_MANIFEST_KEY, value: JSON.stringify(manifest) },
  ];
  return pipe(
    values,
    TE.traverseSeqArray(({ key, value }) =>
      platform.compareAndSwap(
        { key, value, expectedVersion: 0 },
        { purpose: 'table' },
      ),
    ),
    TE.map(() => undefined),
  );
}

/**
 * Returns the hash that the table stores for a bearer token.
 *
 * @param token - The token.
 * @returns SHA-256 hash in lower-case hexadecimal.
 */
export function hashToken(token: string): string {
  return createHash('sha256').update(token).digest('hex');
}
