import type { TableDocument, TableRow } from '@endivegate/contracts';
import { reduce, initialRootState, splitTable } from '@endivegate/core';
import type { Figures } from '../figures.ts';
import { cpuUsPerCall, usedHeapBytes } from './heap.ts';

const KINDS = ['chat', 'summary', 'review'];
const SERVICES = ['model-a', 'model-b'];
const INSTALLS = 5;

function tableRow(index: number, weight: number): TableRow {
  const kind = KINDS[index % KINDS.length] ?? 'chat';
  const service =
    SERVICES[Math.floor(index / KINDS.length) % SERVICES.length] ?? '';
  const workspace = `workspace-${Math.floor(index / 6)}`;
  return {
    workspace,
    service,
    kind,
    weight,
    concurrency: 20,
    tokensPerSecond: 4_000,
    deadlineMs: 30_000,
    priority: 5,
  };
}

function document(rows: number, editedWeight: number): TableDocument {
  return {
    rows: Array.from({ length: rows }, (_, index) =>
      tableRow(index, index === 7 ? editedWeight : 1),
    ),
    workspaces: [],
    models: [],
  };
}

/** Measures an entry that holds the table and installs a change of one row. */
export function measureTable(rows: number): Figures {
  const started = reduce(initialRootState, {
    type: 'entry.started',
    atMs: 0,
    random: 0,
    self: {
      entryId: 'a',
      incarnation: 1,
      region: 'r',
      dataCentre: 'd',
      host: 'h',
      httpPort: 1,
      peerPort: 1,
    },
  }).state;
  const first = splitTable(document(rows, 1), { token: 'a' });
  const second = splitTable(document(rows, 2), {
    token: 'b',
    baseChunkKeys: first.chunkKeys,
  });
  const sizeOf = (values: readonly { readonly value: string }[]) =>
    values.reduce((sum, { value }) => sum + value.length, 0);
  const texts = first.values.map(({ value }) => value);
  const before = usedHeapBytes();
  let state = install(started, 1, parse(texts));
  const stateBytes = usedHeapBytes() - before;
  const installUs = cpuUsPerCall(INSTALLS, (call) => {
    state = install(state, call + 2, parse(texts));
  });
  return {
    stateBytes,
    tableBytes: sizeOf(first.values),
    changedBytes: sizeOf(second.written),
    changedValues: second.written.length,
    installCpuUs: installUs,
  };
}

function parse(texts: readonly string[]): TableDocument {
  const parts = texts.map((text) => JSON.parse(text) as Partial<TableDocument>);
  return {
    rows: parts.flatMap((part) => part.rows ?? []),
    workspaces: [],
    models: [],
  };
}

function install(
  state: typeof initialRootState,
  number: number,
  table: TableDocument,
) {
  return reduce(state, {
    type: 'table.loaded',
    atMs: number,
    random: 0.5,
    number,
    document: table,
  }).state;
}
