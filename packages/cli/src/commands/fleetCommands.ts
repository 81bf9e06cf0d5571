import {
  membersBodySchema,
  onceBodySchema,
  onceRecordSchema,
  ordersBodySchema,
  suspectsBodySchema,
  timelineBodySchema,
  type OnceRecord,
  type OrdersBody,
  type TimelineBody,
} from '@endivegate/contracts';
import * as E from 'fp-ts/lib/Either.js';
import { pipe } from 'fp-ts/lib/function.js';
import * as TE from 'fp-ts/lib/TaskEither.js';
import { z } from 'zod';
import type { CliError } from '../cliError.ts';
import { formatCell, formatColumns } from '../formatColumns/index.ts';
import { requiredOption, textOption, usageError } from './args.ts';
import type { Command, CommandArgs } from './command.ts';
import { parseSince } from './parseSince.ts';

const ONCE_COLUMNS = [
  'workspace',
  'service',
  'idempotencyKey',
  'state',
  'reason',
  'entryId',
  'targetId',
] as const;

const onceKeyOptions = {
  workspace: { type: 'string' },
  service: { type: 'string' },
  key: { type: 'string' },
} as const;

/** Commands for members, calls that run at most once, suspects, orders and the timeline. */
export const fleetCommands: readonly Command[] = [
  {
    name: 'members',
    usage: '',
    summary: 'list the entries as this entry sees them',
    options: {},
    positionals: [],
    run: ({ call }) =>
      pipe(
        call({ path: '/v1/members', schema: membersBodySchema }),
        TE.map((json) => ({
          json,
          text: formatColumns(json.members, [
            'entryId',
            'state',
            'region',
            'dataCentre',
            'incarnation',
          ]),
        })),
      ),
  },
  {
    name: 'orders',
    usage: '',
    summary: 'show the wanted and the actual state of models and engines',
    options: {},
    positionals: [],
    run: ({ call }) =>
      pipe(
        call({ path: '/v1/orders', schema: ordersBodySchema }),
        TE.map((json) => ({ json, text: formatOrders(json) })),
      ),
  },
  {
    name: 'once list',
    usage: '--workspace W [--service S] [--in-doubt]',
    summary: 'list calls that may not be repeated',
    options: { ...onceKeyOptions, 'in-doubt': { type: 'boolean' } },
    positionals: [],
    run: ({ call }, args) =>
      pipe(
        TE.fromEither(requiredOption(args, 'workspace')),
        TE.chain((workspace) =>
          call({
            path: '/v1/once',
            query: {
              workspace,
              service: textOption(args, 'service'),
              inDoubt: args.values['in-doubt'] === true ? 'true' : undefined,
            },
            schema: onceBodySchema,
          }),
        ),
        TE.map((json) => ({ json, text: formatClaims(json.records) })),
      ),
  },
  {
    name: 'once show',
    usage: '--workspace W --service S --key K',
    summary: 'show the record of one call',
    options: onceKeyOptions,
    positionals: [],
    run: ({ call }, args) =>
      pipe(
        TE.fromEither(onceKeyOf(args)),
        TE.chain((query) =>
          call({ path: '/v1/once/record', query, schema: onceRecordSchema }),
        ),
        TE.map((json) => ({ json, text: formatClaims([json]) })),
      ),
  },
  {
    name: 'once settle',
    usage: '--workspace W --service S --key K --outcome ran|notRun',
    summary: 'settle a call in doubt with the outcome known at the service',
    options: { ...onceKeyOptions, outcome: { type: 'string' } },
    positionals: [],
    run: ({ call, author }, args) =>
      pipe(
        TE.fromEither(onceKeyOf(args)),
        TE.bind('outcome', () => TE.fromEither(outcomeOf(args))),
        TE.chain((key) =>
          call({
            method: 'POST',
            path: '/v1/once/settlements',
            body: { ...key, by: textOption(args, 'author') ?? author },
            schema: onceRecordSchema,
          }),
        ),
        TE.map((json) => ({ json, text: formatClaims([json]) })),
      ),
  },
  {
    name: 'suspects list',
    usage: '',
    summary: 'list requests that were in flight at target crashes',
    options: {},
    positionals: [],
    run: ({ call }) =>
      pipe(
        call({ path: '/v1/suspects', schema: suspectsBodySchema }),
        TE.map((json) => ({
          json,
          text: formatColumns(json.suspects, [
            'fingerprint',
            'crashes',
            'refused',
            'expiresInMs',
          ]),
        })),
      ),
  },
  {
    name: 'suspects clear',
    usage: 'FINGERPRINT',
    summary: 'let a suspect request run again',
    options: {},
    positionals: ['FINGERPRINT'],
    run: ({ call }, { positionals }) =>
      pipe(
        call({
          method: 'DELETE',
          path: `/v1/suspects/${encodeURIComponent(positionals[0] ?? '')}`,
          schema: z.object({}),
        }),
        TE.map((json) => ({ json, text: 'cleared\n' })),
      ),
  },
  {
    name: 'timeline',
    usage:
      '[--request ID] [--workspace W] [--target T] [--since TIME|5m] [--limit N]',
    summary: 'show events of all entries in order',
    options: {
      request: { type: 'string' },
      workspace: { type: 'string' },
      target: { type: 'string' },
      since: { type: 'string' },
      limit: { type: 'string' },
    },
    positionals: [],
    run: ({ call, nowMs }, args) =>
      pipe(
        TE.fromEither(parseSince(textOption(args, 'since'), nowMs())),
        TE.chain((sinceUnixMs) =>
          call({
            path: '/v1/timeline',
            query: {
              requestId: textOption(args, 'request'),
              workspace: textOption(args, 'workspace'),
              targetId: textOption(args, 'target'),
              sinceUnixMs: sinceUnixMs?.toString(),
              limit: textOption(args, 'limit'),
            },
            schema: timelineBodySchema,
          }),
        ),
        TE.map((json) => ({ json, text: formatTimeline(json) })),
      ),
  },
];

