import { expect } from 'chai';
import fc from 'fast-check';
import {
  compareExactIntegers,
  encodeExactFields,
  exactFields,
  exactIntegerSchema,
  highestExactInteger,
  parseExactInteger,
  wireIntegerSchema,
} from './index.ts';
import { z } from 'zod';

const SEED = 71;

const BEYOND = '9007199254740993';

/** Integers of 1 to 30 digits, as another system writes them. */
const digitTexts = fc.stringMatching(/^0{0,2}[0-9]{1,30}$/);

const read = (text: string) => parseExactInteger(text) ?? -1;

describe('exactInteger', () => {
  // Guards against integers above 2^53 that are equal once they have been read.
  it('orders digits of any length as integers, and gives equal ones one form', () => {
    fc.assert(
      fc.property(digitTexts, digitTexts, (a, b) => {
        const order = compareExactIntegers(read(a), read(b));
        const highest = highestExactInteger([read(a), read(b)]);
        expect(order).to.equal(
          Number(BigInt(a) > BigInt(b)) || (BigInt(a) === BigInt(b) ? 0 : -1),
        );
        expect(read(a) === read(b)).to.equal(BigInt(a) === BigInt(b));
        expect(BigInt(highest)).to.equal(
          BigInt(a) > BigInt(b) ? BigInt(a) : BigInt(b),
        );
      }),
      { seed: SEED },
    );
  });

  it('changes from a number to a bigint beyond the last safe integer', () => {
    expect(read('9007199254740991')).to.equal(Number.MAX_SAFE_INTEGER);
    expect(read('9007199254740992')).to.equal(2n ** 53n);
    expect(read('007')).to.equal(7);
    expect(highestExactInteger([])).to.equal(0);
  });

  it('reads nothing but digits', () => {
    const texts = ['', '-1', '+1', '1.0', '1e18', ' 1', '0x1', '١', '1n'];
    expect(texts.map(parseExactInteger)).to.deep.equal(
      texts.map(() => undefined),
    );
    expect(parseExactInteger('9'.repeat(101))).to.equal(undefined);
  });

  // Guards against a version that an earlier build has rounded and that passes for exact.
  it('refuses numbers that may have been rounded', () => {
    const odd = [2 ** 53, 1e21, 1.5, -1, NaN, Infinity, null, '7'];
    expect(
      odd.filter((value) => exactIntegerSchema.safeParse(value).success),
    ).to.deep.equal([]);
    expect(exactIntegerSchema.parse(7n)).to.equal(7);
    expect(wireIntegerSchema.parse(BEYOND)).to.equal(BigInt(BEYOND));
    expect(wireIntegerSchema.safeParse('1e18').success).to.equal(false);
  });

  it('adds digits only beside numbers that are rounded', () => {
    const plain = { name: 'a', version: 7 };
    expect(encodeExactFields(plain)).to.deep.equal(plain);
    expect(
      encodeExactFields({ ...plain, version: BigInt(BEYOND) }),
    ).to.deep.equal({
      name: 'a',
      version: 2 ** 53,
      exact: { version: BEYOND },
    });
  });

  it('restores what it encoded, through JSON', () => {
    const schema = exactFields(
      z.object({ name: z.string(), version: wireIntegerSchema }),
    );
    fc.assert(
      fc.property(digitTexts, (text) => {
        const value = { name: 'a', version: read(text) };
        const sent = JSON.stringify(encodeExactFields(value));
        expect(schema.parse(JSON.parse(sent))).to.deep.equal(value);
      }),
      { seed: SEED },
    );
    const odd = { name: 'a', version: 2 ** 53, exact: { version: 'x' } };
    expect(schema.safeParse(odd).success).to.equal(false);
    expect(schema.safeParse(undefined).success).to.equal(false);
  });
});
