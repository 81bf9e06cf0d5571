import { expect } from 'chai';
import fc from 'fast-check';
import type { ListedTarget } from '@endivegate/contracts/forwarding';
import {
  initialRoster,
  LAPSED_RETURN_MS,
  reduceRoster,
  type RosterEvent,
  type RosterState,
  usableTargets,
} from './index.ts';

const target: ListedTarget = {
  id: 't1',
  service: 's',
  address: '10.0.0.1:80',
  dataCentre: 'a',
  draining: false,
  slots: 4,
  bornMs: 100,
};

const run = (events: readonly RosterEvent[]): RosterState =>
  events.reduce<RosterState>(
    (state, event) => reduceRoster(state, event).state,
    initialRoster,
  );

const usableIds = (state: RosterState) =>
  usableTargets(state, 's').map((one) => one.id);

const listed = (atMs: number, ...targets: ListedTarget[]): RosterEvent => ({
  type: 'roster.listed',
  atMs,
  targets,
});

describe('targetRoster', () => {
  it('takes a target out of every choice as soon as it is draining', () => {
    const state = run([
      listed(0, target),
      { type: 'roster.put', atMs: 1, target: { ...target, draining: true } },
    ]);
    expect(usableIds(state)).to.deep.equal([]);
  });

  it('never takes a draining target back, whatever comes later', () => {
    const state = run([
      listed(0, target),
      { type: 'roster.leavingHeard', atMs: 1, ids: ['t1'] },
      { type: 'roster.put', atMs: 2, target },
      listed(3, target),
    ]);
    expect(usableIds(state)).to.deep.equal([]);
  });

  it('takes another process under the same id as new', () => {
    const state = run([
      listed(0, target),
      { type: 'roster.leavingHeard', atMs: 1, ids: ['t1'] },
      { type: 'roster.put', atMs: 2, target: { ...target, bornMs: 900 } },
    ]);
    expect(usableIds(state)).to.deep.equal(['t1']);
  });

  it('drops a target that is no longer listed', () => {
    expect(usableIds(run([listed(0, target), listed(1)]))).to.deep.equal([]);
  });

  it('holds what is missing after the store was away, and drops it in time', () => {
    const away: RosterEvent[] = [
      listed(0, target),
      { type: 'roster.storeLost', atMs: 1000 },
      listed(5000),
    ];
    expect(usableIds(run(away))).to.deep.equal(['t1']);
    const late = 5000 + LAPSED_RETURN_MS;
    const kept = run([...away, { type: 'roster.ticked', atMs: late - 1 }]);
    expect(usableIds(kept)).to.deep.equal(['t1']);
    const gone = run([...away, { type: 'roster.ticked', atMs: late }]);
    expect(usableIds(gone)).to.deep.equal([]);
  });

  it('keeps a held target that returns to the list', () => {
    const state = run([
      listed(0, target),
      { type: 'roster.storeLost', atMs: 1000 },
      listed(5000),
      { type: 'roster.put', atMs: 6000, target },
      { type: 'roster.ticked', atMs: 9000 },
    ]);
    expect(usableIds(state)).to.deep.equal(['t1']);
  });

  it('avoids a failing target for longer each time, and not after a success', () => {
    const failed = (atMs: number): RosterEvent => ({
      type: 'roster.failed',
      atMs,
      id: 't1',
      reason: 'reset',
      cause: 'broken' as const,
    });
    const avoid = (events: readonly RosterEvent[]) =>
      run([listed(0, target), ...events]).targets.get('t1')?.avoidUntilMs;
    expect(avoid([failed(0)])).to.equal(400);
    expect(avoid([failed(0), failed(0)])).to.equal(800);
    expect(avoid([...Array<RosterEvent>(9).fill(failed(0))])).to.equal(4000);
    const success: RosterEvent = {
      type: 'roster.succeeded',
      atMs: 1,
      id: 't1',
      ratio: undefined,
    };
    expect(avoid([failed(0), success])).to.equal(0);
  });

  it('avoids a target whose address another process has for the longest time', () => {
    const state = run([
      listed(0, target),
      {
        type: 'roster.failed',
        atMs: 0,
        id: 't1',
        reason: 'misdirected',
        cause: 'replaced',
      },
    ]);
    expect(state.targets.get('t1')?.avoidUntilMs).to.equal(4000);
  });

  it('learns the pace of a slow target within a few streams, and forgets it', () => {
    const seen = (ratio: number): RosterEvent => ({
      type: 'roster.succeeded',
      atMs: 0,
      id: 't1',
      ratio,
    });
    const paceAfter = (...ratios: number[]) =>
      run([listed(0, target), ...ratios.map(seen)]).targets.get('t1')?.pace;
    expect(paceAfter(4, 4, 4)).to.be.above(3);
    expect(paceAfter(0.5)).to.equal(1);
    expect(paceAfter(4, 1, 1, 1, 1, 1, 1, 1, 1)).to.be.below(1.3);
  });

  it('never offers a target after its draining, for any order of events', () => {
    const anyEvent: fc.Arbitrary<RosterEvent> = fc.oneof(
      fc.constant<RosterEvent>(listed(0, target)),
      fc.constant<RosterEvent>(listed(0)),
      fc.constant<RosterEvent>({ type: 'roster.put', atMs: 0, target }),
      fc.constant<RosterEvent>({ type: 'roster.removed', atMs: 0, id: 't1' }),
      fc.constant<RosterEvent>({ type: 'roster.storeLost', atMs: 0 }),
      fc.constant<RosterEvent>({ type: 'roster.ticked', atMs: 10 }),
    );
    fc.assert(
      fc.property(fc.array(anyEvent), fc.array(anyEvent), (before, after) => {
        const state = run([
          ...before,
          {
            type: 'roster.put',
            atMs: 0,
            target: { ...target, draining: true },
          },
          ...after,
        ]);
        return usableIds(state).length === 0;
      }),
      { seed: 1 },
    );
  });
});
