import { expect } from 'chai';
import { callerPatienceMs } from './index.ts';

describe('callerPatienceMs', () => {
  it('is the longest of two seconds, four aims and eight gap targets', () => {
    const patience = [
      { targetLatencyMs: 300, gapTargetMs: 200 },
      { targetLatencyMs: 3000, gapTargetMs: 1000 },
      { targetLatencyMs: 300, gapTargetMs: 600 },
    ].map(callerPatienceMs);
    expect(patience).to.deep.equal([2000, 12_000, 4800]);
  });
});
