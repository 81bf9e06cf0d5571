import * as E from 'fp-ts/lib/Either.js';
import type { CliError } from '../cliError.ts';
import { EXIT_CODES } from '../exitCodes.ts';
import type { CommandArgs } from './command.ts';

/**
 * Creates a usage error.
 *
 * @param message - Description of the error.
 * @returns The error.
 */
export function usageError(message: string): CliError {
  return { exitCode: EXIT_CODES.invalidCommandLine, message };
}

/**
 * Returns the text of an option.
 *
 * @param args - Arguments of the command.
 * @param name - Name of the option.
 * @returns The text, or `undefined` when the option is absent.
 */
export function textOption(
  args: CommandArgs,
  name: string,
): string | undefined {
  const value = args.values[name];
  return typeof value === 'string' ? value : undefined;
}

/**
 * Returns the text of a required option.
 *
 * @param args - Arguments of the command.
 * @param name - Name of the option.
 * @returns The text, or a usage error when the option is absent.
 */
export function requiredOption(
  args: CommandArgs,
  name: string,
): E.Either<CliError, string> {
  return E.fromNullable(usageError(`--${name} is missing`))(
    textOption(args, name),
  );
}

/**
 * Returns an option as a whole number.
 *
 * @param args - Arguments of the command.
 * @param name - Name of the option.
 * @returns The number, `undefined` when absent, or a usage error.
 */
export function wholeNumberOption(
  args: CommandArgs,
  name: string,
): E.Either<CliError, number | undefined> {
  const text = textOption(args, name);
  if (text === undefined) return E.right(undefined);
  return parseWholeNumber(text, `--${name}`);
}

/**
 * Parses a whole number from the command line.
 *
 * @param text - Text of the argument.
 * @param name - Name of the argument, used in the error message.
 * @returns The number, or a usage error.
 */
export function parseWholeNumber(
  text: string,
  name: string,
): E.Either<CliError, number> {
  return /^\d{1,15}$/.test(text)
    ? E.right(Number(text))
    : E.left(usageError(`${name} must be a whole number`));
}
