import * as NEA from 'fp-ts/lib/NonEmptyArray.js';
import type { HistoryEvent, HistoryEventOf, IndexedHistory } from './types.ts';

/**
 * Builds the indexes that the rules share.
 *
 * @param history - Events in any order.
 * @returns The indexed history.
 */
export function indexHistory(history: readonly HistoryEvent[]): IndexedHistory {
  const sent = eventsOf(history, 'caller.sent');
  const ended = eventsOf(history, 'caller.ended');
  const starts = eventsOf(history, 'target.started');
  const finished = eventsOf(history, 'target.finished');
  const activity = history.filter((event) => event.type !== 'target.memory');
  return {
    sent,
    ended,
    sentByCall: new Map(sent.map((event) => [event.callId, event])),
    endedByCall: new Map(ended.map((event) => [event.callId, event])),
    lostCalls: new Set(
      eventsOf(history, 'caller.lost').map((event) => event.callId),
    ),
    starts,
    startsByBody: groupBy(starts, (event) => event.bodyId),
    startedRequests: new Set(
      starts.map((event) => requestIdOf(event.attemptId)),
    ),
    answersByBody: new Map(
      [...groupBy(finished, (event) => event.bodyId)].map(
        ([bodyId, events]) => [
          bodyId,
          new Set(events.map((event) => event.answer)),
        ],
      ),
    ),
    bodyByAnswer: new Map(
      finished.map((event) => [event.answer, event.bodyId]),
    ),
    memory: eventsOf(history, 'target.memory'),
    lastActivityAtMs: latest(activity),
    endAtMs: latest(history),
  };
}

/**
 * Groups items by a key.
 *
 * @param items - The items.
 * @param keyOf - Returns the key of an item.
 * @returns The items of each key, in their order.
 */
export function groupBy<T>(
  items: readonly T[],
  keyOf: (item: T) => string,
): ReadonlyMap<string, readonly T[]> {
  return new Map(Object.entries(NEA.groupBy(keyOf)([...items])));
}

/** An attempt id is the request id, a dot and a number. */
function requestIdOf(attemptId: string): string {
  return attemptId.slice(0, attemptId.lastIndexOf('.'));
}

function eventsOf<Type extends HistoryEvent['type']>(
  history: readonly HistoryEvent[],
  type: Type,
): readonly HistoryEventOf<Type>[] {
  return history.filter(
    (event): event is HistoryEventOf<Type> => event.type === type,
  );
}

function latest(events: readonly HistoryEvent[]): number {
  return events.reduce((atMs, event) => Math.max(atMs, event.atMs), 0);
}
