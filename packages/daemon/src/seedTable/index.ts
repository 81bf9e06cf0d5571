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
 * Writes the first table into an empty store.
 *
 * @param platform - The store.
 * @param document - The table.
 * @returns The store's first error, if any.
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
 * Returns the hash under which the table knows a bearer token.
 *
 * @param token - The token.
 * @returns SHA-256 in lower-case hex.
 */
export function hashToken(token: string): string {
  return createHash('sha256').update(token).digest('hex');
}
