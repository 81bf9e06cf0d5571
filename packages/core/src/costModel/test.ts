import { expect } from 'chai';
import {
  DEFAULT_COST_MODEL,
  estimateDecodeMs,
  estimatePrefillMs,
  learnDecode,
  learnPrefill,
} from './index.ts';

const observation = (firstTokenMs: number) => ({
  promptTokens: 2_000,
  cachedTokens: 0,
  firstTokenMs,
});

const modelAfter = (times: readonly number[]) =>
  times.reduce(
    (model, firstTokenMs) => learnPrefill(model, observation(firstTokenMs)),
    DEFAULT_COST_MODEL,
  );

describe('cost model', () => {
  it('uses the default curve before any observation', () => {
    const lengths = [1_000, 10_000, 100_000, 1_000_000];
    expect(
      lengths.map((tokens) => estimatePrefillMs(DEFAULT_COST_MODEL, tokens)),
    ).toMatchSnapshot();
    expect(estimateDecodeMs(DEFAULT_COST_MODEL, 100)).to.equal(1_500);
  });

  it('follows fast observations quickly and a slow outlier slowly', () => {
    const fast = modelAfter(Array<number>(30).fill(40));
    expect(estimatePrefillMs(fast, 2_000)).to.be.within(39, 43);
    const withOutlier = modelAfter([...Array<number>(30).fill(40), 4_000]);
    expect(estimatePrefillMs(withOutlier, 2_000)).to.be.below(130);
  });

  it('applies a learned speed to prompt lengths without observations', () => {
    const fast = modelAfter(Array<number>(60).fill(50));
    const defaultMs = estimatePrefillMs(DEFAULT_COST_MODEL, 60_000);
    expect(estimatePrefillMs(fast, 60_000) / defaultMs).to.be.within(
      0.45,
      0.55,
    );
  });

  it('counts only tokens that are not cached', () => {
    const all = estimatePrefillMs(DEFAULT_COST_MODEL, 8_000);
    const half = estimatePrefillMs(DEFAULT_COST_MODEL, 8_000, 4_000);
    expect(half).to.be.closeTo(all / 2, 1);
  });

  it('learns the time between tokens and the output ratio', () => {
    const model = Array.from({ length: 200 }).reduce<typeof DEFAULT_COST_MODEL>(
      (learned) =>
        learnDecode(learned, {
          maxOutputTokens: 100,
          outputTokens: 80,
          decodeMs: 4_000,
        }),
      DEFAULT_COST_MODEL,
    );
    expect(estimateDecodeMs(model, 100)).to.be.closeTo(4_000, 20);
  });
});
