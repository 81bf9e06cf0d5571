import * as E from 'fp-ts/lib/Either.js';
import type { CliError } from '../cliError.ts';
import { EXIT_CODES } from '../exitCodes.ts';
import type { CommandArgs } from './command.ts';

/**
 * Makes the error of a wrong command line.
 *
 * @param message - What is wrong.
 * @returns The error.
 */
export function usageError(message: string): CliError {
  return { exitCode: EXIT_CODES.wrongCommandLine, message };
}

/**
 * Returns the text of an option.
 *
 * @param args - Arguments of the command.
 * @param name - Name of the option.
 * @returns The text, or undefined when the option is absent.
 */
export function textOption(
  args: CommandArgs,
  name: string,
): string | undefined {
  const value = args.values[name];
  return typeof value === 'string' ? value : undefined;
}

/**
 * Returns the text of an option that must be there.
 *
 * @param args - Arguments of the command.
 * @param name - Name of the option.
 * @returns The text, or the error of a wrong command line.
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
 * @returns The number, undefined when absent, or the error of a wrong command line.
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
 * Parses a whole number of the command line.
 *
 * @param text - Its text.
 * @param name - Its name for the error.
 * @returns The number, or the error of a wrong command line.
 */
export function parseWholeNumber(
  text: string,
  name: string,
): E.Either<CliError, number> {
  return /^\d{1,15}$/.test(text)
    ? E.right(Number(text))
    : E.left(usageError(`${name} must be a whole number`));
}
