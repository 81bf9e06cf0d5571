import { expect } from 'chai';
import { ranksFirst } from './index.ts';

const names = ['e1', 'e2', 'e3', 'e4', 'e5'];

const firstOf = (key: string): readonly string[] =>
  names.filter((name) =>
    ranksFirst(
      key,
      name,
      names.filter((other) => other !== name),
    ),
  );

describe('ranksFirst', () => {
  it('is true for one entry of a key, and not the same one for all keys', () => {
    const first = ['a', 'b', 'c', 'd', 'e', 'f'].map(firstOf);
    expect(first.every((one) => one.length === 1)).to.equal(true);
    expect(new Set(first.flat()).size).to.be.above(1);
  });

  it('is true for an entry that knows no other', () => {
    expect(ranksFirst('a', 'e1', [])).to.equal(true);
  });
});
