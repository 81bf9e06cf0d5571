import { expect } from 'chai';
import type { EngineCost } from '@endivegate/contracts/forwarding';
import { estimateLongestAnswerMs } from './index.ts';

const cost: EngineCost = {
  slots: 8,
  memoryTokens: 300_000,
  stepsPerPass: 10,
  stepMs: 1,
  stepMsPerWriter: 0.1,
  stepMsPerContextK: 0.01,
  readTokensPerMs: 100,
  readMsPerMillionPairs: 0.1,
  helperStepMs: 0,
};

const query = {
  firstEventMs: 200,
  promptTokens: 9000,
  maxOutputTokens: 1000,
  decodingRequests: 4,
  contextTokens: 40_000,
  slowdown: 1,
};

describe('estimateLongestAnswerMs', () => {
  it('adds the passes of the longest output, with the load of the prompt itself', () => {
    // 100 passes of 10 steps of 1 + 5 * 0.1 + 50 * 0.01 ms.
    expect(estimateLongestAnswerMs(cost, query)).to.be.closeTo(2200, 1e-6);
  });

  it('takes the observed speed of the engine into account', () => {
    const slow = { ...query, slowdown: 2 };
    expect(estimateLongestAnswerMs(cost, slow)).to.be.closeTo(4200, 1e-6);
  });

  it('counts a part of a pass as a whole one', () => {
    const one = { ...query, maxOutputTokens: 1 };
    expect(estimateLongestAnswerMs(cost, one)).to.be.closeTo(219.9, 0.1);
  });
});
