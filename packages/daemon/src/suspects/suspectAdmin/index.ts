import {
  SUSPECTS_KEY,
  type PlatformError,
  type PlatformPort,
  type Suspect,
} from '@endivegate/contracts';
import { pipe } from 'fp-ts/lib/function.js';
import * as TE from 'fp-ts/lib/TaskEither.js';
import { parseStored } from '../_lib/storedSuspects.ts';

const call = { purpose: 'suspects' } as const;

/**
 * Lists the suspects of the fleet, those changed last first.
 *
 * @param platform - The store.
 * @returns The suspects, or the store's error.
 */
export function listSuspects(
  platform: PlatformPort,
): TE.TaskEither<PlatformError, readonly Suspect[]> {
  return pipe(
    platform.get(SUSPECTS_KEY, call),
    TE.map((stored) =>
      parseStored(stored).document.suspects.toSorted(
        (a, b) => b.changedAtMs - a.changedAtMs,
      ),
    ),
  );
}

/**
 * Ends the suspicion of a request, so that it runs again.
 *
 * @param platform - The store.
 * @param fingerprint - Fingerprint of the request, as listed.
 * @returns Whether there was such a suspicion, or the store's error.
 */
export function clearSuspect(
  platform: PlatformPort,
  fingerprint: string,
): TE.TaskEither<PlatformError, boolean> {
  return pipe(
    platform.get(SUSPECTS_KEY, call),
    TE.map(parseStored),
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
          call,
        ),
        TE.map(() => true),
      );
    }),
  );
}
