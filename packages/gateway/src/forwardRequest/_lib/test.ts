import { expect } from 'chai';
import { timeLeft } from './timeLeft.ts';

describe('timeLeft', () => {
  const route = { targetLatencyMs: 300, gapTargetMs: 250 };
  const times = {
    arrivedAtMs: 1000,
    lastEventAtMs: undefined,
    deadlineAtMs: 11_000,
    nowMs: 1200,
  };

  it('counts from the arrival before the first event', () => {
    expect(timeLeft(route, times)).to.deep.equal({
      latencyBudgetMs: 100,
      patienceMs: 1800,
    });
  });

  it('leaves patience to a stream that is resumed late', () => {
    const late = { ...times, lastEventAtMs: 5000, nowMs: 6000 };
    expect(timeLeft(route, late)).to.deep.equal({
      latencyBudgetMs: 0,
      patienceMs: 1000,
    });
  });

  it('never exceeds the deadline', () => {
    const last = { ...times, lastEventAtMs: 10_500, nowMs: 10_600 };
    expect(timeLeft(route, last).patienceMs).to.equal(400);
  });
});
