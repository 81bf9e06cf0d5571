import { expect } from 'chai';
import * as E from 'fp-ts/lib/Either.js';
import fc from 'fast-check';
import { tableDocumentSchema, type TableDocument } from '@endivegate/contracts';
import { diffTables } from '../diffTables/index.ts';
import { tableDocumentArbitrary } from '../tableRecords/test.arbitraries.ts';
import { mergeTables } from './index.ts';

const row = { workspace: 'a', service: '*', kind: '*' };
const empty: TableDocument = { rows: [], workspaces: [], models: [] };
const withRow = (cells: object): TableDocument => ({
  ...empty,
  rows: [{ ...row, ...cells }],
});
const base = withRow({ weight: 1, concurrency: 5 });

describe('mergeTables', () => {
  it('merges changes to different cells', () => {
    const mine = withRow({ weight: 2, concurrency: 5 });
    const theirs = withRow({ weight: 1, concurrency: 9, priority: 3 });
    expect(mergeTables({ base, mine, theirs })).toMatchSnapshot();
  });

  it('reports a conflict with both values if both sides changed a cell', () => {
    const mine = withRow({ weight: 2, concurrency: 5 });
    const theirs = withRow({ weight: 3, concurrency: 5 });
    expect(mergeTables({ base, mine, theirs })).toMatchSnapshot();
  });

  it('accepts a cell that both sides changed to the same value', () => {
    const mine = withRow({ weight: 2, concurrency: 5 });
    expect(mergeTables({ base, mine, theirs: mine })).to.deep.equal(
      E.right(mine),
    );
  });

  it('reports a conflict if one side removed a row that the other changed', () => {
    const changed = withRow({ weight: 1, concurrency: 5, priority: 3 });
    expect({
      removedByMe: mergeTables({ base, mine: empty, theirs: changed }),
      removedByThem: mergeTables({ base, mine: changed, theirs: empty }),
    }).toMatchSnapshot();
  });

  it('returns my table if their table equals the base', () => {
    fc.assert(
      fc.property(
        tableDocumentArbitrary,
        tableDocumentArbitrary,
        (theirs, mine) => {
          const merged = mergeTables({ base: theirs, mine, theirs });
          expect(
            E.map((table) => tableDocumentSchema.parse(table))(merged),
          ).to.deep.equal(E.right(mine));
        },
      ),
      { seed: 1, numRuns: 200 },
    );
  });

  it('keeps all changes of both sides or reports a conflict', () => {
    fc.assert(
      fc.property(
        fc.tuple(
          tableDocumentArbitrary,
          tableDocumentArbitrary,
          tableDocumentArbitrary,
        ),
        ([origin, mine, theirs]) => {
          const merged = mergeTables({ base: origin, mine, theirs });
          if (E.isLeft(merged)) {
            expect(merged.left).to.not.have.length(0);
            return;
          }
          const table = tableDocumentSchema.parse(merged.right);
          const expectedChanges = [
            ...diffTables(origin, mine),
            ...diffTables(origin, theirs),
          ].map(idOf);
          const actualChanges = diffTables(origin, table).map(idOf);
          expect(new Set(actualChanges)).to.deep.equal(
            new Set(expectedChanges),
          );
        },
      ),
      { seed: 2, numRuns: 300 },
    );
  });
});

function idOf(change: object): string {
  return JSON.stringify(change);
}
