import { expect } from 'chai';
import type { ListedTarget } from '@endivegate/contracts/forwarding';
import { initialRoster, reduceRoster } from '../targetRoster/index.ts';
import {
  initialReach,
  pickProbedTargets,
  reduceReach,
  type ReachEvent,
} from './index.ts';

const fail = (id: string, atMs = 0): ReachEvent => ({
  type: 'targetReach.failed',
  atMs,
  id,
});

const probe = (connected: number, probed = 3): ReachEvent => ({
  type: 'targetReach.probed',
  probed,
  connected,
});

/** Applies events; returns the phase after each. */
function phasesOf(events: readonly ReachEvent[]): readonly string[] {
  let state = initialReach;
  return events.map((event) => {
    state = reduceReach(state, event).state;
    return state.phase;
  });
}

describe('reduceReach', () => {
  it('is cut off when targets fail and no probe connects, until two rounds do', () => {
    const events = [fail('t0'), fail('t1'), probe(0), probe(1), probe(0)];
    expect(phasesOf([...events, probe(1), probe(2)])).to.deep.equal([
      'reaching',
      'probing',
      ...['cutOff', 'cutOff', 'cutOff', 'cutOff'],
      'reaching',
    ]);
  });

  it('is not cut off when one target fails often, or one probe connects', () => {
    const failures = Array.from({ length: 9 }, () => fail('t0'));
    expect(new Set(phasesOf(failures))).to.deep.equal(new Set(['reaching']));
    expect(phasesOf([fail('t0'), fail('t1'), probe(1)])).to.deep.equal([
      'reaching',
      'probing',
      'reaching',
    ]);
  });

  it('probes when targets are silent, once at a time', () => {
    const silent: ReachEvent = { type: 'targetReach.silent' };
    const { state, effects } = reduceReach(initialReach, silent);
    expect(effects).to.deep.equal([{ type: 'targetReach.probeDue' }]);
    expect(reduceReach(state, silent).effects).to.deep.equal([]);
    expect(phasesOf([silent, probe(1)]).at(-1)).to.equal('reaching');
    expect(phasesOf([silent, probe(0)]).at(-1)).to.equal('cutOff');
  });

  it('forgets failures after a new connection, or after a while', () => {
    const connected: ReachEvent = { type: 'targetReach.connected' };
    expect(phasesOf([fail('t0'), connected, fail('t1')]).at(-1)).to.equal(
      'reaching',
    );
    expect(phasesOf([fail('t0', 0), fail('t1', 4000)]).at(-1)).to.equal(
      'reaching',
    );
  });
});

describe('pickProbedTargets', () => {
  it('picks sound targets of several data centres and services', () => {
    const target = (id: string, dataCentre: string, service: string) => ({
      ...{ id, dataCentre, service, address: '', draining: false },
      ...{ slots: 1, bornMs: 1 },
    });
    const targets: readonly ListedTarget[] = [
      target('a1', 'a', 'llm'),
      target('a2', 'a', 'llm'),
      target('a3', 'a', 'llm'),
      target('b1', 'b', 'llm'),
      target('c1', 'c', 'ledger'),
      { ...target('c2', 'c', 'ledger'), draining: true },
    ];
    const { state } = reduceRoster(initialRoster, {
      type: 'roster.listed',
      atMs: 0,
      targets,
    });
    const picked = pickProbedTargets(state, new Map([['a1', 0]]), () => 0.5);
    expect(picked.map(({ id }) => id).toSorted()).to.deep.equal([
      'a2',
      'b1',
      'c1',
    ]);
  });
});
