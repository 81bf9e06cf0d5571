/**
 * Compares conflict detection by the table's manifest with an alternative that
 * keeps a change sequence number per cell, and measures edits per second. Both
 * apply the same edits from one seed, in one run.
 */
import {
  TABLE_MANIFEST_KEY,
  tableDocumentSchema,
  type TableChange,
  type TableDocument,
} from '@endivegate/contracts';
import {
  changeTable,
  editTable,
  readManifest,
  readSnapshot,
  replaceTable,
  type EditTableOptions,
  type TableStore,
} from '@endivegate/daemon';
import * as E from 'fp-ts/lib/Either.js';
import { mkdirSync, writeFileSync } from 'node:fs';
import { dirname } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { parseArgs } from 'node:util';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { createMemoryStore, type MemoryStore } from './memoryStore.ts';
import { createSequenceTable } from './sequenceTable.ts';

const { values } = parseArgs({
  options: {
    workspaces: { type: 'string', default: '100,340,1000' },
    rounds: { type: 'string', default: '10' },
    out: { type: 'string', default: 'bench/results/table.json' },
  },
});

const OPERATORS = 4;
const CELLS_PER_EDIT = 3;
const STORE_LATENCY_MS = 2;

function createRandom(seed: number): () => number {
  const generator = xoroshiro128plus(seed);
  return () => ((generator.next() >>> 0) / 2 ** 32) % 1;
}

function tableOf(workspaces: number): TableDocument {
  const names = Array.from({ length: workspaces }, (_, i) => `workspace-${i}`);
  return tableDocumentSchema.parse({
    rows: names.flatMap((workspace) =>
      ['chat', 'summary', 'review'].map((kind) => ({
        workspace,
        service: '*',
        kind,
        weight: 1,
        concurrency: 10,
        deadlineMs: 30_000,
      })),
    ),
    workspaces: names.map((workspace, i) => ({
      workspace,
      tokenSha256: [i.toString(16).padStart(64, '0')],
    })),
  });
}

function pickChanges(
  document: TableDocument,
  random: () => number,
): readonly TableChange[] {
  const hotRows = 40;
  const rows = new Set(
    Array.from({ length: CELLS_PER_EDIT }, () =>
      Math.floor(random() * hotRows),
    ),
  );
  return [...rows].map((index) => {
    const row = document.rows[index]!;
    return {
      section: 'rows',
      address: [row.workspace, row.service, row.kind],
      cell: 'concurrency',
      before: row.concurrency ?? null,
      after: Math.floor(random() * 1_000),
    };
  });
}

interface EditContext {
  readonly store: MemoryStore;
  readonly tableStore: TableStore;
  readonly options: EditTableOptions;
}

async function readCurrentTable({
  tableStore,
}: EditContext): Promise<TableDocument> {
  const stored = await readManifest(tableStore)();
  if (E.isLeft(stored)) throw new Error(stored.left.type);
  const newest = stored.right.manifest?.history.at(-1);
  const snapshot = await readSnapshot(tableStore, newest)();
  if (E.isLeft(snapshot)) throw new Error(snapshot.left.type);
  return snapshot.right.document;
}

async function measureEdits(workspaces: number, rounds: number) {
  const random = createRandom(7);
  const store = createMemoryStore(STORE_LATENCY_MS);
  const cache = new Map<string, string>();
  const tableStore: TableStore = {
    platform: store.platform,
    cached: (key) => {
      const known = cache.get(key) ?? store.values.get(key)?.value;
      if (known !== undefined) cache.set(key, known);
      return known;
    },
  };
  const context: EditContext = {
    store,
    tableStore,
    options: { nowUnixMs: Date.now, random, sleep },
  };
  const document = tableOf(workspaces);
  await editTable(
    tableStore,
    {
      editToken: 'first',
      author: 'first',
      note: '',
      change: replaceTable(tableStore, {
        baseNumber: 0,
        document,
        author: 'first',
      }),
    },
    context.options,
  )();
  const alternative = createSequenceTable(document);
  const initialBytes = store.counts.writtenBytes;
  const initialWrites = store.counts.writes;
  let accepted = 0;
  let conflicts = 0;
  let overwritten = 0;
  let alternativeMs = 0;
  const startMs = performance.now();
  for (let round = 0; round < rounds; round += 1) {
    const baseDocument = await readCurrentTable(context);
    const edits = Array.from({ length: OPERATORS }, () =>
      pickChanges(baseDocument, random),
    );
    const outcomes = await Promise.all(
      edits.map((changes, operator) =>
        editTable(
          tableStore,
          {
            editToken: `edit-${round}-${operator}`,
            author: `operator-${operator}`,
            note: '',
            change: changeTable(tableStore, changes, `operator-${operator}`),
          },
          context.options,
        )(),
      ),
    );
    accepted += outcomes.filter(E.isRight).length;
    conflicts += outcomes.filter(
      (outcome) => E.isLeft(outcome) && outcome.left.type === 'conflicts',
    ).length;
    const alternativeStartMs = performance.now();
    const overwrittenCells = edits.map((changes, operator) =>
      alternative.apply(changes, round * OPERATORS + operator),
    );
    alternativeMs += performance.now() - alternativeStartMs;
    overwritten += overwrittenCells.filter((cells) => cells > 0).length;
  }
  const totalMs = performance.now() - startMs - alternativeMs;
  const edits = rounds * OPERATORS;
  return {
    workspaces,
    rows: document.rows.length,
    edits,
    tableBytes: Buffer.byteLength(JSON.stringify(document)),
    manifestBytes: Buffer.byteLength(
      store.values.get(TABLE_MANIFEST_KEY)?.value ?? '',
    ),
    sequenceTableBytes: alternative.bytes(),
    accepted,
    conflictsNamed: conflicts,
    sequenceEditsThatOverwrote: overwritten,
    writesPerAccepted: (store.counts.writes - initialWrites) / accepted,
    writtenBytesPerAccepted:
      (store.counts.writtenBytes - initialBytes) / accepted,
    acceptedPerSecond: (accepted / totalMs) * 1_000,
    millisecondsPerEdit: totalMs / edits,
    sequenceMillisecondsPerEdit: alternativeMs / edits,
  };
}

async function main(): Promise<void> {
  const results = [];
  for (const workspaces of values.workspaces.split(',').map(Number)) {
    const result = await measureEdits(workspaces, Number(values.rounds));
    results.push(
      Object.fromEntries(
        Object.entries(result).map(([name, value]) => [
          name,
          Math.round(value * 1_000) / 1_000,
        ]),
      ),
    );
  }
  console.table(results);
  mkdirSync(dirname(values.out), { recursive: true });
  writeFileSync(values.out, `${JSON.stringify(results, undefined, 2)}\n`);
}

void main();
