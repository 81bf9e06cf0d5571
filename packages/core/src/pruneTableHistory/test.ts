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
const retainedNumbers = (options: object): readonly number[] =>
  pruneTableHistory(history, 9 * MINUTE_MS, options).map((v) => v.number);

describe('pruneTableHistory', () => {
  it('keeps versions by count and by age', () => {
    expect({
      byCount: retainedNumbers({ minVersions: 3, retentionMs: 0 }),
      byAge: retainedNumbers({ minVersions: 1, retentionMs: 5 * MINUTE_MS }),
      bounded: retainedNumbers({ minVersions: 9, maxVersions: 2 }),
    }).toMatchSnapshot();
  });
});
