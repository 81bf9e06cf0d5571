import { expect } from 'chai';
import {
  type DurationsState,
  initialDurations,
  longestDuration,
  reduceDurations,
  type RequestClass,
} from './index.ts';

const plain: RequestClass = { route: 'read', prompt: undefined };
const prompt = (promptTokens: number): RequestClass => ({
  route: 'chat',
  prompt: { promptTokens, maxOutputTokens: 100 },
});

/** Answers of one kind, one a millisecond, that take these times. */
function answer(
  state: DurationsState,
  kind: RequestClass,
  timesMs: readonly number[],
  fromMs = 0,
): DurationsState {
  return timesMs.reduce(
    (known, elapsedMs, index) =>
      reduceDurations(known, {
        type: 'durations.answered',
        ...kind,
        atMs: fromMs + index,
        elapsedMs,
      }).state,
    state,
  );
}

const longestMs = (state: DurationsState, kind: RequestClass, atMs: number) =>
  longestDuration(state, kind, atMs).longestMs;

const twenty = (ms: number): readonly number[] =>
  Array.from({ length: 20 }, () => ms);

describe('requestDurations', () => {
  it('returns the longest time once there are enough answers', () => {
    const few = answer(initialDurations, plain, twenty(10).slice(1));
    expect(longestDuration(few, plain, 100)).to.deep.equal({
      longestMs: 10,
      isCertain: false,
      answers: 19,
      ageMs: 82,
    });
    const enough = answer(few, plain, [300], 30);
    expect(longestDuration(enough, plain, 100)).to.deep.equal({
      longestMs: 300,
      isCertain: true,
      answers: 20,
      ageMs: 70,
    });
  });

  it('tells prompts of other sizes apart, and falls back to their route', () => {
    const small = answer(initialDurations, prompt(1000), twenty(100));
    const both = answer(small, prompt(100_000), twenty(4000), 30);
    expect(longestMs(both, prompt(900), 100)).to.equal(100);
    expect(longestMs(both, prompt(100_000), 100)).to.equal(4000);
    expect(longestMs(both, prompt(9000), 100)).to.equal(4000);
  });

  it('forgets after one to two minutes', () => {
    const state = answer(initialDurations, plain, twenty(5000));
    expect(longestMs(state, plain, 59_000)).to.equal(5000);
    expect(longestMs(state, plain, 121_000)).to.equal(0);
    const later = answer(state, plain, twenty(50), 61_000);
    expect(longestMs(later, plain, 62_000)).to.equal(5000);
    const last = answer(later, plain, twenty(60), 122_000);
    expect(longestMs(last, plain, 123_000)).to.equal(60);
  });
});
