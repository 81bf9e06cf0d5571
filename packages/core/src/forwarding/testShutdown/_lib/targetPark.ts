import type { LoadChange } from '../types.ts';
import { type Draft, engineCost } from './traffic.ts';
import { createVirtualTarget, type VirtualTarget } from './virtualTarget.ts';

/** The targets of all entries. */
export interface TargetPark {
  readonly engines: readonly VirtualTarget[];
  readonly advance: (nowMs: number, forMs: number) => void;
  /** Time that a target takes, relative to its usual one. */
  readonly slowdownOf: (target: VirtualTarget, nowMs: number) => number;
  /** Targets that can take a request, the least busy first. */
  readonly targetsFor: (
    draft: Pick<Draft, 'class'>,
    nowMs: number,
  ) => readonly VirtualTarget[];
}

/** Options of {@link createTargetPark}. */
export interface CreateTargetParkOptions {
  readonly changes: readonly LoadChange[];
  /** Callers at the start, by what they need. */
  readonly engineCallers: number;
  readonly plainCallers: number;
}

const CALL_SLOTS = 4;

/** Callers of one target, at most. */
const CALLERS_PER_TARGET = 2.5;

/** Creates targets that are enough for their callers at the usual pace. */
export function createTargetPark(options: CreateTargetParkOptions): TargetPark {
  const { changes } = options;
  const engines = idsFor('engine', options.engineCallers).map((id) =>
    createVirtualTarget({ id, slots: engineCost.slots, cost: engineCost }),
  );
  const plain = idsFor('plain', options.plainCallers).map((id) =>
    createVirtualTarget({ id, slots: CALL_SLOTS }),
  );

  /** Changes that hold at a target now. */
  function changesAt(
    target: VirtualTarget,
    nowMs: number,
  ): readonly LoadChange[] {
    const all = target.cost === undefined ? plain : engines;
    return changes.filter(
      (change) =>
        'part' in change &&
        change.fromMs <= nowMs &&
        nowMs < change.fromMs + change.forMs &&
        all.indexOf(target) < change.part * all.length,
    );
  }

  function slowdownOf(target: VirtualTarget, nowMs: number): number {
    return changesAt(target, nowMs).reduce(
      (slowdown, change) =>
        change.type === 'pace' ? slowdown * change.factor : slowdown,
      1,
    );
  }

  function isReleased(target: VirtualTarget, nowMs: number): boolean {
    return changesAt(target, nowMs).some(({ type }) => type === 'release');
  }

  return {
    ...{ engines, slowdownOf },
    advance(nowMs, forMs) {
      [...engines, ...plain].forEach((target) => {
        target.advance(forMs / slowdownOf(target, nowMs));
      });
    },
    targetsFor: ({ class: { prompt } }, nowMs) =>
      (prompt === undefined ? plain : engines)
        .filter((target) => target.hasRoom() && !isReleased(target, nowMs))
        .toSorted((a, b) => a.running().length - b.running().length),
  };
}

function idsFor(name: string, callers: number): readonly string[] {
  const length = Math.ceil(callers / CALLERS_PER_TARGET + 1);
  return Array.from({ length }, (_, index) => `${name}${index}`);
}
