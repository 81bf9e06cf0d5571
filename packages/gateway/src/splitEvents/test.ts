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
            '1',
            '2',
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

  it('finds an event end that is split between two chunks', () => {
    const splitter = createEventSplitter();
    expect(splitter.push(Buffer.from('data: a\n'))).to.have.length(0);
    const events = splitter.push(Buffer.from('\n\n\ndata: b\n'));
    expect(events.map((event) => event.bytes.toString())).to.deep.equal([
      'data: a\n\n',
      '\n\n',
    ]);
    expect(splitter.pendingBytes()).to.equal(8);
  });

  // Guards against an event that fills the memory.
  it('returns events up to the limit and nothing after a larger one', () => {
    const splitter = createEventSplitter({ maxEventBytes: 10 });
    expect(splitter.push(Buffer.from('data: ab'))).to.have.length(0);
    expect(splitter.push(Buffer.from('\n\ndata: c'))).to.have.length(1);
    expect(splitter.isOversized()).to.equal(false);
    expect(splitter.push(Buffer.from('def\n'))).to.have.length(0);
    expect(splitter.isOversized()).to.equal(true);
    expect(splitter.push(Buffer.from('\ndata: d\n\n'))).to.have.length(0);
    expect(splitter.pendingBytes()).to.equal(0);
  });

  it('applies the limit to the last part of an event', () => {
    const splitter = createEventSplitter({ maxEventBytes: 10 });
    splitter.push(Buffer.from('data: ab'));
    expect(splitter.push(Buffer.from('c\n\n'))).to.have.length(0);
    expect(splitter.isOversized()).to.equal(true);
  });
});
