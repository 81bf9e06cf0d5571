import { expect } from 'chai';
import { collectBytes } from '../collectBytes/index.ts';
import { createBlockPool } from './index.ts';

const BLOCK_BYTES = 8192;

const KIB = 1024;

describe('createBlockPool', () => {
  it('gives out blocks again, up to its limit', () => {
    const blocks = createBlockPool({
      blockBytes: BLOCK_BYTES,
      maxUnusedBytes: 2 * BLOCK_BYTES,
    });
    const taken = [blocks.take(), blocks.take(), blocks.take()];
    taken.forEach(blocks.give);
    expect(blocks.unusedBytes()).to.equal(2 * BLOCK_BYTES);
    expect(blocks.take()).to.equal(taken[1]);
    expect(blocks.unusedBytes()).to.equal(BLOCK_BYTES);
    blocks.clear();
    expect(blocks.unusedBytes()).to.equal(0);
  });

  // Guards against an answer with bytes of another one, whose memory it was given.
  it('lends blocks to collectors without mixing their bytes', () => {
    const blocks = createBlockPool({
      blockBytes: BLOCK_BYTES,
      maxUnusedBytes: 100 * BLOCK_BYTES,
    });
    const kept = Array.from({ length: 20 }, (_, round) => {
      const size = (round + 1) * 2 * KIB;
      const collector = collectBytes({ maxBytes: 100_000, blocks });
      const other = collectBytes({ maxBytes: 100_000, blocks });
      Array.from({ length: size / KIB }).forEach(() => {
        collector.add(Buffer.alloc(KIB, round));
        other.add(Buffer.alloc(KIB, 255));
      });
      other.clear();
      const bytes = collector.bytes();
      collector.clear();
      return { bytes, expected: Buffer.alloc(size, round) };
    });
    kept.forEach(({ bytes, expected }) => {
      expect(Buffer.compare(bytes, expected)).to.equal(0);
    });
    expect(blocks.unusedBytes()).to.be.above(0);
  });
});
