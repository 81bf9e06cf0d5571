import type { TableRow } from '@endivegate/contracts';
import { expect } from 'chai';
import { indexRows } from '../indexRows/index.ts';
import { matchingRows, resolveRow } from './index.ts';

const row = (address: string, cells: Partial<TableRow>): TableRow => {
  const [workspace = '*', service = '*', kind = '*'] = address.split(' ');
  return { workspace, service, kind, ...cells };
};

const index = indexRows([
  row('* * *', { weight: 2, deadlineMs: 5_000 }),
  row('* m *', { deadlineMs: 9_000, priority: 1 }),
  row('a * *', { weight: 7, concurrency: 4 }),
  row('a m chat', { concurrency: 9 }),
  row('b m chat', { concurrency: 1 }),
]);

describe('resolveRow', () => {
  it('takes each cell from the most specific row that sets it', () => {
    const key = { workspace: 'a', service: 'm', kind: 'chat' };
    expect(resolveRow(index, key)).toMatchSnapshot();
    expect(matchingRows(index, key)).toMatchSnapshot();
  });

  it('falls back to the defaults if the table is empty', () => {
    const key = { workspace: 'z', service: 'z', kind: 'z' };
    expect(resolveRow(indexRows([]), key)).toMatchSnapshot();
  });

  it('prefers an exact workspace over an exact service', () => {
    const both = indexRows([
      row('a * *', { weight: 1 }),
      row('* m chat', { weight: 2 }),
    ]);
    const key = { workspace: 'a', service: 'm', kind: 'chat' };
    expect(resolveRow(both, key).weight).to.equal(1);
  });
});
