import { expect } from 'chai';
import { type CapacityForecast, expectCapacityAtMs } from './index.ts';

const forecast: CapacityForecast = {
  nowMs: 1000,
  freeSlots: 1,
  freeMemoryTokens: 50,
  ends: [
    { endsAtMs: 1200, memoryTokens: 100 },
    { endsAtMs: 1500, memoryTokens: 50 },
  ],
  totalSlots: 4,
  totalMemoryTokens: 400,
  holdMs: 2000,
  targets: 2,
  prefillBacklogMs: 0,
};

describe('expectCapacityAtMs', () => {
  const at = (requests: number, memoryTokens: number) =>
    expectCapacityAtMs(forecast, { requests, memoryTokens });

  it('is now while there is room, and else the end that makes it', () => {
    expect([at(1, 50), at(1, 60), at(2, 10), at(1, 200)]).to.deep.equal([
      1000, 1200, 1200, 1500,
    ]);
  });

  it('goes on at the mean rate after the last known end', () => {
    expect(at(1, 300)).to.equal(1500 + (100 / 400) * 2000);
  });

  it('is never without targets', () => {
    const none = { ...forecast, totalSlots: 0 };
    const demand = { requests: 1, memoryTokens: 1 };
    expect(expectCapacityAtMs(none, demand)).to.equal(Infinity);
  });
});
