import { expect } from 'chai';
import fc from 'fast-check';
import { compareTimestamps } from '../compareTimestamps/index.ts';
import { ZERO_TIMESTAMP, type HybridTimestamp } from '../hybridClock/index.ts';
import { tickHybridClock } from '../tickHybridClock/index.ts';
import { mergeHybridClock } from './index.ts';

describe('mergeHybridClock', () => {
  it('orders a message after its cause, whatever the wall clocks say', () => {
    const action = fc.record({
      from: fc.integer({ min: 0, max: 2 }),
      to: fc.integer({ min: 0, max: 2 }),
      wallMs: fc.integer({ min: 0, max: 50_000 }),
    });
    fc.assert(
      fc.property(fc.array(action, { maxLength: 40 }), (actions) => {
        const clocks: HybridTimestamp[] = [0, 1, 2].map(() => ZERO_TIMESTAMP);
        actions.forEach(({ from, to, wallMs }) => {
          const sent = tickHybridClock(clocks[from]!, wallMs);
          clocks[from] = sent;
          const before = clocks[to]!;
          const received = mergeHybridClock(before, sent, wallMs);
          expect(compareTimestamps(received, sent)).to.be.greaterThan(0);
          expect(compareTimestamps(received, before)).to.be.greaterThan(0);
          clocks[to] = received;
        });
      }),
      { seed: 1, numRuns: 200 },
    );
  });

  it('does not follow a clock that leads by more than a minute', () => {
    const remote = { wallMs: 100_000, counter: 0 };
    const merged = mergeHybridClock({ wallMs: 5, counter: 0 }, remote, 10);
    expect(merged).to.deep.equal({ wallMs: 10, counter: 0 });
  });
});
