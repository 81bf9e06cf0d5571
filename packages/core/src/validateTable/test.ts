import { expect } from 'chai';
import { parseJsonc } from '@endivegate/contracts';
import { tableInputSchema, validateTable } from './index.ts';

const hash = 'a'.repeat(64);

describe('validateTable', () => {
  it('collects schema findings and cross-record findings with their location', () => {
    expect(
      validateTable({
        rows: [
          { workspace: 'a', service: '*', kind: '*', weight: -1, colour: 'x' },
          { workspace: 'b', service: '*', kind: '*' },
          { workspace: 'b', service: '*', kind: '*', deadlineMs: 0 },
          7,
        ],
        workspaces: [
          { workspace: 'a', tokenSha256: [hash] },
          { workspace: 'c', tokenSha256: [hash, 'short'] },
        ],
        extra: true,
      }),
    ).toMatchSnapshot();
  });

  it('accepts a table without findings', () => {
    expect(validateTable({})).toMatchSnapshot();
  });

  it('reports line and column in a file with comments', () => {
    const text = [
      '{',
      '  // weights of the week',
      '  "rows": [',
      '    { "workspace": "a", "service": "*", "kind": "*", "weight": "2" },',
      '    { "workspace": "*", "service": "*", "kind": "*" },',
      '    { "workspace": "*", "service": "*", "kind": "*" }',
      '  ]',
      '}',
    ].join('\n');
    expect(
      parseJsonc(text, tableInputSchema, { file: 'table.jsonc' }),
    ).toMatchSnapshot();
  });
});
