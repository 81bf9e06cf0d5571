import { expect } from 'chai';
import type { RosterTarget } from '../targetRoster/index.ts';
import {
  mostFrequentObstacle,
  type Obstacle,
  soonestEndMs,
  targetAvailability,
  targetConditions,
} from './index.ts';
import { initialGatewayState } from '../gatewayReduce/index.ts';

const target: RosterTarget = {
  ...{ id: 't0', service: 's', address: '', dataCentre: 'a' },
  ...{ draining: false, slots: 1, bornMs: 1 },
  ...{ removalDueAtMs: undefined, avoidUntilMs: 0, pausedUntilMs: 0 },
  ...{ unconfirmedUntilMs: 0, failures: 0, slowdown: 1 },
  ...{ idHash: 0, laneRank: 0 },
};

const of = (changes: Partial<RosterTarget>, nowMs = 100) =>
  targetAvailability(
    { ...target, ...changes },
    nowMs,
    targetConditions(initialGatewayState),
  );

describe('targetAvailability', () => {
  it('names the obstacle that lasts longest, and its end', () => {
    expect(of({})).to.equal(undefined);
    expect(of({ pausedUntilMs: 100 })).to.equal(undefined);
    expect(of({ pausedUntilMs: 300, unconfirmedUntilMs: 200 })).to.deep.equal({
      obstacle: 'paused',
      untilMs: 300,
    });
    expect(of({ pausedUntilMs: 200, unconfirmedUntilMs: 300 })).to.deep.equal({
      obstacle: 'unconfirmed',
      untilMs: 300,
    });
    expect(of({ draining: true, pausedUntilMs: 300 })).to.deep.equal({
      obstacle: 'leaving',
      untilMs: Infinity,
    });
  });

  it('asks only the conditions that it is given', () => {
    expect(targetAvailability({ ...target, draining: true }, 0, [])).to.equal(
      undefined,
    );
  });
});

const obstacle = (name: Obstacle['obstacle'], untilMs: number): Obstacle => ({
  obstacle: name,
  untilMs,
});

describe('soonestEndMs', () => {
  it('adds the rates of limited targets', () => {
    const limits = [obstacle('limited', 500), obstacle('limited', 500)];
    expect(soonestEndMs(limits, 0)).to.equal(250);
    expect(soonestEndMs([...limits, obstacle('paused', 200)], 0)).to.equal(200);
  });

  it('is unknown without an obstacle that ends', () => {
    expect(soonestEndMs([], 0)).to.equal(Infinity);
    expect(soonestEndMs([obstacle('leaving', Infinity)], 0)).to.equal(Infinity);
  });
});

describe('mostFrequentObstacle', () => {
  it('counts targets by obstacle', () => {
    expect(mostFrequentObstacle([])).to.equal(undefined);
    expect(
      mostFrequentObstacle([
        obstacle('paused', 1),
        obstacle('limited', 9),
        obstacle('limited', 9),
      ]),
    ).to.equal('limited');
  });
});
