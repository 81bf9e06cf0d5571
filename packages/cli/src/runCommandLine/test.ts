import { expect } from 'chai';
import type { TableDocument } from '@endivegate/contracts';
import * as E from 'fp-ts/lib/Either.js';
import type { CliError } from '../cliError.ts';
import type { AdminCall, AdminClient } from '../createAdminClient/index.ts';
import { runCommandLine } from './index.ts';
import type { z } from 'zod';

const row = { workspace: 'a', service: '*', kind: '*', weight: 1 };
const document: TableDocument = {
  rows: [row, { workspace: '*', service: 'm', kind: 'chat', deadlineMs: 900 }],
  workspaces: [{ workspace: 'a', tokenSha256: [] }],
  models: [],
};
const change = {
  section: 'rows',
  address: ['a', '*', '*'],
  cell: 'weight',
  before: 1,
  after: 2,
};
const answers: Readonly<Record<string, unknown>> = {
  '/v1/table': { number: 7, document },
  '/v1/table/in-force': { number: 6, document },
  '/v1/table/numbers/5': { number: 5, document: { ...document, rows: [row] } },
  '/v1/table/edits': { number: 8, changes: [change] },
  '/v1/table/replacements': { number: 8, changes: [change] },
  '/v1/table/rollbacks': { number: 8, changes: [change] },
  '/v1/table/history': {
    versions: [{ number: 7, author: 'ann', note: 'n', atUnixMs: 0 }],
  },
  '/v1/table/status': {
    number: 8,
    entries: [
      { entryId: 'e1', dataCentre: 'd1', number: 8 },
      { entryId: 'e2', dataCentre: 'd2', number: 7 },
    ],
  },
  '/v1/suspects': {
    suspects: [
      { fingerprint: 'f1', crashes: 2, refused: true, expiresInMs: 900 },
    ],
  },
  '/v1/suspects/f%2F1': {},
  '/v1/members': {
    members: [
      {
        entryId: 'e1',
        incarnation: 3,
        region: 'r',
        dataCentre: 'd1',
        state: 'live',
      },
    ],
  },
  '/v1/orders': {
    models: [{ model: 'm', version: '1', wantedEngines: 2, servingEngines: 1 }],
    engines: [
      {
        targetId: 't1',
        state: 'ordered',
        wanted: {
          models: [{ model: 'm', version: '1', adapters: ['x'] }],
          role: 'long',
        },
      },
    ],
  },
  '/v1/timeline': {
    records: [
      {
        wallMs: 0,
        counter: 1,
        entryId: 'e1',
        event: { type: 'request.ended', requestId: 'r1' },
      },
    ],
    gaps: [{ entryId: 'e2', reason: 'dead' }],
  },
};

interface Outcome {
  readonly exitCode: number;
  readonly out: string;
  readonly error: string;
  readonly calls: readonly unknown[];
}

async function run(
  argv: readonly string[],
  options: {
    readonly files?: Readonly<Record<string, string>>;
    readonly failure?: CliError;
  } = {},
): Promise<Outcome> {
  const calls: unknown[] = [];
  let out = '';
  let error = '';
  let nowMs = 0;
  const call: AdminClient =
    <Schema extends z.ZodType>({ schema, ...request }: AdminCall<Schema>) =>
    () => {
      if (request.method !== undefined) calls.push(request);
      return Promise.resolve(
        options.failure !== undefined && request.method !== undefined
          ? E.left(options.failure)
          : E.right(schema.parse(answers[request.path])),
      );
    };
  const exitCode = await runCommandLine(argv, {
    writeOut: (text) => (out += text),
    writeError: (text) => (error += text),
    createContext: () =>
      Promise.resolve(
        E.right({
          call,
          readText: (file) => {
            const text = options.files?.[file];
            return text === undefined
              ? Promise.reject(new Error('absent'))
              : Promise.resolve(text);
          },
          sleep: (delayMs) => {
            nowMs += delayMs;
            return Promise.resolve();
          },
          nowMs: () => nowMs,
          newEditToken: () => 'token-001',
          author: 'ann',
        }),
      ),
  });
  return { exitCode, out, error, calls };
}

const editedTable = {
  ...document,
  baseNumber: 5,
  rows: [{ ...row, weight: 2 }],
};

