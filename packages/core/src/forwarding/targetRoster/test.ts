import { expect } from 'chai';
import fc from 'fast-check';
import type { ListedTarget } from '@endivegate/contracts/forwarding';
import {
  availableTargets,
  soonestAvailableAtMs,
} from '../availableTargets/index.ts';
import { initialGatewayState } from '../gatewayReduce/index.ts';
import {
  heldRemovals,
  initialRoster,
  LAPSED_ENTRY_GRACE_MS,
  REMNANT_LIFETIME_MS,
  reduceRoster,
  type RosterEvent,
  type RosterState,
} from './index.ts';
import { testTarget } from './_lib/testTarget.ts';

const target = testTarget;

const run = (events: readonly RosterEvent[]): RosterState =>
  events.reduce<RosterState>(
    (state, event) => reduceRoster(state, event).state,
    initialRoster,
  );

const viewOf = (roster: RosterState) => ({ ...initialGatewayState, roster });

const usableIds = (state: RosterState, atMs = 0) =>
  availableTargets(viewOf(state), 's', atMs).map((one) => one.id);

const soonestUsableAtMs = (state: RosterState, nowMs: number) =>
  soonestAvailableAtMs(viewOf(state), 's', nowMs);

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
      {
        type: 'roster.leavingHeard',
        atMs: 1,
        processes: [{ id: 't1', bornMs: 100 }],
      },
      { type: 'roster.put', atMs: 2, target },
      listed(3, target),
    ]);
    expect(usableIds(state)).to.deep.equal([]);
  });

  it('treats another process under the same id as a new target', () => {
    const state = run([
      listed(0, target),
      {
        type: 'roster.leavingHeard',
        atMs: 1,
        processes: [{ id: 't1', bornMs: 100 }],
      },
      { type: 'roster.put', atMs: 2, target: { ...target, bornMs: 900 } },
    ]);
    expect(usableIds(state)).to.deep.equal(['t1']);
  });

  it('applies the leaving of a process to that process only', () => {
    const reborn = { ...target, bornMs: 900 };
    const state = run([
      listed(0, reborn),
      { type: 'roster.leavingAnnounced', atMs: 1, id: 't1', bornMs: 100 },
    ]);
    expect(usableIds(state)).to.deep.equal(['t1']);
    const older = run([
      listed(0),
      {
        type: 'roster.leavingHeard',
        atMs: 1,
        processes: [{ id: 't1', bornMs: 100 }],
      },
      listed(2, target),
    ]);
    expect(usableIds(older)).to.deep.equal([]);
  });

  it('offers a target that announced its leaving no more while it is listed', () => {
    const state = run([
      listed(0, target),
      { type: 'roster.leavingAnnounced', atMs: 1, id: 't1', bornMs: 100 },
      { type: 'roster.ticked', atMs: 90_000 },
      listed(90_001, target),
    ]);
    expect(usableIds(state, 90_002)).to.deep.equal([]);
  });

  it('observes a pause that a target asked for, until its end', () => {
    const paused: RosterEvent = {
      type: 'roster.pauseRequested',
      atMs: 100,
      id: 't1',
      bornMs: 100,
      pauseMs: 2500,
    };
    const state = run([
      listed(0, target),
      paused,
      { type: 'roster.succeeded', atMs: 200, id: 't1', ratio: undefined },
      { ...paused, atMs: 300, pauseMs: 10 },
      { type: 'roster.put', atMs: 400, target },
    ]);
    expect(usableIds(state, 2599)).to.deep.equal([]);
    expect(soonestUsableAtMs(state, 400)).to.equal(2600);
    expect(usableIds(state, 2600)).to.deep.equal(['t1']);
  });

  it('ends a pause with the process that asked for it', () => {
    const paused: RosterEvent = {
      type: 'roster.pauseRequested',
      atMs: 1,
      id: 't1',
      bornMs: 100,
      pauseMs: 9000,
    };
    const reborn = { ...target, bornMs: 900 };
    const state = run([listed(0, target), paused, listed(2, reborn), paused]);
    expect(usableIds(state, 3)).to.deep.equal(['t1']);
  });

  it('limits a pause beyond the longest one', () => {
    const { state, effects } = reduceRoster(run([listed(0, target)]), {
      type: 'roster.pauseRequested',
      atMs: 0,
      id: 't1',
      bornMs: 100,
      pauseMs: 1e12,
    });
    expect(soonestUsableAtMs(state, 400)).to.equal(600_000);
    expect(effects).to.deep.equal([
      { type: 'roster.paused', id: 't1', pauseMs: 600_000, requestedMs: 1e12 },
    ]);
  });

  it('keeps targets that an older copy of the store lacks until live ones are back', () => {
    const restored: RosterEvent[] = [
      listed(0, target),
      { type: 'roster.storeRestored', atMs: 1000 },
      listed(1000),
    ];
    expect(usableIds(run(restored), 1001)).to.deep.equal(['t1']);
    const late = 1000 + LAPSED_ENTRY_GRACE_MS;
    const gone = run([...restored, { type: 'roster.ticked', atMs: late }]);
    expect(usableIds(gone, late)).to.deep.equal([]);
  });

  it('holds back a gone target that an older copy of the store lists again', () => {
    const restored: RosterEvent[] = [
      listed(0, target),
      listed(500),
      { type: 'roster.storeRestored', atMs: 1000 },
      listed(1000, target),
      listed(1500, target),
    ];
    expect(usableIds(run(restored), 1600)).to.deep.equal([]);
    const written = run([
      ...restored,
      { type: 'roster.put', atMs: 1700, target },
    ]);
    expect(usableIds(written, 1701)).to.deep.equal(['t1']);
    const outlived = 1000 + REMNANT_LIFETIME_MS;
    expect(usableIds(run(restored), outlived)).to.deep.equal(['t1']);
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

  it('tells how many removals are held, and for how long one was', () => {
    const held = run([
      listed(0, target, { ...target, id: 't2' }),
      { type: 'roster.storeLost', atMs: 1000 },
      listed(5000, { ...target, id: 't2' }),
    ]);
    expect(heldRemovals(held, 5600)).to.deep.equal({
      targets: 1,
      oldestMs: 600,
    });
    const late = 5000 + LAPSED_ENTRY_GRACE_MS;
    const { effects } = reduceRoster(held, {
      type: 'roster.ticked',
      atMs: late,
    });
    expect(effects).to.deep.equal([
      {
        type: 'roster.changed',
        id: 't1',
        change: 'removed',
        reason: 'still missing after the store outage',
        heldMs: LAPSED_ENTRY_GRACE_MS,
      },
    ]);
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
      fc.constant<RosterEvent>({ type: 'roster.storeRestored', atMs: 0 }),
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
