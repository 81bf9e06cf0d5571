import { expect } from 'chai';
import * as E from 'fp-ts/lib/Either.js';
import fc from 'fast-check';
import type { TableDocument } from '@endivegate/contracts';
import { joinTable, readTableRoot } from '../joinTable/index.ts';
import { tableDocumentArbitrary } from '../tableRecords/test.arbitraries.ts';
import { splitTable } from './index.ts';

const largeTable: TableDocument = {
  rows: Array.from({ length: 4_000 }, (_, index) => ({
    workspace: `workspace-${index}`,
    service: '*',
    kind: '*',
    weight: 1,
  })),
  workspaces: [],
  models: [],
};

function readBack(document: TableDocument): E.Either<unknown, TableDocument> {
  const { written, rootKey } = splitTable(document, {
    token: 't',
    meanRecords: 3,
  });
  const values = new Map(written.map(({ key, value }) => [key, value]));
  return E.chainW((keys: readonly string[]) => joinTable(keys, values))(
    readTableRoot({ key: rootKey, value: values.get(rootKey) ?? '' }),
  );
}

describe('splitTable', () => {
  it('round-trips a table through chunks', () => {
    fc.assert(
      fc.property(tableDocumentArbitrary, (document) => {
        expect(readBack(document)).to.deep.equal(E.right(document));
      }),
      { seed: 1, numRuns: 200 },
    );
  });

  it('writes one chunk and the root for an edit of one cell', () => {
    const base = splitTable(largeTable, { token: 't1' });
    const rows = largeTable.rows.map((row, index) =>
      index === 1_234 ? { ...row, weight: 2 } : row,
    );
    const next = splitTable(
      { ...largeTable, rows },
      { token: 't2', baseChunkKeys: base.chunkKeys },
    );
    expect(base.written.length).to.be.above(8);
    expect(next.written).to.have.length(2);
  });

  it('limits the size of every value', () => {
    const { written } = splitTable(largeTable, {
      token: 't',
      meanRecords: 100_000,
      maxBytes: 20_000,
    });
    const sizes = written.map(({ value }) => Buffer.byteLength(value));
    expect(Math.max(...sizes)).to.be.at.most(20_000);
  });

  it('reports missing and damaged chunks instead of returning a partial table', () => {
    const { chunkKeys, written } = splitTable(largeTable, { token: 't' });
    const values = new Map(written.map(({ key, value }) => [key, value]));
    const first = chunkKeys[0]!;
    const without = new Map(values);
    without.delete(first);
    expect(joinTable(chunkKeys, without)).to.deep.equal(
      E.left({ type: 'missing', keys: [first] }),
    );
    expect(
      joinTable(chunkKeys, new Map(values).set(first, '{"rows":[]}')),
    ).to.deep.equal(E.left({ type: 'damaged', key: first }));
  });
});
