import { createHash } from 'node:crypto';
import type { IncomingHttpHeaders } from 'node:http';
import type {
  EffectiveRow,
  EntriesBody,
  EntryAddress,
  TableRowKey,
  Target,
} from '@endivegate/contracts';
import { readBearerToken } from '../readBearerToken/index.ts';
import {
  DEFAULT_CELLS,
  DEFAULT_PROMPT_CELLS,
  findWorkspace,
  homesOf,
  indexRows,
  orderHomes,
  resolveRow,
  rotate,
  type RootState,
} from '@endivegate/core';

/** What is read from an entry's state to answer callers. */
export interface EntryView {
  /** Returns the workspace that a bearer token belongs to. */
  readonly findWorkspace: (token: string) => string | undefined;
  /** Returns the cells that apply to a prompt. */
  readonly resolvePromptRow: (key: TableRowKey) => EffectiveRow;
  /** Returns the cells that apply to a call of a plain service. */
  readonly resolveCallRow: (key: TableRowKey) => EffectiveRow;
  readonly models: () => readonly string[];
  readonly services: () => readonly string[];
  readonly entriesFor: (
    workspace: string,
    dataCentre: string | undefined,
  ) => EntriesBody;
  /**
   * Returns the entries that should serve a request in place of this one;
   * none when this entry is a home or the caller is not known.
   */
  readonly relayHomesFor: (
    headers: IncomingHttpHeaders,
  ) => readonly EntryAddress[];
  readonly findTarget: (targetId: string) => Target | undefined;
}

/** Options of {@link createEntryView}. */
export interface CreateEntryViewOptions {
  readonly state: () => RootState;
  readonly self: EntryAddress;
  /** Entries that may be named to callers; neither leaving nor suspected. */
  readonly liveEntries: () => readonly EntryAddress[];
  /** Time for which callers keep an answer about entries. */
  readonly entriesTtlMs: number;
  /** Uniform in [0, 1); spreads callers over the homes. */
  readonly random?: () => number;
}

/**
 * Creates the read side of an entry's state.
 *
 * Indexes are rebuilt only when the part of the state that they are made from
 * has changed.
 *
 * @param options - Where the state comes from.
 * @returns Functions that read the state as it is when they are called.
 */
export function createEntryView(options: CreateEntryViewOptions): EntryView {
  const { self } = options;
  const rowIndex = memoizeByInput((document: RootState['table']['document']) =>
    indexRows(document?.rows ?? []),
  );
  const served = memoizeByInput((targets: RootState['targets']) => ({
    models: namesServed(targets, 'engine'),
    services: namesServed(targets, 'service'),
  }));
  const rows = () => rowIndex(options.state().table.document);

  const random = options.random ?? Math.random;
  const homes = (workspace: string) =>
    homesOf(workspace, entriesInReach(options), rows());
  const orderedHomes = (workspace: string, dataCentre: string | undefined) =>
    orderHomes(rotate(homes(workspace), random()), dataCentre);
  const workspaceOf = (token: string) =>
    findWorkspace(options.state().table, sha256Hex(token));

  return {
    findWorkspace: workspaceOf,
    relayHomesFor: (headers) => {
      const token = readBearerToken(headers);
      const workspace = token === undefined ? undefined : workspaceOf(token);
      if (workspace === undefined) return [];
      const isHome = homes(workspace).some(
        (home) => home.entryId === self.entryId,
      );
      return isHome ? [] : orderedHomes(workspace, self.dataCentre);
    },
    resolvePromptRow: (key) =>
      resolveRow(rows(), key, { defaults: DEFAULT_PROMPT_CELLS }),
    resolveCallRow: (key) =>
      resolveRow(rows(), key, { defaults: DEFAULT_CELLS }),
    models: () => served(options.state().targets).models,
    services: () => served(options.state().targets).services,
    findTarget: (targetId) => options.state().targets.byId.get(targetId),
    entriesFor: (workspace, dataCentre) => ({
      entries: orderedHomes(workspace, dataCentre).map(describeEntry),
      ttlMs: options.entriesTtlMs,
    }),
  };
}

/** Entries that may serve callers here: those of the region, if any. */
function entriesInReach(
  options: CreateEntryViewOptions,
): readonly EntryAddress[] {
  const live = options.liveEntries();
  const near = live.filter((entry) => entry.region === options.self.region);
  return near.length > 0 ? near : live;
}

function describeEntry(entry: EntryAddress): EntriesBody['entries'][number] {
  return {
    entryId: entry.entryId,
    url: `http://${entry.host}:${entry.httpPort}`,
    dataCentre: entry.dataCentre,
    region: entry.region,
  };
}

function namesServed(
  targets: RootState['targets'],
  targetKind: Target['targetKind'],
): readonly string[] {
  const names = [...targets.byId.values()]
    .filter((target) => target.targetKind === targetKind)
    .flatMap((target) => target.serves);
  return [...new Set(names)].toSorted((a, b) => a.localeCompare(b));
}

/** Keeps the last result and computes anew only for another input. */
function memoizeByInput<Input, Output>(
  compute: (input: Input) => Output,
): (input: Input) => Output {
  let last: { readonly input: Input; readonly output: Output } | undefined;
  return (input) => {
    if (last?.input !== input) last = { input, output: compute(input) };
    return last.output;
  };
}

function sha256Hex(text: string): string {
  return createHash('sha256').update(text).digest('hex');
}
