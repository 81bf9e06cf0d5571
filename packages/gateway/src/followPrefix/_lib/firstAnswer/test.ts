import { expect } from 'chai';
import * as E from 'fp-ts/lib/Either.js';
import type { StoreError } from '../../../storePort/index.ts';
import { firstAnswer } from './index.ts';

type Result = E.Either<StoreError, string>;

const unanswered = (reason: string): Result =>
  E.left({ type: 'unanswered', reason });

const OVERDUE_MS = 350;

/** Starts calls whose results the test gives, at an interval that it ends. */
function start(onFailure: (error: StoreError) => void = () => undefined) {
  const answers: ((result: Result) => void)[] = [];
  const sleeps: (() => void)[] = [];
  const failures: string[] = [];
  let isStopped = false;
  let overdue = 0;
  let endOverdue: () => void = () => undefined;
  const result = firstAnswer<string>(
    () => new Promise((resolve) => answers.push(resolve)),
    {
      intervalMs: 250,
      sleep: (ms) =>
        new Promise((resolve) => {
          if (ms === OVERDUE_MS) endOverdue = resolve;
          else sleeps.push(resolve);
        }),
      isStopped: () => isStopped,
      overdueMs: OVERDUE_MS,
      onOverdue: () => {
        overdue += 1;
      },
      onUnanswered: (error) => {
        onFailure(error);
        failures.push(error.type === 'unanswered' ? error.reason : error.type);
      },
    },
  );
  const settle = () => new Promise(setImmediate);
  return {
    ...{ answers, failures, result },
    overdue: async () => {
      endOverdue();
      await settle();
      return overdue;
    },
    answer: async (call: number, value: Result) => {
      answers[call]?.(value);
      await settle();
    },
    wait: async () => {
      sleeps.shift()?.();
      await settle();
    },
    stop: async () => {
      isStopped = true;
      sleeps.shift()?.();
      await settle();
    },
  };
}

describe('firstAnswer', () => {
  // Guards against waiting for a call on a connection that fell silent.
  it('calls again before the calls before have failed, and takes the first answer', async () => {
    const { answers, answer, wait, overdue, result } = start();
    await wait();
    await wait();
    expect(await overdue()).to.equal(1);
    expect(answers).to.have.length(3);
    await answer(1, E.right('second'));
    await answer(0, unanswered('too late'));
    await wait();
    expect(await result).to.deep.equal(E.right('second'));
    expect(answers).to.have.length(3);
  });

  it('tells each call that fails, at most one an interval', async () => {
    const { answers, answer, wait, result, failures } = start();
    await answer(0, unanswered('first'));
    expect(answers).to.have.length(1);
    await wait();
    await answer(1, unanswered('second'));
    await wait();
    await answer(2, E.right('third'));
    expect(await result).to.deep.equal(E.right('third'));
    expect(failures).to.deep.equal(['first', 'second']);
  });

  it('ends with a refusal, after which the caller pauses', async () => {
    const refused: Result = E.left({ type: 'refused', status: 429 });
    const { answer, overdue, result } = start();
    await answer(0, refused);
    expect(await result).to.deep.equal(refused);
    expect(await overdue()).to.equal(0);
  });

  // Guards against calls without end beside those of the caller's next try.
  it('calls no more after an error of a callback', async () => {
    const { answers, answer, wait, result } = start((error) => {
      throw new Error(error.type);
    });
    const failed = result.catch(String);
    await answer(0, unanswered('first'));
    await wait();
    await wait();
    expect(await failed).to.equal('Error: unanswered');
    expect(answers).to.have.length(1);
  });

  it('ends without a result when it is stopped', async () => {
    const { answers, stop, result } = start();
    await stop();
    expect(await result).to.equal(undefined);
    expect(answers).to.have.length(1);
  });
});
