import { expect } from 'chai';
import fc from 'fast-check';
import type { ListedTarget } from '@endivegate/contracts/forwarding';
import {
  initialRoster,
  LAPSED_ENTRY_GRACE_MS,
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
  it('stops offering a target as soon as it is draining', () => {
    const state = run([
      listed(0, target),
      { type: 'roster.put', atMs: 1, target: { ...target, draining: true } },
    ]);
    expect(usableIds(state)).to.deep.equal([]);
  });

  it('never offers a draining target again, even when it is listed as ready', () => {
    const state = run([
      listed(0, target),
      { type: 'roster.leavingHeard', atMs: 1, ids: ['t1'] },
      { type: 'roster.put', atMs: 2, target },
      listed(3, target),
    ]);
    expect(usableIds(state)).to.deep.equal([]);
  });

  it('treats another process under the same id as a new target', () => {
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

  it('keeps a target missing after a store outage until the grace period ends', () => {
    const afterOutage: RosterEvent[] = [
      listed(0, target),
      { type: 'roster.storeLost', atMs: 1000 },
      listed(5000),
    ];
    expect(usableIds(run(afterOutage))).to.deep.equal(['t1']);
    const late = 5000 + LAPSED_ENTRY_GRACE_MS;
    const kept = run([
      ...afterOutage,
      { type: 'roster.ticked', atMs: late - 1 },
    ]);
    expect(usableIds(kept)).to.deep.equal(['t1']);
    const gone = run([...afterOutage, { type: 'roster.ticked', atMs: late }]);
    expect(usableIds(gone)).to.deep.equal([]);
  });

  it('keeps a held target that is listed again', () => {
    const state = run([
      listed(0, target),
      { type: 'roster.storeLost', atMs: 1000 },
      listed(5000),
      { type: 'roster.put', atMs: 6000, target },
      { type: 'roster.ticked', atMs: 9000 },
    ]);
    expect(usableIds(state)).to.deep.equal(['t1']);
  });

  it('avoids a failing target for longer each time, until it succeeds', () => {
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

  it('avoids a target whose address was taken over for the maximum time', () => {
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

  it('detects a slow target within a few streams, and its recovery', () => {
    const succeeded = (ratio: number): RosterEvent => ({
      type: 'roster.succeeded',
      atMs: 0,
      id: 't1',
      ratio,
    });
    const slowdownAfter = (...ratios: number[]) =>
      run([listed(0, target), ...ratios.map(succeeded)]).targets.get('t1')
        ?.slowdown;
    expect(slowdownAfter(4, 4, 4)).to.be.above(3);
    expect(slowdownAfter(0.5)).to.equal(1);
    expect(slowdownAfter(4, 1, 1, 1, 1, 1, 1, 1, 1)).to.be.below(1.3);
  });

  it('never offers a target after it was draining, for any order of events', () => {
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
