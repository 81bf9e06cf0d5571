import { expect } from 'chai';
import { endToEndHeaders, readSharedParts } from './index.ts';

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
    [undefined, '', 'a1:1,,b2:1', `${'a'.repeat(40)}:1,b2:1`].forEach(
      (text) => {
        expect(readSharedParts(text)).to.deep.equal([]);
      },
    );
  });
});
