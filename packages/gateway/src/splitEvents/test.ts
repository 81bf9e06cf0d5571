import { expect } from 'chai';
import fc from 'fast-check';
import { createEventSplitter } from './index.ts';

const STREAM = 'id: 1\ndata: a\n\nid: 2\ndata: b\ndata: c\n\ndata: no id\n\n';

describe('splitEvents', () => {
  it('returns complete events with their ids for any chunk boundaries', () => {
    fc.assert(
      fc.property(
        fc.array(fc.integer({ min: 0, max: STREAM.length }), { maxLength: 8 }),
        (cuts) => {
          const splitter = createEventSplitter();
          const bounds = [0, ...cuts.toSorted((a, b) => a - b), STREAM.length];
          const events = bounds
            .slice(1)
            .flatMap((to, index) =>
              splitter.push(Buffer.from(STREAM.slice(bounds[index], to))),
            );
          expect(events.map((event) => event.id)).to.deep.equal([
            1,
            2,
            undefined,
          ]);
          const text = events.map((event) => event.bytes.toString()).join('');
          expect(text).to.equal(STREAM);
          expect(splitter.pendingBytes()).to.equal(0);
        },
      ),
      { seed: 7 },
    );
  });

  it('buffers an incomplete event', () => {
    const splitter = createEventSplitter();
    expect(splitter.push(Buffer.from('id: 3\ndata: par'))).to.have.length(0);
    expect(splitter.pendingBytes()).to.equal(15);
  });
});
