import { expect } from 'chai';
import * as fc from 'fast-check';
import { indexRows } from '../indexRows/index.ts';
import { homesOf } from './index.ts';

const entries = Array.from({ length: 12 }, (_, index) => ({
  entryId: `e${index}`,
  dataCentre: `dc-${index % 3}`,
}));

const rowsOf = (weights: Readonly<Record<string, number>>) =>
  indexRows(
    Object.entries(weights).map(([workspace, weight]) => ({
      workspace,
      service: '*',
      kind: '*',
      weight,
    })),
  );

const idsOf = (workspace: string, weights: Readonly<Record<string, number>>) =>
  homesOf(workspace, entries, rowsOf(weights)).map(({ entryId }) => entryId);

describe('homesOf', () => {
  it('assigns homes according to the share of a workspace in the total weight', () => {
    const weights = { small: 1, large: 9, other: 10 };
    const counts = ['small', 'large', 'other', 'unlisted'].map(
      (workspace) => idsOf(workspace, weights).length,
    );
    expect(counts).to.deep.equal([2, 11, 12, 2]);
  });

  it('does not treat a single row as the whole load', () => {
    expect(idsOf('only', { only: 1 })).to.have.length(3);
  });

  it('returns the homes for a smaller weight as a prefix of those for a larger one', () => {
    fc.assert(
      fc.property(
        fc.integer({ min: 1, max: 50 }),
        fc.integer({ min: 0, max: 50 }),
        fc.string({ minLength: 1, maxLength: 8 }),
        (weight, more, workspace) => {
          const few = idsOf(workspace, { [workspace]: weight, rest: 100 });
          const many = idsOf(workspace, {
            [workspace]: weight + more,
            rest: 100,
          });
          expect(many.slice(0, few.length)).to.deep.equal(few);
        },
      ),
      { seed: 1, numRuns: 200 },
    );
  });
});
