import { expect } from 'chai';
import fc from 'fast-check';
import { divideLimit } from './index.ts';

describe('divideLimit', () => {
  it('meets small demands in full and divides the rest equally', () => {
    const demands = new Map([
      ['a', 1],
      ['b', 20],
      ['c', 30],
    ]);
    expect([...divideLimit(11, demands)]).toMatchSnapshot();
  });

  it('never exceeds the amount or the demand of a claimant', () => {
    fc.assert(
      fc.property(
        fc.integer({ min: 0, max: 1_000 }),
        fc.array(fc.integer({ min: 0, max: 500 }), { maxLength: 8 }),
        (amount, list) => {
          const demands = new Map(list.map((want, n) => [`h${n}`, want]));
          const shares = [...divideLimit(amount, demands)];
          const total = shares.reduce((sum, [, one]) => sum + one, 0);
          const wanted = list.reduce((sum, one) => sum + one, 0);
          expect(total).to.be.closeTo(Math.min(amount, wanted), 1e-6);
          shares.forEach(([id, one]) => {
            expect(one).to.be.at.most(demands.get(id) ?? 0);
          });
        },
      ),
      { seed: 6, numRuns: 200 },
    );
  });
});
