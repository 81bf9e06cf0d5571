import { expect } from 'chai';
import { rotate } from './index.ts';

describe('rotate', () => {
  it('starts at each item for equal shares of the random range', () => {
    const firsts = [0, 0.3, 0.34, 0.6, 0.67, 0.99].map(
      (random) => rotate(['a', 'b', 'c'], random)[0],
    );
    expect(firsts).to.deep.equal(['a', 'a', 'b', 'b', 'c', 'c']);
    expect(rotate([], 0.5)).to.deep.equal([]);
  });
});
