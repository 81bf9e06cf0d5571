import type { EngineCost } from '@endivegate/contracts/forwarding';
import { estimatePassMs } from '../../engineTimes/index.ts';

/** Work of one request at a target. */
export interface Work {
  /** Time that prefill, or a plain call as a whole, takes at the usual pace. */
  readLeftMs: number;
  /** Passes of output that are left; 0 for plain calls. */
  passesLeft: number;
  readonly contextTokens: number;
}

/** A target that runs a number of requests at a time; others wait in its queue. */
export interface VirtualTarget {
  readonly id: string;
  /** Undefined for a target that serves plain calls. */
  readonly cost: EngineCost | undefined;
  readonly hasRoom: () => boolean;
  readonly add: (work: Work) => void;
  readonly remove: (work: Work) => void;
  /** Lets it work for a time at its usual pace. */
  readonly advance: (forMs: number) => void;
  /** Whether a request has a slot. */
  readonly isRunning: (work: Work) => boolean;
  readonly running: () => readonly Work[];
}

/** Requests that a target queues beyond its slots. */
const QUEUE_LENGTH = 2;

/** Share of an engine's time for prefill while it writes for others. */
const PREFILL_SHARE = 0.5;

/** Whether a request is done. */
export function isDone({ readLeftMs, passesLeft }: Work): boolean {
  return readLeftMs <= 0 && passesLeft <= 0;
}

/** Creates a target without requests. */
export function createVirtualTarget(options: {
  readonly id: string;
  readonly slots: number;
  readonly cost?: EngineCost;
}): VirtualTarget {
  const { id, slots, cost } = options;
  let open: readonly Work[] = [];
  let current: readonly Work[] = [];

  function setOpen(works: readonly Work[]): void {
    open = works;
    current = works.slice(0, slots);
  }

  function advanceEngine(engine: EngineCost, forMs: number): void {
    const reader = current.find(({ readLeftMs }) => readLeftMs > 0);
    const writers = current.filter(({ readLeftMs }) => readLeftMs <= 0);
    const alone = writers.length === 0 ? 1 : PREFILL_SHARE;
    const readShare = reader === undefined ? 0 : alone;
    if (reader !== undefined) reader.readLeftMs -= forMs * readShare;
    const contextTokens = writers.reduce(
      (sum, writer) => sum + writer.contextTokens,
      0,
    );
    const passMs = estimatePassMs(engine, writers.length, contextTokens);
    writers.forEach((writer) => {
      writer.passesLeft -= (forMs * (1 - readShare)) / passMs;
    });
  }

  return {
    ...{ id, cost },
    running: () => current,
    hasRoom: () => open.length < slots + QUEUE_LENGTH,
    isRunning: (work) => current.includes(work),
    add(work) {
      setOpen([...open, work]);
    },
    remove(work) {
      setOpen(open.filter((one) => one !== work));
    },
    advance(forMs) {
      if (current.length === 0) return;
      if (cost !== undefined) {
        advanceEngine(cost, forMs);
        return;
      }
      current.forEach((work) => {
        work.readLeftMs -= forMs;
      });
    },
  };
}
