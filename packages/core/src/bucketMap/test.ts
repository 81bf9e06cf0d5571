import { expect } from 'chai';
import * as fc from 'fast-check';
import {
  bucketValues,
  deleteEntry,
  emptyBucketMap,
  getEntry,
  setEntry,
  type BucketMap,
} from './index.ts';

describe('bucketMap', () => {
  it('has the same content as a Map after any sequence of updates', () => {
    const update = fc.tuple(
      fc.boolean(),
      fc.string({ maxLength: 2 }),
      fc.nat(),
    );
    fc.assert(
      fc.property(fc.array(update, { maxLength: 200 }), (updates) => {
        const expected = new Map<string, number>();
        const actual = updates.reduce<BucketMap<number>>(
          (map, [isSet, key, value]) => {
            if (isSet) expected.set(key, value);
            else expected.delete(key);
            return isSet ? setEntry(map, key, value) : deleteEntry(map, key);
          },
          emptyBucketMap(),
        );
        expect(actual.size).to.equal(expected.size);
        expect([...bucketValues(actual)].sort()).to.deep.equal(
          [...expected.values()].sort(),
        );
        expected.forEach((value, key) => {
          expect(getEntry(actual, key)).to.equal(value);
        });
      }),
      { seed: 1, numRuns: 200 },
    );
  });

  it('does not modify the map that is passed in', () => {
    const before = setEntry(emptyBucketMap<number>(), 'a', 1);
    setEntry(before, 'a', 2);
    deleteEntry(before, 'a');
    expect(getEntry(before, 'a')).to.equal(1);
  });
});
