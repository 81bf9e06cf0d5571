import type { PlatformPort } from '@endivegate/contracts';
import { pipe } from 'fp-ts/lib/function.js';
import * as TE from 'fp-ts/lib/TaskEither.js';
import type { AdminFailure, AdminPorts } from '../../admin/index.ts';
import type { Runtime } from '../../runtime/index.ts';
import { clearSuspect } from '../suspectAdmin/index.ts';

/**
 * Creates the functions with which operators list and clear suspects.
 *
 * @param platform - The store.
 * @param runtime - The entry's runtime, whose state holds the fleet's suspects.
 * @returns The functions behind the operators' API.
 */
export function createSuspectsPorts(
  platform: PlatformPort,
  runtime: Pick<Runtime, 'state' | 'nowMs'>,
): AdminPorts['suspects'] {
  return {
    list: () => ({
      suspects: [...runtime.state().suspects.known.values()]
        .map(({ fingerprint, blocked, crashes, untilMs }) => ({
          fingerprint,
          crashes,
          refused: blocked,
          expiresInMs: Math.max(0, untilMs - runtime.nowMs()),
        }))
        .filter(({ expiresInMs }) => expiresInMs > 0),
    }),
    clear: (fingerprint) =>
      pipe(
        clearSuspect(platform, fingerprint),
        TE.mapLeft((error): AdminFailure => ({
          type: 'storeDown',
          reason: error.type,
        })),
        TE.flatMap((wasListed) =>
          wasListed
            ? TE.right(undefined)
            : TE.left<AdminFailure>({
                type: 'notFound',
                reason: 'no such suspect',
              }),
        ),
      ),
  };
}
