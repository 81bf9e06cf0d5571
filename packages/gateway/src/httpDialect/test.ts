import { expect } from 'chai';
import { endToEndHeaders, readLimit, readSharedParts } from './index.ts';

describe('passedHeaders', () => {
  it('removes hop-by-hop headers, those listed in Connection and withheld ones', () => {
    const passed = endToEndHeaders(
      [
        ...['Host', 'api.example'],
        ...['Connection', 'keep-alive, X-Hop'],
        ...['X-Hop', '1'],
        ...['Transfer-Encoding', 'chunked'],
        ...['Authorization', 'Bearer k'],
        ...['X-Kept', 'a'],
        ...['X-Kept', 'b'],
      ],
      new Set(['authorization']),
    );
    expect(passed).to.deep.equal([
      ['Host', 'api.example'],
      ['X-Kept', 'a'],
      ['X-Kept', 'b'],
    ]);
  });
});

describe('readSharedParts', () => {
  it('returns all parts but the last one, each once', () => {
    expect(readSharedParts('a1:800,b2:410,a1:3,c3:250')).to.deep.equal([
      'a1',
      'b2',
    ]);
    expect(readSharedParts('a1:800')).to.deep.equal([]);
  });

  it('returns none of a list that cannot be read', () => {
    [undefined, '', 'a1:1,,b2:1'].forEach((text) => {
      expect(readSharedParts(text)).to.deep.equal([]);
    });
  });

  // A list with one long id was ignored as a whole.
  it('shortens long ids, each to a name of its own', () => {
    const ids = ['a', 'b'].map((digit) => digit.repeat(64));
    const read = readSharedParts(`${ids.join(':1,')}:1,c1:1`);
    expect(new Set(read).size).to.equal(2);
    read.forEach((name) => {
      expect(name.length).to.be.at.most(32);
    });
  });
});

describe('readLimit', () => {
  it('reads a decimal number, the lowest of several lines', () => {
    expect(readLimit(undefined)).to.deep.equal({ type: 'none' });
    expect(readLimit('2.5')).to.deep.equal({
      type: 'named',
      requestsPerS: 2.5,
    });
    expect(readLimit('0')).to.deep.equal({ type: 'named', requestsPerS: 0 });
    expect(readLimit('10, 4')).to.deep.equal({
      type: 'named',
      requestsPerS: 4,
    });
  });

  it('bounds a value, and reports one that is no decimal number', () => {
    const many = readLimit('9'.repeat(400));
    expect(many).to.deep.equal({ type: 'named', requestsPerS: 1_000_000 });
    ['', '-1', '1e9', 'many', 'NaN', 'Infinity'].forEach((text) => {
      expect(readLimit(text)).to.deep.equal({ type: 'unreadable', text });
    });
  });
});
