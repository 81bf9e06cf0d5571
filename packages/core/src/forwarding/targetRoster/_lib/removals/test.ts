import { expect } from 'chai';
import fc from 'fast-check';
import type { ListedTarget } from '@endivegate/contracts/forwarding';
import {
  initialRoster,
  LAPSED_ENTRY_GRACE_MS,
  reduceRoster,
  removalReports,
  type RosterEvent,
  type RosterState,
} from '../../index.ts';
import { testTarget } from '../testTarget.ts';

const target: ListedTarget = { ...testTarget, revision: 5 };

const removal = { id: 't1', bornMs: 100, era: 1, revision: 8 };

const SOUND_MS = LAPSED_ENTRY_GRACE_MS;

const listed = (
  atMs: number,
  revision: number,
  targets: readonly ListedTarget[],
  era = 1,
): readonly RosterEvent[] => [
  { type: 'roster.followed', atMs },
  { type: 'roster.listed', atMs, targets, at: { era, revision } },
];

const removed = (atMs: number): RosterEvent => ({
  type: 'roster.removed',
  atMs,
  id: 't1',
  at: { era: 1, revision: 8 },
});

const reported = (
  atMs: number,
  more: Partial<typeof removal> = {},
  peer = 'e2',
): RosterEvent => ({
  type: 'roster.removalsReported',
  atMs,
  peer,
  removals: [{ ...removal, ...more }],
});

const lost: RosterEvent = { type: 'roster.storeLost', atMs: 4000 };

const run = (events: readonly RosterEvent[]): RosterState =>
  events.reduce<RosterState>(
    (state, event) => reduceRoster(state, event).state,
    initialRoster,
  );

const reportsOf = (state: RosterState, nowMs: number, name = 'e1') =>
  removalReports(state, { name, nowMs }).map(
    ({ id, bornMs, era, revision }) => ({ id, bornMs, era, revision }),
  );

const hasTarget = (events: readonly RosterEvent[]) =>
  run(events).targets.has('t1');

describe('removals of targets', () => {
  it('are reported by an entry that has followed the store for long enough', () => {
    const start = listed(0, 5, [target]);
    const early = run([...start, removed(SOUND_MS - 1)]);
    expect(reportsOf(early, SOUND_MS)).to.deep.equal([]);
    const sound = run([...start, removed(SOUND_MS)]);
    expect(reportsOf(sound, SOUND_MS)).to.deep.equal([removal]);
    expect(reportsOf(sound, SOUND_MS + 3500)).to.deep.equal([]);
  });

  // Guards against a report of an entry that was away itself, which proves nothing.
  it('are not reported right after a call to the store has failed', () => {
    const failed: RosterEvent = { type: 'roster.interrupted', atMs: 4000 };
    const start = [...listed(0, 5, [target]), failed];
    const during = run([...start, removed(4100)]);
    expect(reportsOf(during, 4100)).to.deep.equal([]);
    const after = run([...start, ...listed(4100, 6, [target]), removed(4200)]);
    expect(reportsOf(after, 4200)).to.deep.equal([]);
    expect(after.targets.size).to.equal(0);
  });

  it('are reported at the end of a hold, when a live target would be listed again', () => {
    const held = run([...listed(0, 5, [target]), lost, ...listed(5000, 8, [])]);
    expect(reportsOf(held, 5100)).to.deep.equal([]);
    const atMs = 5000 + SOUND_MS;
    const { state, effects } = reduceRoster(held, {
      type: 'roster.ticked',
      atMs,
    });
    expect(reportsOf(state, atMs)).to.deep.equal([removal]);
    expect(effects.map(({ type }) => type)).to.deep.equal([
      'roster.changed',
      'roster.removalReportDue',
    ]);
  });

  it('are repeated by the first entries that saw them', () => {
    const state = run([
      ...listed(0, 5, [target]),
      removed(SOUND_MS),
      reported(SOUND_MS, {}, 'e2'),
      reported(SOUND_MS, {}, 'e2'),
      reported(SOUND_MS, {}, 'e3'),
    ]);
    const repeats = (name: string) => reportsOf(state, SOUND_MS, name).length;
    expect(['e1', 'e4'].map(repeats)).to.deep.equal([1, 0]);
  });

  // Guards against an entry that takes its own cut for an outage of the store.
  it('that a peer reports are not held, whether heard of before or after the list', () => {
    const start = [...listed(0, 5, [target]), lost];
    const missing = listed(5000, 9, []);
    expect(hasTarget([...start, ...missing])).to.equal(true);
    expect(hasTarget([...start, ...missing, reported(5001)])).to.equal(false);
    expect(hasTarget([...start, reported(4500)])).to.equal(false);
    const lateList = listed(4600, 6, [target]);
    expect(
      hasTarget([...start, reported(4500), ...lateList, removed(5000)]),
    ).to.equal(false);
  });

  it('by another process under the same id, or before the entry was written again, are ignored', () => {
    const start = listed(0, 5, [target]);
    expect(hasTarget([...start, reported(1, { bornMs: 99 })])).to.equal(true);
    const again: RosterEvent = {
      type: 'roster.put',
      atMs: 1,
      target: { ...target, revision: 9 },
    };
    expect(hasTarget([...start, again, reported(2)])).to.equal(true);
    expect(hasTarget([...start, reported(1), again])).to.equal(true);
    expect(hasTarget([...start, reported(1), again, reported(2)])).to.equal(
      true,
    );
  });

  // Guards against a delayed report that drops a live target for good.
  it('of an earlier era, or where the revision is unknown, drop no listed target', () => {
    const unknown = listed(0, 5, [{ ...target, revision: undefined }]);
    expect(hasTarget([...unknown, reported(1)])).to.equal(true);
    expect(
      hasTarget([...unknown, lost, ...listed(5000, 9, []), reported(5001)]),
    ).to.equal(false);
    const restored = [...listed(0, 5, [target]), ...listed(1, 5, [target], 2)];
    expect(hasTarget([...restored, reported(2)])).to.equal(true);
  });

  // Guards against a delayed report that hides a later removal from a late list.
  it('keep the newest position, whatever is reported later', () => {
    const start = listed(0, 5, [target]);
    const late = listed(3, 21, [{ ...target, revision: 12 }]);
    const reports = [reported(1, { revision: 20 }), reported(2, {}, 'e3')];
    expect(hasTarget([...start, ...reports, ...late])).to.equal(false);
    const restored = reported(2, { era: 2, revision: 1 }, 'e3');
    expect(
      [...run([...start, ...reports, restored]).removals.values()].map(
        ({ era, revision }) => ({ era, revision }),
      ),
    ).to.deep.equal([{ era: 2, revision: 1 }]);
  });

  it('give the same roster in any order of reports, lists and changes', () => {
    const start = [...listed(0, 5, [target]), lost];
    const events: readonly (readonly RosterEvent[])[] = [
      [reported(5000)],
      [reported(5000, { revision: 9 }, 'e3')],
      listed(5000, 6, [target]),
      [removed(5000)],
    ];
    fc.assert(
      fc.property(
        fc.shuffledSubarray([...events], { minLength: events.length }),
        (shuffled) => !hasTarget([...start, ...shuffled.flat()]),
      ),
      { seed: 1 },
    );
  });
});
