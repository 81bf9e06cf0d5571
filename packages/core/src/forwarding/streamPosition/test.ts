import { expect } from 'chai';
import fc from 'fast-check';
import { advanceStream, orderEvent, streamStart } from './index.ts';

const SEED = 50;

const piece = (id: string | undefined) => ({ id, hasData: true });

/** Integers of 1 to 40 digits with any sign, as written by a target. */
const integerTexts = fc.stringMatching(/^[+-]?0{0,3}[0-9]{1,40}$/);

describe('streamPosition', () => {
  // Ids above 2^53 were compared as doubles, so that new events passed for old ones.
  it('orders ids of any length as integers', () => {
    fc.assert(
      fc.property(integerTexts, integerTexts, (id, delivered) => {
        expect(orderEvent(piece(id), delivered)).to.equal(
          BigInt(id) > BigInt(delivered) ? 'new' : 'delivered',
        );
      }),
      { seed: SEED },
    );
  });

  it('keeps ids as they were sent', () => {
    fc.assert(
      fc.property(integerTexts, (id) => {
        expect(advanceStream(streamStart, piece(id))).to.deep.equal({
          type: 'after',
          id,
        });
      }),
      { seed: SEED },
    );
  });

  it('does not order ids that are no integers', () => {
    const ids = ['', 'a', '12a', '1.5', '1e3', ' 1', '1 ', '--1', '0x1', '١'];
    expect(
      ids.filter((id) => orderEvent(piece(id), '1') !== 'unknown'),
    ).to.deep.equal([]);
    expect(
      ids.filter(
        (id) => advanceStream(streamStart, piece(id)).type !== 'unknown',
      ),
    ).to.deep.equal([]);
  });

  it('loses its position at data without an id, and not at a comment', () => {
    const after = { type: 'after', id: '7' } as const;
    const comment = { id: undefined, hasData: false };
    expect(advanceStream(after, piece(undefined)).type).to.equal('unknown');
    expect(advanceStream(after, comment)).to.equal(after);
    expect(orderEvent(piece(undefined), '7')).to.equal('unknown');
    expect(orderEvent(comment, '7')).to.equal('new');
  });
});
