import { expect } from 'chai';
import type { RosterTarget } from '../targetRoster/index.ts';
import {
  mostFrequentObstacle,
  type Obstacle,
  soonestEndMs,
  targetAvailability,
  targetConditions,
} from './index.ts';
import { RESUME_HOLD_MS } from '../evacuations/index.ts';
import {
  type GatewayEvent,
  gatewayReduce,
  type GatewayState,
  initialGatewayState,
} from '../gatewayReduce/index.ts';

const target: RosterTarget = {
  ...{ id: 't0', service: 's', address: '', dataCentre: 'a' },
  ...{ draining: false, slots: 1, bornMs: 1 },
  ...{ removalDueAtMs: undefined, avoidUntilMs: 0, pausedUntilMs: 0 },
  ...{ unconfirmedUntilMs: 0, failures: 0, slowdown: 1 },
  ...{ idHash: 0, laneRank: 0 },
};

const reduceAll = (events: readonly GatewayEvent[]): GatewayState =>
  events.reduce<GatewayState>(
    (state, event) => gatewayReduce(state, event).state,
    initialGatewayState,
  );

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

  it('counts a target whose removal is due as leaving', () => {
    expect(of({ removalDueAtMs: 101 })).to.equal(undefined);
    expect(of({ removalDueAtMs: 100 })?.obstacle).to.equal('leaving');
  });

  // Guards against a request to a data centre that the operator evacuated, and
  // against one that a process sends right after it was stopped.
  it('forbids targets of evacuated data centres, and all of them after a stop', () => {
    const view = reduceAll([
      { type: 'evacuations.ticked', atMs: 0 },
      {
        type: 'evacuations.reported',
        atMs: 0,
        reports: [
          {
            ...{ dataCentre: 'a', era: 0, revision: 3 },
            ...{ isEvacuated: true, ageMs: 0 },
          },
        ],
        source: 'peer',
      },
    ]);
    const at = (dataCentre: string, nowMs: number) =>
      targetAvailability(
        { ...target, dataCentre },
        nowMs,
        targetConditions(view),
      );
    expect(at('a', 100)).to.deep.equal({
      obstacle: 'evacuated',
      untilMs: Infinity,
    });
    expect(at('b', 100)).to.equal(undefined);
    expect(at('b', 9000)).to.deep.equal({
      obstacle: 'evacuated',
      untilMs: 9000 + RESUME_HOLD_MS,
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
