import { expect } from 'chai';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { sampleEntries } from './index.ts';

const entriesOf = (weights: readonly number[]) =>
  weights.map((weight, index) => ({ name: `e${index}`, weight }));

describe('sampleEntries', () => {
  it('names all entries of a small fleet of equals', () => {
    const entries = entriesOf(Array<number>(8).fill(0.675));
    expect(sampleEntries(entries)).to.have.members(entries);
  });

  it('names at most the largest number, and each entry to some caller', () => {
    const entries = entriesOf(Array<number>(195).fill(1));
    const generator = xoroshiro128plus(1);
    const random = (): number => uniformFloat64(generator);
    const samples = Array.from({ length: 60 }, () =>
      sampleEntries(entries, { random }),
    );
    expect(samples.every((sample) => sample.length === 64)).to.equal(true);
    expect(new Set(samples.flat()).size).to.equal(195);
  });

  it('names entries in proportion to their capacity', () => {
    const entries = entriesOf([
      ...Array<number>(15).fill(1.35),
      ...Array<number>(180).fill(0.324),
    ]);
    const generator = xoroshiro128plus(2);
    const random = (): number => uniformFloat64(generator);
    const named = Array.from({ length: 400 }, () =>
      sampleEntries(entries, { random }),
    ).flat();
    const meanOf = (weight: number, count: number): number =>
      named.filter((one) => one.weight === weight).length / count;
    const ratio = meanOf(1.35, 15) / meanOf(0.324, 180);
    expect(ratio).to.be.within(2, 4.5);
  });
});
