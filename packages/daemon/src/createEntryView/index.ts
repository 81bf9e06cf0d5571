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

/** Queries on an entry's state that are needed to answer callers. */
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
   * Returns the home entries to which this entry should relay a request; empty
   * when this entry is a home itself or the token is missing or unknown.
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
  /** Entries that may be listed to callers; neither leaving nor suspected. */
  readonly liveEntries: () => readonly EntryAddress[];
  /** How long callers may cache the list of entries. */
  readonly entriesTtlMs: number;
  /** Returns a uniform number in [0, 1) that distributes callers over homes. */
  readonly random?: () => number;
}

/**
 * Creates the queries on an entry's state.
 *
 * Indexes are cached and rebuilt only when the part of the state that they are
 * derived from has changed.
 *
 * @param options - State, own address, live entries and settings.
 * @returns Functions that read the current state on each call.
 */
export function createEntryView(options: CreateEntryViewOptions): EntryView {
  const { self } = options;
  const indexedRows = memoizeByInput(
    (document: RootState['table']['document']) =>
      indexRows(document?.rows ?? []),
  );
  const servedNames = memoizeByInput((targets: RootState['targets']) => ({
    models: listServedNames(targets, 'engine'),
    services: listServedNames(targets, 'service'),
  }));
  const rows = () => indexedRows(options.state().table.document);

  const random = options.random ?? Math.random;
  const homes = (workspace: string) =>
    homesOf(workspace, listCandidateEntries(options), rows());
  const orderedHomes = (workspace: string, dataCentre: string | undefined) =>
    orderHomes(rotate(homes(workspace), random()), dataCentre);
  const workspaceOfToken = (token: string) =>
    findWorkspace(options.state().table, sha256Hex(token));

  return {
    findWorkspace: workspaceOfToken,
    relayHomesFor: (headers) => {
      const token = readBearerToken(headers);
      const workspace =
        token === undefined ? undefined : workspaceOfToken(token);
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
    models: () => servedNames(options.state().targets).models,
    services: () => servedNames(options.state().targets).services,
    findTarget: (targetId) => options.state().targets.byId.get(targetId),
    entriesFor: (workspace, dataCentre) => ({
      entries: orderedHomes(workspace, dataCentre).map(describeEntry),
      ttlMs: options.entriesTtlMs,
    }),
  };
}

/** Lists the live entries of this region, or all if the region has none. */
function listCandidateEntries(
  options: CreateEntryViewOptions,
): readonly EntryAddress[] {
  const live = options.liveEntries();
  const sameRegion = live.filter(
    (entry) => entry.region === options.self.region,
  );
  return sameRegion.length > 0 ? sameRegion : live;
}

function describeEntry(entry: EntryAddress): EntriesBody['entries'][number] {
  return {
    entryId: entry.entryId,
    url: `http://${entry.host}:${entry.httpPort}`,
    dataCentre: entry.dataCentre,
    region: entry.region,
  };
}

function listServedNames(
  targets: RootState['targets'],
  targetKind: Target['targetKind'],
): readonly string[] {
  const names = [...targets.byId.values()]
    .filter((target) => target.targetKind === targetKind)
    .flatMap((target) => target.serves);
  return [...new Set(names)].toSorted((a, b) => a.localeCompare(b));
}

/** Caches the last result and recomputes it when the input changes. */
function memoizeByInput<Input, Output>(
  compute: (input: Input) => Output,
): (input: Input) => Output {
  let cached: { readonly input: Input; readonly output: Output } | undefined;
  return (input) => {
    if (cached?.input !== input) cached = { input, output: compute(input) };
    return cached.output;
  };
}

function sha256Hex(text: string): string {
  return createHash('sha256').update(text).digest('hex');
}
