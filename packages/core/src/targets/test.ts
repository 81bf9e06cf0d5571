import type { EntryAddress, Target } from '@endivegate/contracts';
import { expect } from 'chai';
import type { SharedEvent } from '../events/index.ts';
import { targetsSlice, type TargetsEvent, type TargetsState } from './index.ts';

type Unstamped<T> = T extends unknown ? Omit<T, 'atMs' | 'random'> : never;
type InputEvent = Unstamped<TargetsEvent | SharedEvent>;

const entry = (entryId: string): EntryAddress => ({
  entryId,
  incarnation: 1,
  region: 'north',
  dataCentre: 'dc-1',
  host: '127.0.0.1',
  httpPort: 1,
  peerPort: 2,
});

const target = (targetId: string, leaving = false): Target => ({
  targetId,
  targetKind: 'engine',
  url: 'http://127.0.0.1:1',
  region: 'north',
  dataCentre: 'dc-1',
  serves: ['m'],
  kvCapacityTokens: 1,
  checksFencing: true,
  hasKeyLookup: false,
  leaving,
});

const live = ['a', 'b', 'c', 'd', 'e'].map(entry);

/** Applies timed events in order and collects their effects, except raises. */
function reduceAll(
  selfId: string,
  inputs: readonly (readonly [number, InputEvent])[],
) {
  const setupEvents: readonly (readonly [number, InputEvent])[] = [
    [0, { type: 'entry.started', self: entry(selfId) }],
    [0, { type: 'members.changed', live, leaving: [], dead: [] }],
  ];
  return [...setupEvents, ...inputs].reduce<{
    state: TargetsState;
    effects: readonly unknown[];
  }>(
    (done, [atMs, input]) => {
      const event = { ...input, atMs, random: 0.5 } as
        TargetsEvent | SharedEvent;
      const step = targetsSlice.reduce(done.state, event);
      const effects = step.effects.filter(({ type }) => type !== 'raise');
      return { state: step.state, effects: [...done.effects, ...effects] };
    },
    { state: targetsSlice.initial, effects: [] },
  );
}

const tick: InputEvent = { type: 'clock.ticked' };
const listed = (...targets: Target[]): InputEvent => ({
  type: 'targets.listed',
  targets,
});

const isReader = (id: string) => reduceAll(id, []).state.isReader;
const readerId = live.map(({ entryId }) => entryId).find(isReader) ?? '';
const followerId =
  live.map(({ entryId }) => entryId).find((id) => !isReader(id)) ?? '';

describe('targetsSlice', () => {
  it('has two readers in a data centre', () => {
    const readers = live.filter(({ entryId }) => isReader(entryId));
    expect(readers).to.have.length(2);
  });

  it('reads every 2 s as a reader, and rarely otherwise after its first list', () => {
    const times = Array.from({ length: 100 }, (_, index) => index * 100);
    const countReads = (id: string) =>
      times.reduce(
        ({ inputs, reads }, atMs) => {
          const ticked = [...inputs, [atMs, tick] as const];
          const all = reduceAll(id, ticked).effects.length;
          if (all === reads) return { inputs: ticked, reads };
          const answered = [...ticked, [atMs, listed(target('t1'))] as const];
          return { inputs: answered, reads: all };
        },
        { inputs: [] as readonly (readonly [number, InputEvent])[], reads: 0 },
      ).reads;
    expect(countReads(followerId)).to.equal(1);
    expect(countReads(readerId)).to.equal(5);
  });

  it('keeps the short read interval until a read succeeds', () => {
    const { effects } = reduceAll(followerId, [
      [0, tick],
      [10, { type: 'targets.listFailed' }],
      [2_500, tick],
    ]);
    expect(effects).to.deep.equal([
      { type: 'targets.read' },
      { type: 'targets.read' },
    ]);
  });

  it('shares changes with the followers of its data centre, but not its first list', () => {
    const { effects } = reduceAll(readerId, [
      [0, listed(target('t1'), target('t2'))],
      [2_000, listed(target('t1', true), target('t3'))],
      [4_000, listed(target('t1', true), target('t3'))],
    ]);
    expect(effects).to.have.length(1);
    expect(effects[0]).to.deep.include({
      type: 'targets.share',
      update: {
        changed: [target('t1', true), target('t3')],
        removedIds: ['t2'],
      },
    });
  });

  it('applies an update of a leaving target, also when it arrives twice', () => {
    const updated: InputEvent = {
      type: 'targets.updated',
      update: { changed: [target('t1', true)], removedIds: ['t2'] },
    };
    const { state } = reduceAll(followerId, [
      [0, listed(target('t1'), target('t2'))],
      [100, updated],
      [200, updated],
    ]);
    expect([...state.byId.values()]).to.deep.equal([target('t1', true)]);
  });
});
