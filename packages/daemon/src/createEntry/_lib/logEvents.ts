import type { EntryAddress } from '@endivegate/contracts';
import type { RootEffect, RootEvent } from '@endivegate/core';
import type { Logger } from '../../createLogger/index.ts';

/** Maximum number of entry ids in one log line. */
const MAX_LOGGED_IDS = 20;

/**
 * Logs an event if it is relevant to operators.
 *
 * @param logger - The entry's logger.
 * @param event - Any event.
 */
export function logEvent(logger: Logger, event: RootEvent): void {
  switch (event.type) {
    case 'request.ended':
      logger.debug('request.ended', {
        requestId: event.requestId,
        ran: event.ran,
        end: event.end.type,
      });
      return;
    case 'request.refused':
      logger.info('request.refused', {
        requestId: event.requestId,
        reason: event.reason,
      });
      return;
    case 'attempt.silent':
      logger.info('attempt.silent', {
        requestId: event.requestId,
        attemptId: event.attemptId,
      });
      return;
    case 'members.changed':
      logger.info('members.changed', {
        live: event.live.length,
        leaving: listIds(event.leaving),
        suspected: listIds(event.suspected ?? []),
        dead: listIds(event.dead),
      });
      return;
    case 'table.installed':
      logger.info('table.installed', { number: event.number });
      return;
    case 'leaving.requested':
      logger.info('entry.leaving');
      return;
    default:
  }
}

function listIds(entries: readonly EntryAddress[]): string {
  const ids = entries.slice(0, MAX_LOGGED_IDS).map(({ entryId }) => entryId);
  const omitted = entries.length - ids.length;
  return omitted === 0 ? ids.join(' ') : `${ids.join(' ')} +${omitted}`;
}

/**
 * Creates the handler that logs detected pauses of the process.
 *
 * @param logger - The entry's logger.
 * @returns The handler of the `clock` effects.
 */
export function createPauseLogger(
  logger: Logger,
): (effect: RootEffect) => void {
  return (effect) => {
    if (effect.type !== 'clock.pauseDetected') return;
    logger.warn('entry.paused', { pausedMs: Math.round(effect.pausedMs) });
  };
}
