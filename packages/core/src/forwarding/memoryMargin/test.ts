import { expect } from 'chai';
import fc from 'fast-check';
import { initialMemoryMargin, reduceMemoryMargin } from './index.ts';

const applyAll = (rejections: readonly boolean[]) =>
  rejections.reduce(
    (state, isRejected) => reduceMemoryMargin(state, isRejected),
    initialMemoryMargin,
  );

describe('reduceMemoryMargin', () => {
  it('widens with rejections and narrows without them, within 2% and 15%', () => {
    const count = 2000;
    const all = (isRejected: boolean) =>
      applyAll(Array.from({ length: count }, () => isRejected)).share;
    expect([all(true), all(false)]).to.deep.equal([0.15, 0.02]);
  });

  it('stays where one arrival in a hundred is rejected', () => {
    const arrivals = Array.from(
      { length: 3000 },
      (_, index) => index % 100 === 99,
    );
    expect(applyAll(arrivals).share).to.be.closeTo(0.08, 0.001);
  });

  it('never leaves its limits', () => {
    fc.assert(
      fc.property(fc.array(fc.boolean(), { maxLength: 300 }), (rejections) => {
        expect(applyAll(rejections).share).to.be.within(0.02, 0.15);
      }),
      { seed: 1 },
    );
  });
});
