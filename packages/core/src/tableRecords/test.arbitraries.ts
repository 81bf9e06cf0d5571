import fc from 'fast-check';
import { tableDocumentSchema, type TableDocument } from '@endivegate/contracts';
import { fromTableRecords, toTableRecords } from './index.ts';

const name = fc.constantFrom('*', 'a', 'b', 'c', 'kigali,1', 'x"y');

const row = fc.record(
  {
    workspace: name,
    service: name,
    kind: name,
    weight: fc.integer({ min: 1, max: 9 }),
    concurrency: fc.nat(100),
    deadlineMs: fc.integer({ min: 1, max: 1_000 }),
    repeatable: fc.boolean(),
  },
  { requiredKeys: ['workspace', 'service', 'kind'] },
);

const workspace = fc.record({
  workspace: name,
  tokenSha256: fc.array(fc.constantFrom('0'.repeat(64), 'a'.repeat(64)), {
    maxLength: 2,
  }),
});

const model = fc.record({
  model: name,
  version: fc.constantFrom('1', '2'),
  adapters: fc.array(fc.constantFrom('p', 'q'), { maxLength: 2 }),
  mixedEngines: fc.nat(9),
  longEngines: fc.nat(9),
  shortEngines: fc.nat(9),
});

/** Tables in canonical form; the few names make addresses collide often. */
export const tableDocumentArbitrary: fc.Arbitrary<TableDocument> = fc
  .record({
    rows: fc.array(row, { maxLength: 12 }),
    workspaces: fc.array(workspace, { maxLength: 4 }),
    models: fc.array(model, { maxLength: 4 }),
  })
  .map((document) =>
    tableDocumentSchema.parse(
      fromTableRecords(toTableRecords(document as TableDocument)),
    ),
  );
