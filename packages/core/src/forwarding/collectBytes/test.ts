import { expect } from 'chai';
import fc from 'fast-check';
import { collectBytes } from './index.ts';

describe('collectBytes', () => {
  it('returns the chunks in order up to the limit, and nothing beyond it', () => {
    fc.assert(
      fc.property(
        fc.array(fc.uint8Array({ maxLength: 3000 }), { maxLength: 8 }),
        fc.integer({ min: 0, max: 12_000 }),
        (chunks, maxBytes) => {
          const collector = collectBytes({ maxBytes });
          const total = chunks.reduce((sum, chunk) => sum + chunk.length, 0);
          const fits = chunks.map(collector.add).every(Boolean);
          expect(fits).to.equal(total <= maxBytes);
          const expected = fits ? Buffer.concat(chunks) : Buffer.alloc(0);
          expect(Buffer.from(collector.bytes()).equals(expected)).to.equal(
            true,
          );
          expect(collector.byteLength()).to.equal(expected.length);
        },
      ),
      { seed: 26 },
    );
  });

  // Guards against chunks of a byte that keep the blocks they were received in.
  it('keeps no reference to a chunk', () => {
    const collector = collectBytes({ maxBytes: 10 });
    const chunk = Uint8Array.of(1, 2);
    collector.add(chunk);
    chunk.fill(9);
    expect([...collector.bytes()]).to.deep.equal([1, 2]);
  });

  it('stays over its limit once it was exceeded', () => {
    const collector = collectBytes({ maxBytes: 2 });
    expect(collector.add(Uint8Array.of(1, 2, 3))).to.equal(false);
    expect(collector.add(Uint8Array.of(1))).to.equal(false);
  });
});
