import { expect } from 'chai';
import * as E from 'fp-ts/lib/Either.js';
import fc from 'fast-check';
import { exportTableCsv } from '../exportTableCsv/index.ts';
import { TABLE_SECTIONS } from '../tableRecords/index.ts';
import { tableDocumentArbitrary } from '../tableRecords/test.arbitraries.ts';
import { importTableCsv } from './index.ts';

describe('importTableCsv', () => {
  it('round-trips exported tables', () => {
    fc.assert(
      fc.property(tableDocumentArbitrary, (document) => {
        TABLE_SECTIONS.forEach((section) => {
          const csv = exportTableCsv(document, section);
          expect(importTableCsv(csv, section)).to.deep.equal(
            E.right(document[section]),
          );
        });
      }),
      { seed: 1, numRuns: 100 },
    );
  });

  it('escapes formulas on export and restores them on import', () => {
    const rows = [{ workspace: '=1+2', service: '@x', kind: '-' }];
    const csv = exportTableCsv({ rows, workspaces: [], models: [] }, 'rows');
    expect(csv).toMatchSnapshot();
    expect(importTableCsv(csv, 'rows')).to.deep.equal(E.right(rows));
  });

  it('accepts any column order, a byte order mark and upper-case booleans', () => {
    const csv =
      '\uFEFFkind,service,workspace,repeatable,weight\r\n*,m,a,TRUE, 2\r\n';
    expect(importTableCsv(csv, 'rows')).toMatchSnapshot();
  });

  it('collects findings with line and column', () => {
    const csv =
      'workspace,service,kind,weight,colour\na,*,*,many,red\n,*,*,1,\n';
    expect(
      importTableCsv(csv, 'rows', { file: 'table.csv' }),
    ).toMatchSnapshot();
  });

  it('reports invalid CSV', () => {
    expect(importTableCsv('a,b\n"1,2\n', 'rows')).toMatchSnapshot();
  });
});
