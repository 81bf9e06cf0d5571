import { expect } from 'chai';
import fc from 'fast-check';
import { type ByteBudget, createByteBudget, type Holding } from './index.ts';

describe('createByteBudget', () => {
  let nowMs = 0;
  let budget: ByteBudget;
  let evicted: string[] = [];

  /** Creates a budget of 1,000 bytes, in which up to 10 bytes are small. */
  beforeEach(() => {
    nowMs = 0;
    evicted = [];
    budget = createByteBudget({
      maxBytes: 1000,
      maxSmallBytes: 10,
      progressBytes: 20,
      now: () => nowMs,
    });
  });

  function hold(name: string, bytes: number, owner = 'w1'): Holding {
    const holding = budget.hold({
      owner,
      onEvict() {
        evicted.push(name);
      },
    });
    nowMs += 1;
    expect(holding.resize(bytes)).to.equal(true);
    return holding;
  }

  // Guards against clients that hold everything and keep all others out.
  it('evicts what has stalled, the most and the longest held first', () => {
    hold('old and small', 100);
    hold('old and large', 500);
    nowMs += 2000;
    hold('new', 100);
    hold('newer', 100);
    expect(evicted).to.deep.equal(['old and large']);
  });

  // Guards against senders of a byte now and then that count as active for ever.
  it('takes a trickle for a stall', () => {
    const trickle = hold('trickle', 500);
    const steady = hold('steady', 200);
    nowMs += 1500;
    trickle.resize(501);
    steady.resize(240);
    hold('new', 100);
    expect(evicted).to.deep.equal(['trickle']);
  });

  // Guards against large bodies that evict each other, so that none becomes complete.
  it('refuses the newest where nothing has stalled', () => {
    hold('first', 400);
    hold('second', 300);
    const newest = budget.hold({ owner: 'w1', onEvict: () => undefined });
    nowMs += 1;
    expect(newest.resize(100)).to.equal(false);
    expect(newest.resize(1)).to.equal(false);
    expect(evicted).to.deep.equal([]);
    expect(budget.usedBytes()).to.equal(700);
  });

  // Guards against one workspace that costs others theirs.
  it('takes from the owner that holds the most', () => {
    hold('a', 300, 'greedy');
    hold('b', 300, 'greedy');
    hold('c', 300, 'modest');
    expect(evicted).to.deep.equal(['b']);
  });

  // Guards against small bodies that wait for complete large ones, which are never evicted.
  it('keeps a part for small holdings', () => {
    hold('complete', 750).settle();
    const large = budget.hold({ owner: 'w2', onEvict: () => undefined });
    expect(large.resize(11)).to.equal(false);
    Array.from({ length: 25 }, (_, index) => hold(`small ${index}`, 10));
    expect(evicted).to.deep.equal([]);
    expect(budget.usedBytes()).to.equal(1000);
  });

  // Guards against ordinary requests that are refused for the sake of a large one.
  it('takes nothing from small holdings that progress for a large one', () => {
    const large = hold('large', 500);
    Array.from({ length: 40 }, (_, index) => hold(`small ${index}`, 10));
    expect(large.resize(700)).to.equal(false);
    expect(evicted).to.deep.equal([]);
  });

  // Guards against many small bodies that stop short of their end.
  it('takes from small holdings that have stalled for a large one', () => {
    Array.from({ length: 100 }, (_, index) => hold(`small ${index}`, 10));
    nowMs += 2000;
    hold('large', 40);
    expect(evicted).to.deep.equal(['small 0', 'small 1', 'small 2', 'small 3']);
  });

  it('stays within its bound, and loses nothing that is complete', () => {
    const actions = fc.array(
      fc.record({
        holding: fc.nat({ max: 9 }),
        bytes: fc.nat({ max: 400 }),
        afterMs: fc.nat({ max: 800 }),
        act: fc.constantFrom('resize', 'resize', 'settle', 'release'),
      }),
      { maxLength: 80 },
    );
    fc.assert(
      fc.property(actions, (steps) => {
        const bounded = createByteBudget({
          maxBytes: 1000,
          maxSmallBytes: 10,
          progressBytes: 20,
          now: () => nowMs,
        });
        const sizes = new Map<number, number>();
        const settled = new Set<number>();
        const holdings = Array.from({ length: 10 }, (_, index) =>
          bounded.hold({
            owner: `w${index % 3}`,
            onEvict() {
              expect(settled.has(index)).to.equal(false);
              sizes.delete(index);
            },
          }),
        );
        steps.forEach(({ holding, bytes, afterMs, act }) => {
          nowMs += afterMs;
          if (act === 'settle') {
            holdings[holding]!.settle();
            settled.add(holding);
          } else if (act === 'release') {
            holdings[holding]!.release();
            sizes.delete(holding);
          } else if (holdings[holding]!.resize(bytes)) {
            sizes.set(holding, bytes);
          } else sizes.delete(holding);
          const heldBytes = [...sizes.values()].reduce((a, b) => a + b, 0);
          expect(bounded.usedBytes()).to.equal(heldBytes);
          expect(heldBytes).to.be.at.most(1000);
        });
      }),
      { seed: 62 },
    );
  });
});
