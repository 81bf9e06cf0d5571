import { expect } from 'chai';
import { pruneTableHistory } from './index.ts';

const MINUTE_MS = 60_000;
const history = Array.from({ length: 10 }, (_, index) => ({
  number: index + 1,
  rootKey: `table/chunk/${index}`,
  editToken: `t${index}`,
  author: 'a',
  note: '',
  atUnixMs: index * MINUTE_MS,
}));
const numbersKept = (options: object): readonly number[] =>
  pruneTableHistory(history, 9 * MINUTE_MS, options).map((v) => v.number);

describe('pruneTableHistory', () => {
  it('keeps by count and by age', () => {
    expect({
      byCount: numbersKept({ keptNumbers: 3, keptMs: 0 }),
      byAge: numbersKept({ keptNumbers: 1, keptMs: 5 * MINUTE_MS }),
      bounded: numbersKept({ keptNumbers: 9, maxNumbers: 2 }),
    }).toMatchSnapshot();
  });
});
