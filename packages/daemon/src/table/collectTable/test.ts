import { expect } from 'chai';
import * as E from 'fp-ts/lib/Either.js';
import {
  TABLE_CHUNK_PREFIX,
  TABLE_MANIFEST_KEY,
  type TableDocument,
} from '@endivegate/contracts';
import { editTable } from '../editTable/index.ts';
import {
  readManifest,
  readSnapshot,
  type TableSnapshot,
  type TableStore,
} from '../readTable/index.ts';
import { replaceTable } from '../replaceTable/index.ts';
import { createFakeStore } from '../test.fakeStore.ts';
import { collectTable, collectionPrefix } from './index.ts';

const HOUR_MS = 3_600_000;

function tableOf(weight: number): TableDocument {
  const row = { workspace: '*', service: '*', kind: '*', weight };
  return { rows: [row], workspaces: [], models: [] };
}

let draws = 0;

async function writeNumber(store: TableStore, number: number): Promise<void> {
  const change = replaceTable(store, {
    baseNumber: number - 1,
    document: tableOf(number),
    author: 'a',
  });
  await editTable(
    store,
    { editToken: `t${number}`, author: 'a', note: '', change },
    {
      nowUnixMs: () => number * 2 * HOUR_MS,
      random: () => ((draws += 1) * 0.618_033_988_749_895) % 1,
      sleep: () => Promise.resolve(),
    },
  )();
}

/** Writes numbers two hours apart, so that only 50 of them stay kept. */
async function writeNumbers(count: number) {
  const { platform, values } = createFakeStore();
  const store = { platform, cached: () => undefined };
  for (let number = 1; number <= count; number += 1) {
    await writeNumber(store, number);
  }
  return { store, values };
}

describe('collectTable', () => {
  it('deletes what no kept number names, and nothing else', async () => {
    const { store, values } = await writeNumbers(53);
    expect(await collectTable(store, TABLE_CHUNK_PREFIX)()).to.deep.equal(
      E.right(6),
    );
    expect(values.size).to.equal(101);
    const stored = await readManifest(store)();
    const history = E.isRight(stored) ? stored.right.manifest?.history : [];
    const kept = await Promise.all(
      (history ?? []).map((version) => readSnapshot(store, version)()),
    );
    expect(kept.every(E.isRight)).to.equal(true);
    expect(kept).to.have.length(50);
  });

  it('spares an edit that wrote its chunks but not yet the manifest', async () => {
    let isFirstSwap = true;
    const { platform } = createFakeStore({
      schedule: async (name) => {
        if (name !== `swap ${TABLE_MANIFEST_KEY}` || !isFirstSwap) return;
        isFirstSwap = false;
        await collectTable(store, TABLE_CHUNK_PREFIX)();
      },
    });
    const store = { platform, cached: () => undefined };
    await writeNumber(store, 1);
    isFirstSwap = true;
    await writeNumber(store, 2);
    const stored = await readManifest(store)();
    const newest = E.isRight(stored)
      ? stored.right.manifest?.history.at(-1)
      : undefined;
    const snapshot = await readSnapshot(store, newest)();
    expect(
      E.map(({ number }: TableSnapshot) => number)(snapshot),
    ).to.deep.equal(E.right(2));
  });
});

describe('collectionPrefix', () => {
  it('walks through the whole key space', () => {
    const prefixes = Array.from({ length: 64 }, (_, index) =>
      collectionPrefix(index),
    ).filter((prefix) => prefix !== undefined);
    expect(new Set(prefixes).size).to.equal(16);
  });
});
