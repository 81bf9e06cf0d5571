import { expect } from 'chai';
import fc from 'fast-check';
import {
  DEFAULT_WORK,
  divideLanes,
  orderEngines,
  planLanes,
  type LanePlan,
} from './index.ts';

const ids = (count: number) =>
  Array.from({ length: count }, (_, n) => `engine-${n}`);

const share = fc.double({ min: 0, max: 1, noNaN: true });
const work = fc.record({
  short: share,
  medium: share,
  long: share,
  huge: share,
});

describe('planLanes', () => {
  it('sizes lanes by the shares of work', () => {
    expect(planLanes(25, DEFAULT_WORK)).toMatchSnapshot();
    expect(planLanes(3, DEFAULT_WORK)).toMatchSnapshot();
  });

  it('resizes a lane by at most one engine at a time, and converges', () => {
    fc.assert(
      fc.property(fc.integer({ min: 4, max: 60 }), work, (count, shares) => {
        const start: LanePlan = { shortEngines: 1, longEngines: 1 };
        const plans = Array.from({ length: 130 }).reduce<readonly LanePlan[]>(
          (all) => [
            ...all,
            planLanes(count, shares, { previous: all.at(-1)! }),
          ],
          [start],
        );
        plans.slice(1).forEach((plan, n) => {
          const moved = Math.abs(plan.longEngines - plans[n]!.longEngines);
          expect(moved).to.be.at.most(1);
        });
        expect(plans.at(-1)).to.deep.equal(plans.at(-2));
      }),
      { seed: 3, numRuns: 100 },
    );
  });

  it('puts every engine into one lane, regardless of the input order', () => {
    fc.assert(
      fc.property(fc.integer({ min: 1, max: 40 }), work, (count, shares) => {
        const plan = planLanes(count, shares);
        const lanes = divideLanes(orderEngines('m', ids(count)), plan);
        const all = [...lanes.short, ...lanes.middle, ...lanes.long];
        expect(all.toSorted()).to.deep.equal(ids(count).toSorted());
        const again = divideLanes(
          orderEngines('m', ids(count).toReversed()),
          plan,
        );
        expect(again).to.deep.equal(lanes);
      }),
      { seed: 4, numRuns: 100 },
    );
  });
});
