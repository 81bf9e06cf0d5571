import { expect } from 'chai';
import { lengthClassOf } from './index.ts';

describe('lengthClassOf', () => {
  it('includes the upper bound in each class', () => {
    const bounds = [1, 4_000, 4_001, 32_000, 32_001, 100_000, 100_001];
    expect(bounds.map(lengthClassOf)).toMatchSnapshot();
  });
});
