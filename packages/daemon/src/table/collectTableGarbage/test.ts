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
import { collectTableGarbage, dueCollectionPrefix } from './index.ts';

const HOUR_MS = 3_600_000;

function tableWithWeight(weight: number): TableDocument {
  const row = { workspace: '*', service: '*', kind: '*', weight };
  return { rows: [row], workspaces: [], models: [] };
}

let randomCalls = 0;

async function writeVersion(store: TableStore, number: number): Promise<void> {
  const change = replaceTable(store, {
    baseNumber: number - 1,
    document: tableWithWeight(number),
    author: 'a',
  });
  await editTable(
    store,
    { editToken: `t${number}`, author: 'a', note: '', change },
    {
      nowUnixMs: () => number * 2 * HOUR_MS,
      random: () => ((randomCalls += 1) * 0.618_033_988_749_895) % 1,
      sleep: () => Promise.resolve(),
    },
  )();
}

/** Writes versions two hours apart, so that the history keeps only 50. */
async function writeVersions(count: number) {
  const { platform, values } = createFakeStore();
  const store = { platform, cached: () => undefined };
  for (let number = 1; number <= count; number += 1) {
    await writeVersion(store, number);
  }
  return { store, values };
}

describe('collectTableGarbage', () => {
  it('deletes only values that no version in the history refers to', async () => {
    const { store, values } = await writeVersions(53);
    expect(
      await collectTableGarbage(store, TABLE_CHUNK_PREFIX)(),
    ).to.deep.equal(E.right(6));
    expect(values.size).to.equal(101);
    const stored = await readManifest(store)();
    const history = E.isRight(stored) ? stored.right.manifest?.history : [];
    const kept = await Promise.all(
      (history ?? []).map((version) => readSnapshot(store, version)()),
    );
    expect(kept.every(E.isRight)).to.equal(true);
    expect(kept).to.have.length(50);
  });

  it('does not break an edit that wrote its chunks but not yet the manifest', async () => {
    let isFirstSwap = true;
    const { platform } = createFakeStore({
      schedule: async (name) => {
        if (name !== `swap ${TABLE_MANIFEST_KEY}` || !isFirstSwap) return;
        isFirstSwap = false;
        await collectTableGarbage(store, TABLE_CHUNK_PREFIX)();
      },
    });
    const store = { platform, cached: () => undefined };
    await writeVersion(store, 1);
    isFirstSwap = true;
    await writeVersion(store, 2);
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

describe('dueCollectionPrefix', () => {
  it('covers the whole key space', () => {
    const prefixes = Array.from({ length: 64 }, (_, index) =>
      dueCollectionPrefix(index),
    ).filter((prefix) => prefix !== undefined);
    expect(new Set(prefixes).size).to.equal(16);
  });
});
