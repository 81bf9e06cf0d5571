import { expect } from 'chai';
import fc from 'fast-check';
import { retryDelay } from './index.ts';

describe('retryDelay', () => {
  it('doubles the upper bound up to the maximum', () => {
    const failureCounts = [1, 2, 3, 4, 5, 6, 7, 8, 9, 40];
    expect(
      failureCounts.map((failures) => retryDelay(failures, 0.999_999)),
    ).toMatchSnapshot();
  });

  it('spreads the retries of 370 entries up to the upper bound', () => {
    const delays = Array.from({ length: 370 }, (_, index) =>
      retryDelay(20, index / 370, { maxMs: 10_000 }),
    );
    const inFirstSecond = delays.filter((delayMs) => delayMs < 1_000).length;
    expect(inFirstSecond).to.be.at.most(38);
  });

  it('stays within its bounds', () => {
    const random = fc.double({ min: 0, max: 0.999_999, noNaN: true });
    fc.assert(
      fc.property(fc.nat(1_000), random, (failures, value) => {
        const delayMs = retryDelay(failures, value, { maxMs: 5_000 });
        return delayMs >= 0 && delayMs <= 5_000;
      }),
      { seed: 1, numRuns: 200 },
    );
  });
});
