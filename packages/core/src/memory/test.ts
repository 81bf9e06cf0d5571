import type { EntryAddress, Reservation, Target } from '@endivegate/contracts';
import { expect } from 'chai';
import type { SharedEvent } from '../events/index.ts';
import { memorySlice, type MemoryEvent, type MemoryState } from './index.ts';

const entry = (entryId: string, incarnation = 1, dataCentre = 'd1') =>
  ({ entryId, incarnation, dataCentre }) as EntryAddress;
const engine = (targetId: string, dataCentre = 'd1') =>
  ({ targetId, dataCentre, targetKind: 'engine' }) as Target;
const reservation = (
  reservationId: string,
  ageMs = 0,
  lifetimeMs = 60_000,
): Reservation => ({ reservationId, ageMs, lifetimeMs, tokens: 1 });

type Unstamped<T> = T extends unknown ? Omit<T, 'random' | 'atMs'> : never;
type Input = readonly [
  atMs: number,
  event: Unstamped<SharedEvent | MemoryEvent>,
];

function run(inputs: readonly Input[]) {
  return inputs.reduce<{ state: MemoryState; log: unknown[] }>(
    ({ state, log }, [atMs, event]) => {
      const stamped = { ...event, atMs, random: 0 } as SharedEvent;
      const step = memorySlice.reduce(state, stamped);
      return { state: step.state, log: [...log, ...step.effects] };
    },
    { state: memorySlice.initial, log: [] },
  ).log;
}

const members = (
  live: readonly EntryAddress[],
  dead: readonly EntryAddress[] = [],
) => ({ type: 'members.changed', live, leaving: [], dead }) as const;
const started = (self: EntryAddress) =>
  ({ type: 'entry.started', self }) as const;
const targets = { type: 'targets.changed', targets: [engine('e1')] } as const;
const tick = { type: 'clock.ticked' } as const;
const listed = (...reservations: Reservation[]) =>
  ({ type: 'memory.listed', targetId: 'e1', reservations }) as const;

const alone: readonly Input[] = [
  [0, started(entry('a'))],
  [0, members([entry('a')])],
  [0, targets],
  [0, tick],
];

describe('memorySlice', () => {
  it('frees reservations of dead or replaced incarnations and expired ones', () => {
    const log = run([
      ...alone,
      [10, members([entry('a'), entry('b', 5)], [entry('c', 3)])],
      [
        20,
        listed(
          reservation('a/1/1'),
          reservation('b/4/1'),
          reservation('b/5/1'),
          reservation('c/3/1'),
          reservation('c/4/1'),
          reservation('stranger/1/1'),
          reservation('a/1/2', 60_001),
        ),
      ],
    ]);
    expect(log).toMatchSnapshot();
  });

  it('checks at once when a dead entry becomes known, else every few seconds', () => {
    const log = run([
      ...alone,
      [100, tick],
      [200, members([entry('a')], [entry('b')])],
      [300, tick],
      [400, members([entry('a')], [entry('b')])],
      [500, tick],
      [3_300, tick],
    ]);
    expect(log.length).to.equal(3);
  });

  it('frees nothing from a list that is too old', () => {
    const dead: Input = [10, members([entry('a')], [entry('c')])];
    const late: Input = [5_001, listed(reservation('c/1/1'))];
    expect(run([...alone, dead, late]).length).to.equal(1);
    const inTime: Input = [5_000, listed(reservation('c/1/1'))];
    expect(run([...alone, dead, inTime]).length).to.equal(2);
  });

  it('frees nothing of an incarnation that is live again', () => {
    const log = run([
      ...alone,
      [10, members([entry('a')], [entry('b')])],
      [20, members([entry('a'), entry('b')])],
      [30, listed(reservation('b/1/1'))],
    ]);
    expect(log.length).to.equal(1);
  });

  it('has each engine watched by one entry, preferably in its data centre', () => {
    const entries = ['a', 'b', 'c'].map((id) => entry(id));
    const far = entry('far', 1, 'd2');
    const engines = Array.from({ length: 40 }, (_, i) =>
      engine(`e${i}`, i < 20 ? 'd1' : 'd3'),
    );
    const watchedBy = [...entries, far].map((self) =>
      run([
        [0, started(self)],
        [0, members([...entries, far])],
        [0, { type: 'targets.changed', targets: engines }],
        [0, tick],
      ]).map((effect) => (effect as { targetId: string }).targetId),
    );
    expect(watchedBy.flat().toSorted()).to.deep.equal(
      engines.map((e) => e.targetId).toSorted(),
    );
    const nearIds = new Set(engines.slice(0, 20).map((e) => e.targetId));
    expect(watchedBy[3]?.some((id) => nearIds.has(id))).to.equal(false);
  });
});
