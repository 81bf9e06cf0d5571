import { randomUUID } from 'node:crypto';
import { createAttemptRunner } from '../../createAttemptRunner/index.ts';
import type { EntryView } from '../../createEntryView/index.ts';
import { createLeavingHandler } from '../../createLeavingHandler/index.ts';
import type { Metrics } from '../../createMetrics/index.ts';
import { createMemoryHandler } from '../../memory/index.ts';
import { createTargetsHandler } from '../../createTargetsHandler/index.ts';
import { createOnceHandler } from '../../once/index.ts';
import type { OpenRequests } from '../../createOpenRequests/index.ts';
import { createOrdersHandler } from '../../orders/index.ts';
import { createRoutingHandler } from '../../createRoutingHandler/index.ts';
import type { EffectHandler } from '../../runtime/index.ts';
import type { Peering } from '../../startPeering/index.ts';
import type { SuspectsHandler } from '../../suspects/index.ts';
import type { TableHandler } from '../../table/index.ts';
import type { CreateEntryOptions } from '../types.ts';
import type { NotifyPeer } from './createPeerMessages.ts';
import { createPauseLogger } from './logEvents.ts';
import { waitUntilZero } from './waitUntilZero.ts';

/** Time for the responses to requests that are broken off at the exit. */
const LAST_BYTES_MS = 500;

/** Parts of an entry that its effect handlers use. */
export interface CreateHandlersOptions extends CreateEntryOptions {
  readonly metrics: Metrics;
  readonly openRequests: OpenRequests;
  readonly peering: Peering;
  readonly table: TableHandler;
  readonly suspects: SuspectsHandler;
  readonly findTarget: EntryView['findTarget'];
  readonly notifyPeer: NotifyPeer;
  /** Returns the number of claims whose outcome is not yet written. */
  readonly countOpenClaims: () => number;
  /** Returns the number of answers that callers have not received in full. */
  readonly countOpenAnswers: () => number;
  /** Breaks off relayed requests with a response. */
  readonly breakOffRelays: () => void;
  /** Called when the instance list cannot be read. */
  readonly onInstanceListError: (error: { readonly type: string }) => void;
}

/**
 * Creates the handlers of all effects of an entry.
 *
 * @param options - Parts of the entry.
 * @returns Handlers by slice.
 */
export function createHandlers(
  options: CreateHandlersOptions,
): Readonly<Record<string, EffectHandler>> {
  const { logger, openRequests, metrics, findTarget, settings } = options;
  const { engines, services, platform } = options.ports;
  return {
    clock: createPauseLogger(logger),
    membership: options.peering.membership.handler,
    table: options.table.handle,
    targets: createTargetsHandler({
      platform,
      onError: options.onInstanceListError,
      notifyPeer: (toEntryId, update) =>
        options.notifyPeer(toEntryId, 'instances', update),
    }),
    leaving: createLeavingHandler({
      openRequests,
      exit: (exitCode, reason) => {
        const logAndExit = (openClaimCount: number) => {
          logger.info('entry.left', { exitCode, reason, openClaimCount });
          options.onExit?.(exitCode);
        };
        if (reason === 'drained') {
          void waitUntilZero(options.countOpenClaims).then(logAndExit);
          return;
        }
        options.breakOffRelays();
        const exitNow = () => {
          logAndExit(options.countOpenClaims());
        };
        if (options.countOpenAnswers() === 0) exitNow();
        else {
          void waitUntilZero(options.countOpenAnswers, LAST_BYTES_MS).then(
            exitNow,
          );
        }
      },
    }),
    requests: createAttemptRunner({
      engines,
      services,
      openRequests,
      metrics,
      findTarget,
    }),
    suspects: options.suspects.handle,
    memory: createMemoryHandler({
      engines,
      findTarget,
      onFreed: (targetId, reservationId) => {
        logger.info('memory.freed', { targetId, reservationId });
      },
    }),
    once: createOnceHandler({ platform, services, findTarget }),
    orders: createOrdersHandler({
      platform,
      engines,
      findTarget,
      entryId: settings.entryId,
      newToken: randomUUID,
    }),
    routing: createRoutingHandler({
      engines,
      findTarget,
      notifyPeer: (toEntryId, message) =>
        options.notifyPeer(toEntryId, 'routing', message),
      onReservationNotFreed: (targetId, reservationId) => {
        logger.warn('reservation.unfreed', { targetId, reservationId });
      },
    }),
  };
}
