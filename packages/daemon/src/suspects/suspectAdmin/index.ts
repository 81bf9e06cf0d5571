import {
  SUSPECTS_KEY,
  type PlatformError,
  type PlatformPort,
  type Suspect,
} from '@endivegate/contracts';
import { pipe } from 'fp-ts/lib/function.js';
import * as TE from 'fp-ts/lib/TaskEither.js';
import { parseStoredSuspects } from '../_lib/storedSuspects.ts';

const callOptions = { purpose: 'suspects' } as const;

/**
 * Lists the suspects of the fleet, most recently changed first.
 *
 * @param platform - The store.
 * @returns The suspects, or the store's error.
 */
export function listSuspects(
  platform: PlatformPort,
): TE.TaskEither<PlatformError, readonly Suspect[]> {
  return pipe(
    platform.get(SUSPECTS_KEY, callOptions),
    TE.map((stored) =>
      parseStoredSuspects(stored).document.suspects.toSorted(
        (a, b) => b.changedAtMs - a.changedAtMs,
      ),
    ),
  );
}

/**
 * Removes a request from the suspects, so that it may run again.
 *
 * @param platform - The store.
 * @param fingerprint - Fingerprint of the request, as listed.
 * @returns Whether the request was listed as a suspect, or the store's error.
 */
export function clearSuspect(
  platform: PlatformPort,
  fingerprint: string,
): TE.TaskEither<PlatformError, boolean> {
  return pipe(
    platform.get(SUSPECTS_KEY, callOptions),
    TE.map(parseStoredSuspects),
    TE.flatMap(({ document, version }) => {
      const suspects = document.suspects.filter(
        (suspect) => suspect.fingerprint !== fingerprint,
      );
      if (suspects.length === document.suspects.length) {
        return TE.right(false);
      }
      return pipe(
        platform.compareAndSwap(
          {
            key: SUSPECTS_KEY,
            value: JSON.stringify({ suspects }),
            expectedVersion: version,
          },
          callOptions,
        ),
        TE.map(() => true),
      );
    }),
  );
}
