import { expect } from 'chai';
import { describePrompt, FIRST_PREFIX_BLOCK_CHARS } from './index.ts';

const longPrompt = 'paid 500 francs; '.repeat(1_000);

describe('describePrompt', () => {
  it('gives prompts with a shared prefix the same leading hashes', () => {
    const first = describePrompt(`${longPrompt}who is next?`, 'w/m');
    const second = describePrompt(`${longPrompt}who was last?`, 'w/m');
    expect(first.prefixHashes).to.deep.equal(second.prefixHashes);
    expect(first.prefixHashes).to.have.length(5);
    expect(first.fingerprint).to.not.equal(second.fingerprint);
  });

  it('gives equal prompts in different scopes different hashes', () => {
    const first = describePrompt(longPrompt, 'w1/m');
    const second = describePrompt(longPrompt, 'w2/m');
    expect(first.prefixHashes[0]).to.not.equal(second.prefixHashes[0]);
    expect(first.fingerprint).to.not.equal(second.fingerprint);
  });

  it('has no prefix hash below the shortest prefix length and one at it', () => {
    const sizes = [1, FIRST_PREFIX_BLOCK_CHARS - 1, FIRST_PREFIX_BLOCK_CHARS];
    const counts = sizes.map(
      (size) => describePrompt('x'.repeat(size), 's').prefixHashes.length,
    );
    expect(counts).to.deep.equal([0, 0, 1]);
  });
});
