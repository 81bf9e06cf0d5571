import type { RootEffect, RootEvent } from '@endivegate/core';
import type { Logger } from '../../createLogger/index.ts';

/**
 * Logs the events that an operator looks for.
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
        leaving: event.leaving.length,
        dead: event.dead.length,
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

/**
 * Creates the handler that logs pauses of the process.
 *
 * @param logger - The entry's logger.
 * @returns The handler of the `clock` effects.
 */
export function logPauses(logger: Logger): (effect: RootEffect) => void {
  return (effect) => {
    if (effect.type !== 'clock.pauseSeen') return;
    logger.warn('entry.paused', { pausedMs: Math.round(effect.pausedMs) });
  };
}
