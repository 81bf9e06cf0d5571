import { expect } from 'chai';
import { endToEndHeaders } from './index.ts';

describe('passedHeaders', () => {
  it('drops what concerns one connection, what it names, and what is withheld', () => {
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
