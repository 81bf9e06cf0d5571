import { expect } from 'chai';
import * as TE from 'fp-ts/lib/TaskEither.js';
import {
  TABLE_MANIFEST_KEY,
  type EntryAddress,
  type PlatformPort,
  type TableDocument,
} from '@endivegate/contracts';
import { splitTable } from '@endivegate/core';
import { createRuntime, type Runtime } from '../runtime/index.ts';
import { createTableHandler, type TableHandler } from './index.ts';

type Values = Map<string, string>;

const document: TableDocument = {
  rows: [{ workspace: '*', service: '*', kind: '*', weight: 1 }],
  workspaces: [],
  models: [],
};

/** Creates the stored values of a table with version number `number`. */
function storedTable(number: number): Values {
  const { rootKey, written } = splitTable(
    { ...document, rows: [{ ...document.rows[0]!, weight: number }] },
    { token: `t${number}` },
  );
  const version = {
    number,
    rootKey,
    editToken: 't',
    author: 'a',
    note: '',
    atUnixMs: 0,
  };
  const manifest = { history: [version], collections: 0 };
  return new Map([
    ...written.map(({ key, value }) => [key, value] as const),
    [TABLE_MANIFEST_KEY, JSON.stringify(manifest)],
  ]);
}

interface FakeStore {
  values: Values;
  isDown: boolean;
}

function createPlatform(store: FakeStore): PlatformPort {
  const get: PlatformPort['get'] = (key) => {
    const value = store.values.get(key);
    if (store.isDown) return TE.left({ type: 'unreachable' });
    return TE.right(
      value === undefined ? undefined : { key, value, version: 1 },
    );
  };
  const never = () => () => new Promise<never>(() => undefined);
  return { get, watch: never } as unknown as PlatformPort;
}

interface Entry {
  readonly handler: TableHandler;
  readonly runtime: Runtime;
  readonly start: () => Promise<void>;
  readonly announceNumber: (
    number: number,
    fromEntryId: string,
  ) => Promise<void>;
  readonly announced: number[];
}

function createEntry(
  entryId: string,
  store: FakeStore,
  peers: Map<string, TableHandler>,
): Entry {
  const announced: number[] = [];
  const handler = createTableHandler({
    platform: createPlatform(store),
    announce: (number) => announced.push(number),
    peers: {
      fetchHead: (id) => TE.right(peers.get(id)?.head()),
      fetchValues: (id, keys) => TE.right(peers.get(id)?.values(keys) ?? []),
    },
  });
  peers.set(entryId, handler);
  const runtime = createRuntime({
    handlers: { table: handler.handle },
    nowMs: () => 0,
    random: () => 0,
  });
  const self = addressOf(entryId);
  return {
    handler,
    runtime,
    announced,
    start: async () => {
      runtime.dispatch({ type: 'entry.started', self });
      runtime.dispatch({
        type: 'members.changed',
        live: ['entry-1', 'entry-2'].map(addressOf),
        leaving: [],
        dead: [],
      });
      await flushPromises();
    },
    announceNumber: async (number, fromEntryId) => {
      runtime.dispatch({ type: 'table.numberReported', number, fromEntryId });
      await flushPromises();
    },
  };
}

function addressOf(entryId: string): EntryAddress {
  return {
    entryId,
    incarnation: 1,
    region: 'north',
    dataCentre: 'dc-1',
    host: '127.0.0.1',
    httpPort: 1,
    peerPort: 2,
  };
}

/** Waits until all pending promises of the fakes have settled. */
async function flushPromises(): Promise<void> {
  await new Promise((resolve) => setImmediate(resolve));
}

describe('createTableHandler', () => {
  it('loads the whole table from the store and announces it', async () => {
    const store = { values: storedTable(7), isDown: false };
    const entry = createEntry('entry-1', store, new Map());
    await entry.start();
    expect(entry.runtime.state().table.document?.rows).toMatchSnapshot();
    expect(entry.announced).to.deep.equal([7]);
  });

  it('loads the table from a peer at startup while the store is down', async () => {
    const store = { values: storedTable(7), isDown: false };
    const peers = new Map<string, TableHandler>();
    await createEntry('entry-1', store, peers).start();
    store.isDown = true;
    const latecomer = createEntry('entry-2', store, peers);
    await latecomer.start();
    await latecomer.announceNumber(7, 'entry-1');
    expect(latecomer.runtime.state().table.number).to.equal(7);
  });

  it('loads a newer version from a peer when the store goes down after the change', async () => {
    const store = { values: storedTable(7), isDown: false };
    const peers = new Map<string, TableHandler>();
    const first = createEntry('entry-1', store, peers);
    const second = createEntry('entry-2', store, peers);
    await first.start();
    await second.start();
    store.values = storedTable(8);
    await first.announceNumber(8, 'operator');
    store.isDown = true;
    await second.announceNumber(8, 'entry-1');
    expect(second.runtime.state().table.number).to.equal(8);
    expect(second.handler.head()?.number).to.equal(8);
  });

  it('loads no table when a chunk is missing from every source', async () => {
    const values = storedTable(7);
    const chunk = [...values.keys()][0]!;
    values.delete(chunk);
    const entry = createEntry('entry-1', { values, isDown: false }, new Map());
    await entry.start();
    expect(entry.runtime.state().table.number).to.equal(0);
  });

  it('rejects a chunk whose content does not match the hash in its key', async () => {
    const values = storedTable(7);
    const chunk = [...values.keys()][0]!;
    values.set(chunk, JSON.stringify(document));
    const entry = createEntry('entry-1', { values, isDown: false }, new Map());
    await entry.start();
    expect(entry.runtime.state().table.number).to.equal(0);
  });
});
