import { expect } from 'chai';
import { createAnswerBudget } from './index.ts';

describe('createAnswerBudget', () => {
  // Guards against many answers that fill the memory together.
  it('gives up the largest answer when all together exceed the limit', () => {
    const budget = createAnswerBudget({ maxBytes: 15 });
    const givenUp: string[] = [];
    const [large, small, other] = ['large', 'small', 'other'].map((name) =>
      budget.hold(() => givenUp.push(name)),
    );
    large?.resize(9);
    small?.resize(2);
    other?.resize(4);
    expect(givenUp).to.deep.equal([]);
    small?.resize(3);
    expect(givenUp).to.deep.equal(['large']);
    expect(budget.usedBytes()).to.equal(7);
    small?.resize(16);
    expect(givenUp).to.deep.equal(['large', 'small']);
  });

  it('counts an answer only while it is held', () => {
    const budget = createAnswerBudget({ maxBytes: 15 });
    const givenUp: string[] = [];
    [1, 2, 3].forEach(() => {
      const held = budget.hold(() => givenUp.push('one'));
      [9, 0, 14].forEach(held.resize);
      held.release();
      held.release();
    });
    expect(givenUp).to.deep.equal([]);
    expect(budget.usedBytes()).to.equal(0);
  });
});