describe('runCommandLine', () => {
  it('prints help and version', async () => {
    expect((await run(['--help'])).out).toMatchSnapshot();
    expect((await run(['table', 'set', '--help'])).out).toMatchSnapshot();
    expect((await run(['--version'])).out).toMatchSnapshot();
  });

  it('exits with 2 on an invalid command line', async () => {
    const lines = [
      ['fly'],
      ['table', 'set'],
      ['table', 'set', 'weight'],
      ['table', 'rollback', 'last'],
      ['table', 'apply'],
      ['table', 'show', '--colour', 'red'],
      ['once', 'show', '--workspace', 'a'],
      ['once', 'settle', '--workspace', 'a', '--service', 's', '--key', 'k'],
      ['timeline', '--since', 'yesterday'],
    ];
    const outcomes = await Promise.all(lines.map((argv) => run(argv)));
    expect(outcomes.map(({ exitCode }) => exitCode)).to.deep.equal(
      lines.map(() => 2),
    );
    expect(outcomes.map(({ error }) => error)).toMatchSnapshot();
  });

  it('prints the output of show, export, list and clear commands', async () => {
    const lines = [
      ['table', 'show'],
      ['table', 'show', '--workspace', 'a', '--json'],
      ['table', 'export', '--format', 'csv'],
      ['table', 'export'],
      ['table', 'history'],
      ['members'],
      ['orders'],
      ['suspects', 'list'],
      ['suspects', 'clear', 'f/1'],
      ['timeline', '--since', '5m'],
    ];
    const outcomes = await Promise.all(lines.map((argv) => run(argv)));
    expect(outcomes).toMatchSnapshot();
  });

  it('sends changed cells with their previous values', async () => {
    const set = await run([
      'table',
      'set',
      '--workspace',
      'a',
      'weight=2',
      'priority=3',
      'deadlineMs=',
    ]);
    const remove = await run(['table', 'set', '--workspace', 'a', '--remove']);
    const edit = await run(['table', 'edit', 'edits.jsonc'], {
      files: {
        'edits.jsonc':
          '[{ "address": ["b", "*", "*"], /* new */ "cells": { "weight": 4 } }]',
      },
    });
    expect({ set, remove, edit }).toMatchSnapshot();
  });

  it('previews and merges a whole table based on an older number', async () => {
    const files = { 'table.jsonc': JSON.stringify(editedTable) };
    const diff = await run(['table', 'diff', 'table.jsonc'], { files });
    const apply = await run(['table', 'apply', 'table.jsonc'], { files });
    const noBase = await run(['table', 'apply', 'table.jsonc'], {
      files: { 'table.jsonc': JSON.stringify(document) },
    });
    expect({ diff, apply, noBase }).toMatchSnapshot();
  });

  it('prints every finding of a file with its location', async () => {
    const { exitCode, error } = await run(['table', 'apply', 'bad.jsonc'], {
      files: {
        'bad.jsonc':
          '{\n "baseNumber": "x",\n "rows": [{ "workspace": "a" }],\n "x": 1\n}',
      },
    });
    expect({ exitCode, error }).toMatchSnapshot();
  });

  it('lists the entries that still lag after --wait', async () => {
    const { exitCode, out } = await run(['table', 'rollback', '7', '--wait']);
    expect({ exitCode, out }).toMatchSnapshot();
  });

  it('prints conflicts with both values and authors', async () => {
    const { exitCode, error } = await run(
      ['table', 'set', '--workspace', 'a', 'weight=2'],
      {
        failure: {
          exitCode: 3,
          message: 'Others changed the same cells; nothing was changed.',
          conflicts: [
            {
              section: 'rows',
              address: ['a', '*', '*'],
              cell: 'weight',
              before: 1,
              mine: 2,
              mineAuthor: 'ann',
              theirs: 3,
              theirsAuthor: 'ben',
            },
          ],
        },
      },
    );
    expect({ exitCode, error }).toMatchSnapshot();
  });

  it('prints the token for resending an edit in doubt', async () => {
    const { exitCode, error } = await run(['table', 'rollback', '7'], {
      failure: { exitCode: 6, message: 'No reply.' },
    });
    expect({ exitCode, error }).toMatchSnapshot();
  });
});
