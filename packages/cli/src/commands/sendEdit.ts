import {
  acceptedEditSchema,
  tableStatusBodySchema,
  type TableStatusBody,
} from '@endivegate/contracts';
import { pipe } from 'fp-ts/lib/function.js';
import * as T from 'fp-ts/lib/Task.js';
import * as TE from 'fp-ts/lib/TaskEither.js';
import type { CliError } from '../cliError.ts';
import { EXIT_CODES } from '../exitCodes.ts';
import { formatChanges } from '../formatChanges/index.ts';
import { textOption, wholeNumberOption } from './args.ts';
import type { CommandArgs, CommandContext, CommandResult } from './command.ts';

/** Options of every command that changes the table. */
export const EDIT_OPTIONS = {
  note: { type: 'string' },
  'edit-token': { type: 'string' },
  wait: { type: 'boolean' },
  'wait-seconds': { type: 'string' },
} as const;

/** Usage text of {@link EDIT_OPTIONS}. */
export const EDIT_USAGE =
  '[--note TEXT] [--edit-token T] [--wait [--wait-seconds N]]';

const DEFAULT_WAIT_SECONDS = 10;

/** Interval between two checks of which entries have a number in force. */
const POLL_INTERVAL_MS = 200;

/** An edit to send. */
export interface EditRequest {
  readonly path: string;
  readonly body: Readonly<Record<string, unknown>>;
}

/**
 * Sends an edit. With `--wait`, waits until every live entry has it in force,
 * for at most `--wait-seconds`.
 *
 * @param context - API client and clock.
 * @param args - Options of the command.
 * @param request - The edit.
 * @returns The accepted number, its changes and the entries that lag.
 */
export function sendEdit(
  context: CommandContext,
  args: CommandArgs,
  request: EditRequest,
): TE.TaskEither<CliError, CommandResult> {
  const editToken = textOption(args, 'edit-token') ?? context.newEditToken();
  return pipe(
    context.call({
      method: 'POST',
      path: request.path,
      body: {
        ...request.body,
        editToken,
        author: textOption(args, 'author') ?? context.author,
        note: textOption(args, 'note') ?? '',
      },
      schema: acceptedEditSchema,
    }),
    TE.mapLeft((error) =>
      error.exitCode === EXIT_CODES.inDoubt
        ? { ...error, message: `${error.message} (--edit-token ${editToken})` }
        : error,
    ),
    TE.chain((accepted) => {
      const text =
        accepted.changes.length === 0
          ? `nothing to change; number ${accepted.number} stays\n`
          : `${formatChanges(accepted.changes)}accepted as number ${accepted.number}\n`;
      const result: CommandResult = { text, json: accepted };
      return args.values.wait === true
        ? waitForEntries(context, args, { number: accepted.number, result })
        : TE.right(result);
    }),
  );
}

interface AcceptedEdit {
  readonly number: number;
  readonly result: CommandResult;
}

function waitForEntries(
  context: CommandContext,
  args: CommandArgs,
  edit: AcceptedEdit,
): TE.TaskEither<CliError, CommandResult> {
  return pipe(
    TE.fromEither(wholeNumberOption(args, 'wait-seconds')),
    TE.chain((seconds = DEFAULT_WAIT_SECONDS) =>
      pollStatus(context, edit.number, context.nowMs() + seconds * 1_000),
    ),
    TE.map((status) => describeStatus(status, edit)),
  );
}

function pollStatus(
  context: CommandContext,
  number: number,
  giveUpAtMs: number,
): TE.TaskEither<CliError, TableStatusBody> {
  return pipe(
    context.call({ path: '/v1/table/status', schema: tableStatusBodySchema }),
    TE.chain((status) => {
      const isDone = status.entries.every((entry) => entry.number >= number);
      if (isDone || context.nowMs() >= giveUpAtMs) return TE.right(status);
      return pipe(
        (() => context.sleep(POLL_INTERVAL_MS)) as T.Task<void>,
        T.chain(() => pollStatus(context, number, giveUpAtMs)),
      );
    }),
  );
}

function describeStatus(
  { entries }: TableStatusBody,
  { number, result }: AcceptedEdit,
): CommandResult {
  const lagging = entries.filter((entry) => entry.number < number);
  const inForce = entries.length - lagging.length;
  const names = lagging.map((entry) => `${entry.entryId} (${entry.number})`);
  const laggingText =
    names.length === 0 ? '' : `; lagging: ${names.join(', ')}`;
  return {
    text: `${result.text}in force on ${inForce} of ${entries.length} live entries${laggingText}\n`,
    json: { ...(result.json as object), inForce, lagging },
    exitCode: lagging.length === 0 ? EXIT_CODES.ok : EXIT_CODES.entriesLagging,
  };
}
