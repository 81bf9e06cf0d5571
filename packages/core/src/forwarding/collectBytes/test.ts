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

  // Guards against memory that follows the number of chunks instead of their bytes.
  it('holds little more than the bytes, however small the chunks are', () => {
    const maxBytes = 1_000_000;
    const heldBytes = [1, 7, 4096, 70_000].map((size) => {
      const collector = collectBytes({ maxBytes });
      const chunk = new Uint8Array(size).fill(1);
      Array.from({ length: Math.floor(maxBytes / size) }).forEach(() =>
        collector.add(chunk),
      );
      expect(collector.bytes().every((byte) => byte === 1)).to.equal(true);
      return collector.heldBytes() / collector.byteLength();
    });
    expect(Math.max(...heldBytes)).to.be.at.most(1.3);
  });

  it('collects on after its bytes were read', () => {
    const collector = collectBytes({ maxBytes: 20_000 });
    collector.add(new Uint8Array(5000).fill(1));
    collector.bytes();
    collector.add(new Uint8Array(5000).fill(2));
    expect(collector.bytes().length).to.equal(10_000);
    expect(collector.bytes()[9999]).to.equal(2);
  });

  it('stays over its limit once it was exceeded', () => {
    const collector = collectBytes({ maxBytes: 2 });
    expect(collector.add(Uint8Array.of(1, 2, 3))).to.equal(false);
    expect(collector.add(Uint8Array.of(1))).to.equal(false);
  });
});
