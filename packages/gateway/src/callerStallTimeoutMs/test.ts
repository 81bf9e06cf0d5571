import { expect } from 'chai';
import { callerStallTimeoutMs } from './index.ts';

describe('callerStallTimeoutMs', () => {
  it('is the longest of two seconds, four latency targets and eight gap targets', () => {
    const timeouts = [
      { targetLatencyMs: 300, gapTargetMs: 200 },
      { targetLatencyMs: 3000, gapTargetMs: 1000 },
      { targetLatencyMs: 300, gapTargetMs: 600 },
    ].map(callerStallTimeoutMs);
    expect(timeouts).to.deep.equal([2000, 12_000, 4800]);
  });
});
