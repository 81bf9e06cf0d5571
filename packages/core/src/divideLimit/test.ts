import { expect } from 'chai';
import fc from 'fast-check';
import { divideLimit } from './index.ts';

describe('divideLimit', () => {
  it('gives small wants whole and shares the rest', () => {
    const wants = new Map([
      ['a', 1],
      ['b', 20],
      ['c', 30],
    ]);
    expect([...divideLimit(11, wants)]).toMatchSnapshot();
  });

  it('never gives more than there is or than is wanted', () => {
    fc.assert(
      fc.property(
        fc.integer({ min: 0, max: 1_000 }),
        fc.array(fc.integer({ min: 0, max: 500 }), { maxLength: 8 }),
        (amount, list) => {
          const wants = new Map(list.map((want, n) => [`h${n}`, want]));
          const given = [...divideLimit(amount, wants)];
          const total = given.reduce((sum, [, one]) => sum + one, 0);
          const wanted = list.reduce((sum, one) => sum + one, 0);
          expect(total).to.be.closeTo(Math.min(amount, wanted), 1e-6);
          given.forEach(([id, one]) => {
            expect(one).to.be.at.most(wants.get(id) ?? 0);
          });
        },
      ),
      { seed: 6, numRuns: 200 },
    );
  });
});
