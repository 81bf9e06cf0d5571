import { expect } from 'chai';
import fc from 'fast-check';
import { compareTimestamps } from '../compareTimestamps/index.ts';
import { ZERO_TIMESTAMP, type HybridTimestamp } from '../hybridClock/index.ts';
import { tickHybridClock } from '../tickHybridClock/index.ts';
import { mergeHybridClock } from './index.ts';

describe('mergeHybridClock', () => {
  it('orders the receipt of a message after its sending, regardless of wall clocks', () => {
    const message = fc.record({
      from: fc.integer({ min: 0, max: 2 }),
      to: fc.integer({ min: 0, max: 2 }),
      wallMs: fc.integer({ min: 0, max: 50_000 }),
    });
    fc.assert(
      fc.property(fc.array(message, { maxLength: 40 }), (messages) => {
        const clocks: HybridTimestamp[] = [0, 1, 2].map(() => ZERO_TIMESTAMP);
        messages.forEach(({ from, to, wallMs }) => {
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

  it('ignores a timestamp more than a minute ahead of the wall clock', () => {
    const remote = { wallMs: 100_000, counter: 0 };
    const merged = mergeHybridClock({ wallMs: 5, counter: 0 }, remote, 10);
    expect(merged).to.deep.equal({ wallMs: 10, counter: 0 });
  });
});