function onceKeyOf(args: CommandArgs) {
  return pipe(
    E.Do,
    E.bind('workspace', () => requiredOption(args, 'workspace')),
    E.bind('service', () => requiredOption(args, 'service')),
    E.bind('idempotencyKey', () => requiredOption(args, 'key')),
  );
}

function outcomeOf(args: CommandArgs): E.Either<CliError, string> {
  const outcome = textOption(args, 'outcome');
  return outcome === 'ran' || outcome === 'notRun'
    ? E.right(outcome)
    : E.left(usageError('--outcome must be ran or notRun'));
}

function formatClaims(records: readonly OnceRecord[]): string {
  return formatColumns(records, ONCE_COLUMNS);
}

function formatOrders(orders: OrdersBody): string {
  const models = formatColumns(orders.models, [
    'model',
    'version',
    'wantedEngines',
    'servingEngines',
    'placer',
    'fencingNumber',
  ]);
  const engines = formatColumns(
    orders.engines.map(({ targetId, state, wanted, seen }) => ({
      targetId,
      state,
      wanted: wanted && formatAssignment(wanted),
      seen: seen && formatAssignment(seen),
    })),
    ['targetId', 'state', 'wanted', 'seen'],
  );
  return `${models}\n${engines}`;
}

type Assignment = NonNullable<OrdersBody['engines'][number]['seen']>;

function formatAssignment({ models, role }: Assignment): string {
  const servedModels = models.map(({ model, version, adapters }) =>
    [`${model}@${version}`, ...adapters].join('+'),
  );
  return `${role}:${servedModels.join(',')}`;
}

function formatTimeline({ records, gaps }: TimelineBody): string {
  const eventLines = records.map(({ wallMs, counter, entryId, event }) => {
    const { type, ...fields } = event;
    const details = Object.entries(fields)
      .map(([name, value]) => `${name}=${formatCell(value)}`)
      .join(' ');
    const time = `${new Date(wallMs).toISOString()}+${counter}`;
    return `${time}  ${entryId}  ${formatCell(type)}  ${details}\n`;
  });
  const gapLines = gaps.map(
    ({ entryId, reason }) => `(no events of ${entryId}: ${reason})\n`,
  );
  return [...eventLines, ...gapLines].join('');
}
