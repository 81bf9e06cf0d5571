import { expect } from 'chai';
import * as E from 'fp-ts/lib/Either.js';
import fc from 'fast-check';
import { exportTableCsv } from '../exportTableCsv/index.ts';
import { TABLE_SECTIONS } from '../tableRecords/index.ts';
import { tableDocumentArbitrary } from '../tableRecords/test.arbitraries.ts';
import { importTableCsv } from './index.ts';

describe('importTableCsv', () => {
  it('reads back what was exported', () => {
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

  it('escapes formulas on the way out and restores them', () => {
    const rows = [{ workspace: '=1+2', service: '@x', kind: '-' }];
    const csv = exportTableCsv({ rows, workspaces: [], models: [] }, 'rows');
    expect(csv).toMatchSnapshot();
    expect(importTableCsv(csv, 'rows')).to.deep.equal(E.right(rows));
  });

  it('reads a spreadsheet with its own column order and spelling', () => {
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

  it('reports text that is not CSV', () => {
    expect(importTableCsv('a,b\n"1,2\n', 'rows')).toMatchSnapshot();
  });
});
