import { expect } from 'chai';
import fc from 'fast-check';
import { fitsGrace, type GraceQuery } from './index.ts';

const query: GraceQuery = {
  readMs: 2000,
  addressesMs: 3000,
  canEndEarly: false,
  elapsedMs: 4000,
  leftMs: 3200,
  boundMs: 10_000,
  longestMs: undefined,
};

describe('fitsGrace', () => {
  it('takes what ends in time at the latest, however long it took before', () => {
    expect(fitsGrace({ ...query, boundMs: 3000, longestMs: 9000 })).to.equal(
      true,
    );
  });

  it('takes what has ended in time so far, with a margin', () => {
    expect(fitsGrace({ ...query, longestMs: 2400 })).to.equal(true);
    expect(fitsGrace({ ...query, longestMs: 2500 })).to.equal(false);
  });

  it('takes what is unknown only at the beginning', () => {
    expect(fitsGrace({ ...query, elapsedMs: 2800, leftMs: 4400 })).to.equal(
      true,
    );
    expect(fitsGrace({ ...query, elapsedMs: 3000, leftMs: 4200 })).to.equal(
      false,
    );
  });

  // Guards against answers that are cut off because their targets are slower than before.
  it('takes nothing late on an estimate, unless it can end early', () => {
    fc.assert(
      fc.property(
        fc.integer({ min: 3001, max: 30_000 }),
        fc.integer({ min: 0, max: 30_000 }),
        fc.option(fc.integer({ min: 0, max: 12_000 }), { nil: undefined }),
        (readMs, leftMs, longestMs) => {
          const late = { ...query, readMs, elapsedMs: readMs, leftMs };
          const boundMs = leftMs + 1;
          expect(fitsGrace({ ...late, longestMs, boundMs })).to.equal(false);
        },
      ),
      { seed: 56 },
    );
    const late = { ...query, readMs: 4000, longestMs: 2400 };
    expect(fitsGrace({ ...late, canEndEarly: true })).to.equal(true);
  });

  // Guards against requests that are passed on and then cut off.
  it('takes no request of known duration that would be cut off', () => {
    fc.assert(
      fc.property(
        fc.integer({ min: 0, max: 8000 }),
        fc.integer({ min: 0, max: 10_000 }),
        fc.integer({ min: 1, max: 12_000 }),
        (leftMs, longestMs, boundMs) => {
          const isTaken = fitsGrace({ ...query, leftMs, longestMs, boundMs });
          if (isTaken) expect(Math.min(longestMs, boundMs)).to.be.below(leftMs);
        },
      ),
      { seed: 50 },
    );
  });
});
