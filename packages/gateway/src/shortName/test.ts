import { expect } from 'chai';
import { shortName } from './index.ts';

describe('shortName', () => {
  it('keeps a text that is short enough', () => {
    expect(shortName('a'.repeat(32), 32)).to.equal('a'.repeat(32));
  });

  it('stands for a longer text by its hash, counted in bytes', () => {
    const names = ['a'.repeat(33), 'b'.repeat(33), 'ä'.repeat(17)].map((text) =>
      shortName(text, 32),
    );
    expect(new Set(names).size).to.equal(3);
    names.forEach((name) => {
      expect(name).to.match(/^~[\w-]{22}$/);
    });
  });
});
