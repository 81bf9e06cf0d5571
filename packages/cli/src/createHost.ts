import * as E from 'fp-ts/lib/Either.js';
import { randomUUID } from 'node:crypto';
import { readFile } from 'node:fs/promises';
import { text as readStream } from 'node:stream/consumers';
import { setTimeout as sleep } from 'node:timers/promises';
import type { CliError } from './cliError.ts';
import { createAdminClient } from './createAdminClient/index.ts';
import { EXIT_CODES } from './exitCodes.ts';
import { DEFAULT_URL, type CommandLineHost } from './runCommandLine/index.ts';

/**
 * Creates the command line host for the current process.
 *
 * @returns The host, using the output, files and environment of the process.
 */
export function createHost(): CommandLineHost {
  return {
    writeOut: (text) => process.stdout.write(text),
    writeError: (text) => process.stderr.write(text),
    createContext: async ({ url, tokenFile }) => {
      const token = await readToken(tokenFile);
      if (E.isLeft(token)) return token;
      const rootUrl = url ?? process.env.ENDIVEGATE_URL ?? DEFAULT_URL;
      return E.right({
        call: createAdminClient({ url: rootUrl, token: token.right }),
        readText: (file) =>
          file === '-' ? readStream(process.stdin) : readFile(file, 'utf8'),
        sleep: async (delayMs) => {
          await sleep(delayMs);
        },
        nowMs: Date.now,
        newEditToken: randomUUID,
        author: process.env.USER ?? 'operator',
      });
    },
  };
}

/** Reads the token from a file or the environment; it is never an argument. */
async function readToken(
  file: string | undefined,
): Promise<E.Either<CliError, string>> {
  if (file === undefined) return E.right(process.env.ENDIVEGATE_TOKEN ?? '');
  try {
    return E.right((await readFile(file, 'utf8')).trim());
  } catch (error) {
    return E.left({
      exitCode: EXIT_CODES.invalidCommandLine,
      message: `Cannot read the token file: ${String(error)}`,
    });
  }
}
