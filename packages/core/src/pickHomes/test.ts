import { expect } from 'chai';
import fc from 'fast-check';
import { countHomes } from '../countHomes/index.ts';
import { orderHomes } from '../orderHomes/index.ts';
import { pickHomes, type HomeCandidate } from './index.ts';

const entriesOf = (sizes: readonly number[]): readonly HomeCandidate[] =>
  sizes.flatMap((size, dc) =>
    Array.from({ length: size }, (_, n) => ({
      entryId: `entry-${dc}-${n}`,
      dataCentre: `dc-${dc}`,
    })),
  );

const idsOf = (homes: readonly HomeCandidate[]) =>
  homes.map((home) => home.entryId);

const fleet = fc
  .array(fc.integer({ min: 1, max: 6 }), { minLength: 1, maxLength: 5 })
  .map(entriesOf);

describe('pickHomes', () => {
  it('adds no home other than the joining entry', () => {
    fc.assert(
      fc.property(
        fleet,
        fc.string(),
        fc.integer({ min: 2, max: 7 }),
        fc.nat(),
        (all, workspace, count, pick) => {
          const joining = all[pick % all.length];
          const before = all.filter((entry) => entry !== joining);
          const homesBefore = idsOf(pickHomes(workspace, before, { count }));
          const homesAfter = idsOf(pickHomes(workspace, all, { count }));
          const allowed = new Set([...homesBefore, joining?.entryId]);
          expect(homesAfter.filter((id) => !allowed.has(id))).to.deep.equal([]);
        },
      ),
      { seed: 1, numRuns: 500 },
    );
  });

  it('affects about an equal share of the workspaces when an entry leaves', () => {
    const all = entriesOf([4, 4, 4]);
    const workspaces = Array.from({ length: 2_000 }, (_, n) => `ws-${n}`);
    const affected = workspaces.filter((workspace) =>
      idsOf(pickHomes(workspace, all)).includes('entry-1-2'),
    );
    const share = affected.length / workspaces.length;
    expect(share).to.be.within(0.8 * (2 / 12), 1.2 * (2 / 12));
  });

  it('uses every data centre once before it uses any of them twice', () => {
    fc.assert(
      fc.property(fleet, fc.string(), (all, workspace) => {
        const dataCentres = new Set(all.map((entry) => entry.dataCentre));
        const homes = pickHomes(workspace, all, { count: dataCentres.size });
        const used = new Set(homes.map((home) => home.dataCentre));
        expect(used.size).to.equal(dataCentres.size);
      }),
      { seed: 2, numRuns: 200 },
    );
  });

  it('does not depend on the order of the candidates', () => {
    const all = entriesOf([3, 2]);
    expect(pickHomes('w', all.toReversed())).to.deep.equal(pickHomes('w', all));
  });

  it('distributes first homes in proportion to the weights', () => {
    const all = entriesOf([4]);
    const weightOf = (entry: HomeCandidate) =>
      entry.entryId === 'entry-0-0' ? 3 : 1;
    const first = Array.from({ length: 3_000 }, (_, n) =>
      idsOf(pickHomes(`ws-${n}`, all, { count: 1, weightOf })),
    ).filter(([id]) => id === 'entry-0-0');
    expect(first.length / 3_000).to.be.within(0.45, 0.55);
  });
});

describe('orderHomes', () => {
  it('puts the homes in the data centre of the caller first', () => {
    const homes = pickHomes('w', entriesOf([2, 2, 2]), { count: 3 });
    const lastHome = homes[2]!;
    expect(orderHomes(homes, lastHome.dataCentre)[0]).to.equal(lastHome);
    expect(orderHomes(homes, undefined)).to.deep.equal(homes);
  });
});

describe('countHomes', () => {
  it('grows with the share, from two homes to all entries', () => {
    const shares = [0, 0.05, 0.25, 0.4, 1];
    expect(shares.map((share) => countHomes(share, 8))).toMatchSnapshot();
    expect(countHomes(0.5, 1)).to.equal(1);
  });
});
