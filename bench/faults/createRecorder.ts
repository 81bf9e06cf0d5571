import { expectedAnswer } from '@endivegate/stand-ins';
import type { EngineRecord, ServiceRecord } from '@endivegate/stand-ins';
import type { HistoryEvent } from '@endivegate/core';

/** Longest answer that callers of the benchmark ask for, in tokens. */
export const MAX_TOKENS = 24;

/** Collects what callers and targets saw, on one clock. */
export interface Recorder {
  readonly add: (event: HistoryEvent) => void;
  readonly onEngine: (record: EngineRecord) => void;
  readonly onService: (record: ServiceRecord) => void;
  readonly events: () => readonly HistoryEvent[];
}

/**
 * Creates a recorder.
 *
 * @returns The recorder, empty.
 */
export function createRecorder(): Recorder {
  const events: HistoryEvent[] = [];
  const add = (event: HistoryEvent): void => {
    events.push(event);
  };
  return {
    add,
    onEngine: ({ type, atMs, targetId, attemptId, prompt }) => {
      if (type === 'refused') return;
      if (type === 'crashed') {
        add({ type: 'target.crashed', atMs, targetId });
        return;
      }
      const ran = { atMs, targetId, attemptId, bodyId: bodyIdIn(prompt) };
      add({ type: 'target.started', ...ran });
      // The whole answer to a prompt is known before it is streamed.
      const answer = expectedAnswer(prompt, MAX_TOKENS);
      add({ type: 'target.finished', ...ran, answer });
    },
    onService: ({ atMs, targetId, attemptId, path, answer }) => {
      const ran = { atMs, targetId, attemptId, bodyId: bodyIdIn(path) };
      add({ type: 'target.started', ...ran });
      add({ type: 'target.finished', ...ran, answer });
    },
    events: () => events,
  };
}

/** Body ids stand between `<` and `>`, or after `body=` in a path. */
function bodyIdIn(text: string): string {
  return /<([^>]+)>|body=([\w-]+)/.exec(text)?.slice(1).find(Boolean) ?? text;
}
