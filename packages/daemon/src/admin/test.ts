import { expect } from 'chai';
import * as TE from 'fp-ts/lib/TaskEither.js';
import { TABLE_MANIFEST_KEY } from '@endivegate/contracts';
import { createTableAdmin } from '../createTableAdmin/index.ts';
import {
  createFakeStore,
  type CreateFakeStoreOptions,
} from '../table/test.fakeStore.ts';
import { createAdminServer, type AdminPorts } from './index.ts';

const TOKEN = 'operators-token';
const notFound = TE.left({ type: 'notFound', reason: 'none' } as const);

function setUp(options: CreateFakeStoreOptions = {}) {
  const { platform } = createFakeStore(options);
  let randomCalls = 0;
  const ports: AdminPorts = {
    table: createTableAdmin({
      store: { platform, cached: () => undefined },
      activeNumber: () => 0,
      onAccepted: () => undefined,
      nowUnixMs: () => 1_000,
      random: () => ((randomCalls += 1) * 0.618_033_988_749_895) % 1,
      sleep: () => Promise.resolve(),
    }),
    activeTable: () => ({
      number: 0,
      document: { rows: [], workspaces: [], models: [] },
    }),
    tableStatus: () => ({ number: 0, entries: [] }),
    members: () => ({ members: [] }),
    once: {
      list: () => TE.right([]),
      show: () => notFound,
      settle: () =>
        TE.left({ type: 'conflict', reason: 'the call is running' }),
    },
    suspects: {
      list: () => ({ suspects: [] }),
      clear: () => TE.right(undefined),
    },
    orders: () => ({ models: [], engines: [] }),
    timeline: () => TE.right({ records: [], gaps: [] }),
  };
  const server = createAdminServer({ token: TOKEN, ports });
  const call = async (
    method: 'GET' | 'POST' | 'DELETE',
    url: string,
    payload?: object,
    token = TOKEN,
  ): Promise<{ readonly status: number; readonly body: unknown }> => {
    const reply = await server.inject({
      method,
      url,
      headers: { authorization: `Bearer ${token}` },
      ...(payload === undefined ? {} : { payload }),
    });
    return { status: reply.statusCode, body: reply.json() };
  };
  return { call, server };
}

const row = { workspace: '*', service: '*', kind: '*', weight: 1 };
const head = { author: 'ann', note: 'first' };
const firstTable = {
  ...head,
  editToken: 'token-001',
  baseNumber: 0,
  document: { rows: [row] },
};
const weightEdit = (editToken: string, before: number, after: number) => ({
  ...head,
  editToken,
  changes: [
    {
      section: 'rows',
      address: ['*', '*', '*'],
      cell: 'weight',
      before,
      after,
    },
  ],
});

describe('createAdminServer', () => {
  it('rejects every call without the token', async () => {
    const { call, server } = setUp();
    const replies = await Promise.all([
      call('GET', '/v1/table', undefined, 'wrong'),
      call('POST', '/v1/table/edits', {}, ''),
      server.inject({ method: 'GET', url: '/v1/members' }),
      server.inject({ method: 'GET', url: '/nowhere' }),
    ]);
    expect(
      replies.map((reply) =>
        'status' in reply ? reply.status : reply.statusCode,
      ),
    ).to.deep.equal([401, 401, 401, 401]);
  });

  it('accepts a table, edits it and keeps its history', async () => {
    const { call } = setUp();
    expect([
      await call('POST', '/v1/table/replacements', firstTable),
      await call('POST', '/v1/table/edits', weightEdit('token-002', 1, 2)),
      await call('POST', '/v1/table/rollbacks', {
        ...head,
        editToken: 'token-003',
        number: 1,
      }),
      await call('GET', '/v1/table/history'),
      await call('GET', '/v1/table/numbers/2'),
      await call('GET', '/v1/table/numbers/9'),
    ]).toMatchSnapshot();
  });

  it('reports conflicts and findings', async () => {
    const { call } = setUp();
    await call('POST', '/v1/table/replacements', firstTable);
    await call('POST', '/v1/table/edits', weightEdit('token-002', 1, 2));
    expect([
      await call('POST', '/v1/table/edits', weightEdit('token-003', 1, 3)),
      await call('POST', '/v1/table/edits', weightEdit('token-004', 2, -3)),
      await call('POST', '/v1/table/replacements', {
        ...firstTable,
        editToken: 'x',
        document: { rows: [{ ...row, weight: 'much' }, row] },
      }),
      await call('POST', '/v1/table/replacements', {
        ...firstTable,
        editToken: 'token-005',
        document: { rows: [{ ...row, weight: 'much' }, row] },
      }),
    ]).toMatchSnapshot();
  });

  it('distinguishes an edit in doubt from a store error', async () => {
    let isDown = false;
    const { call } = setUp({
      fault: (name) => {
        if (isDown) return 'unreachable';
        isDown = name === `swap ${TABLE_MANIFEST_KEY}`;
        return isDown ? 'replyLost' : 'none';
      },
    });
    expect([
      await call('POST', '/v1/table/replacements', firstTable),
      await call('GET', '/v1/table'),
    ]).toMatchSnapshot();
  });

  it('serves the fleet routes', async () => {
    const { call } = setUp();
    const key = { workspace: 'w', service: 's', idempotencyKey: 'k' };
    expect([
      await call('GET', '/v1/members'),
      await call('GET', '/v1/orders'),
      await call('GET', '/v1/suspects'),
      await call('DELETE', '/v1/suspects/f1'),
      await call('GET', '/v1/timeline?workspace=w&limit=5'),
      await call('GET', '/v1/timeline?limit=-1&colour=red'),
      await call('GET', '/v1/once?workspace=w'),
      await call(
        'GET',
        `/v1/once/record?${new URLSearchParams(key).toString()}`,
      ),
      await call('POST', '/v1/once/settlements', {
        ...key,
        outcome: 'ran',
        by: 'ann',
      }),
    ]).toMatchSnapshot();
  });
});
