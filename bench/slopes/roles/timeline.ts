import { createTimeline } from '@endivegate/daemon';
import type { Figures } from '../figures.ts';
import { cpuUsPerCall, usedHeapBytes } from './heap.ts';

const UNBOUNDED_BYTES = 1_000_000_000;

/**
 * Measures the memory and CPU time of an entry's timeline that keeps a number
 * of events.
 */
export function measureTimeline(events: number): Figures {
  const before = usedHeapBytes();
  const timeline = createTimeline({ entryId: 'a', maxBytes: UNBOUNDED_BYTES });
  const record = (index: number): void => {
    timeline.record({
      type: 'attempt.started',
      requestId: `entry-001-${index}`,
      attemptId: `entry-001-${index}/1`,
      targetId: `engine-${index % 830}`,
      atMs: index,
      random: 0,
    });
  };
  for (let index = 0; index < events; index += 1) record(index);
  const stateBytes = usedHeapBytes() - before;
  const countedBytes = timeline.usedBytes();
  const cpuUsPerEvent = cpuUsPerCall(events, record);
  return { stateBytes, countedBytes, cpuUsPerEvent };
}
