import { TABLE_MANIFEST_KEY, type PlatformPort } from '@endivegate/contracts';
import type { TableEffect, TableValue } from '@endivegate/core';
import * as E from 'fp-ts/lib/Either.js';
import type { EffectHandler, Runtime } from '../runtime/index.ts';
import type { AcceptedEdit } from './editTable/index.ts';
import { createTableCache } from './_lib/createTableCache.ts';
import { loadTable, type TableHead } from './_lib/loadTable.ts';
import { createPeerSource, createStoreSource } from './_lib/sources.ts';

import type { TablePeerPort } from './_lib/peerPort.ts';

export type { TableHead } from './_lib/loadTable.ts';
export type { TablePeerError, TablePeerPort } from './_lib/peerPort.ts';

/** How long the store holds a watch open while nothing changes. */
export const TABLE_WATCH_WAIT_MS = 25_000;

/** Timeout of a watch call, for a store that does not reply. */
export const TABLE_WATCH_TIMEOUT_MS = 30_000;

/** Options of {@link createTableHandler}. */
export interface CreateTableHandlerOptions {
  readonly platform: PlatformPort;
  readonly peers: TablePeerPort;
  /** Announces this entry's active version number to the other entries. */
  readonly announce: (number: number) => void;
}

/** Handles the table's effects and serves the table to peers. */
export interface TableHandler {
  readonly handle: EffectHandler;
  /** Activates an edit accepted by this entry, without reading it back. */
  readonly activateEdit: (edit: AcceptedEdit, runtime: Runtime) => void;
  /** Looks up an immutable value of the last two versions. */
  readonly cached: (key: string) => string | undefined;
  /** Answers a peer's `fetchHead` call. */
  readonly head: () => TableHead | undefined;
  /** Answers a peer's `fetchValues` call. */
  readonly values: (keys: readonly string[]) => readonly TableValue[];
}

/**
 * Creates the handler that loads and watches the table and serves it to peers.
 *
 * @param options - The platform, the peers and the announce function.
 * @returns The handler.
 */
export function createTableHandler(
  options: CreateTableHandlerOptions,
): TableHandler {
  const cache = createTableCache();
  let revision = 0;

  const load = async (
    effect: Extract<TableEffect, { type: 'table.load' }>,
    runtime: Runtime,
  ): Promise<void> => {
    const store = createStoreSource(options.platform);
    const peers = effect.peerIds.map((id) =>
      createPeerSource(options.peers, id),
    );
    const sources = effect.storeFirst ? [store, ...peers] : [...peers, store];
    const outcome = await loadTable(sources, {
      currentNumber: effect.currentNumber,
      wantedNumber: effect.wantedNumber,
      cached: cache.get,
    });
    if (outcome.type === 'loaded') {
      cache.install(outcome.head, outcome.values);
      runtime.dispatch({
        type: 'table.loaded',
        number: outcome.head.number,
        document: outcome.document,
      });
      return;
    }
    runtime.dispatch(
      outcome.type === 'nothingNew'
        ? { type: 'table.unchanged', number: outcome.number }
        : { type: 'table.loadFailed' },
    );
  };

  const watch = async (runtime: Runtime): Promise<void> => {
    const batch = await options.platform.watch(
      {
        prefix: TABLE_MANIFEST_KEY,
        afterRevision: revision,
        waitMs: TABLE_WATCH_WAIT_MS,
      },
      { purpose: 'table', timeoutMs: TABLE_WATCH_TIMEOUT_MS },
    )();
    if (E.isRight(batch)) revision = batch.right.revision;
    runtime.dispatch({
      type: 'table.watchEnded',
      outcome: E.isLeft(batch)
        ? 'failed'
        : batch.right.changes.length > 0
          ? 'changed'
          : 'idle',
    });
  };

  return {
    handle: (effect, runtime) => {
      if (effect.type === 'table.load') void load(effect, runtime);
      if (effect.type === 'table.watch') void watch(runtime);
      if (effect.type === 'table.announce') options.announce(effect.number);
    },
    activateEdit: (edit, runtime) => {
      if (edit.values === undefined) {
        runtime.dispatch({
          type: 'table.numberReported',
          number: edit.number,
          fromEntryId: 'store',
        });
        return;
      }
      const { number, rootKey, document } = edit;
      const values = edit.values.map(({ key, value }) => [key, value] as const);
      cache.install({ number, rootKey }, new Map(values));
      runtime.dispatch({ type: 'table.loaded', number, document });
    },
    cached: cache.get,
    head: cache.head,
    values: (keys) =>
      keys.flatMap((key) => {
        const value = cache.get(key);
        return value === undefined ? [] : [{ key, value }];
      }),
  };
}
