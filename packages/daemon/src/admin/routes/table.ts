import {
  tableEditBodySchema,
  tableReplacementBodySchema,
  tableRollbackBodySchema,
  type TableBody,
  type TableVersion,
} from '@endivegate/contracts';
import { validateTable } from '@endivegate/core';
import type { FastifyInstance, FastifyReply } from 'fastify';
import * as E from 'fp-ts/lib/Either.js';
import { pipe } from 'fp-ts/lib/function.js';
import type { TaskEither } from 'fp-ts/lib/TaskEither.js';
import * as TE from 'fp-ts/lib/TaskEither.js';
import { z } from 'zod';
import type {
  AcceptedEdit,
  EditTableError,
} from '../../table/editTable/index.ts';
import type { TableSnapshot } from '../../table/readTable/index.ts';
import type { AdminPorts } from '../_lib/ports.ts';
import { checkInput, describeEditError, sendError } from '../_lib/replies.ts';

const numberParamsSchema = z.object({
  number: z.coerce.number().int().nonnegative(),
});

/**
 * Registers the routes for the table.
 *
 * @param server - The operators' server.
 * @param ports - Functions of the entry.
 */
export function registerTableRoutes(
  server: FastifyInstance,
  ports: AdminPorts,
): void {
  server.get('/v1/table', async (_request, reply) =>
    sendRead(reply, pipe(ports.table.read(), TE.map(describeSnapshot))),
  );
  server.get('/v1/table/in-force', () => ports.activeTable());
  server.get('/v1/table/status', () => ports.tableStatus());
  server.get('/v1/table/history', async (_request, reply) =>
    sendRead(
      reply,
      pipe(
        ports.table.history,
        TE.map((versions) => ({ versions: versions.map(describeVersion) })),
      ),
    ),
  );
  server.get('/v1/table/numbers/:number', async (request, reply) => {
    const params = checkInput(numberParamsSchema, request.params);
    if (E.isLeft(params)) return sendError(reply, params.left);
    const read = ports.table.read(params.right.number);
    return sendRead(reply, pipe(read, TE.map(describeSnapshot)));
  });
  registerEdits(server, ports);
}

function registerEdits(server: FastifyInstance, ports: AdminPorts): void {
  server.post('/v1/table/edits', async (request, reply) => {
    const body = checkInput(tableEditBodySchema, request.body);
    if (E.isLeft(body)) return sendError(reply, body.left);
    const { changes, ...head } = body.right;
    return sendEdit(reply, ports.table.edit(head, changes));
  });
  server.post('/v1/table/replacements', async (request, reply) => {
    const body = checkInput(tableReplacementBodySchema, request.body);
    if (E.isLeft(body)) return sendError(reply, body.left);
    const { baseNumber, document, ...head } = body.right;
    const table = validateTable(document);
    if (E.isLeft(table)) {
      const findings = table.left;
      return sendError(reply, describeEditError({ type: 'invalid', findings }));
    }
    return sendEdit(reply, ports.table.replace(head, baseNumber, table.right));
  });
  server.post('/v1/table/rollbacks', async (request, reply) => {
    const body = checkInput(tableRollbackBodySchema, request.body);
    if (E.isLeft(body)) return sendError(reply, body.left);
    const { number, ...head } = body.right;
    return sendEdit(reply, ports.table.rollBack(head, number));
  });
}

function describeVersion(version: TableVersion) {
  const { number, author, note, atUnixMs } = version;
  return { number, author, note, atUnixMs };
}

function describeSnapshot({ number, document }: TableSnapshot): TableBody {
  return { number, document };
}

async function sendEdit(
  reply: FastifyReply,
  edit: TaskEither<EditTableError, AcceptedEdit>,
): Promise<FastifyReply> {
  const outcome = await edit();
  if (E.isLeft(outcome))
    return sendError(reply, describeEditError(outcome.left));
  const { number, changes } = outcome.right;
  return reply.send({ number, changes });
}

async function sendRead(
  reply: FastifyReply,
  read: TaskEither<EditTableError, unknown>,
): Promise<FastifyReply> {
  const outcome = await read();
  return E.isLeft(outcome)
    ? sendError(reply, describeEditError(outcome.left))
    : reply.send(outcome.right);
}
