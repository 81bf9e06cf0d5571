import { expect } from 'chai';
import fc from 'fast-check';
import { shutdownBudget } from './index.ts';

describe('shutdownBudget', () => {
  it('divides grace periods of several lengths', () => {
    expect(
      [3000, 8000, 30_000].map((graceMs) => shutdownBudget({ graceMs })),
    ).toMatchSnapshot();
  });

  // Guards against a process that is killed before it has answered open requests.
  it('leaves time between the end of requests, the exit and the kill', () => {
    fc.assert(
      fc.property(fc.integer({ min: 1000, max: 600_000 }), (graceMs) => {
        const { queueMs, endMs, exitMs } = shutdownBudget({ graceMs });
        const times = [queueMs, endMs, exitMs, graceMs];
        expect(times).to.deep.equal([...times].sort((a, b) => a - b));
        expect(new Set(times)).to.have.property('size', times.length);
      }),
      { seed: 56 },
    );
  });
});
