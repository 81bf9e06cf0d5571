import { readFile } from 'node:fs/promises';
import {
  type Finding,
  parseJsonc,
  type SecretSource,
  type Settings,
  settingsSchema,
} from '@endivegate/contracts';
import * as E from 'fp-ts/lib/Either.js';

/** Settings and the secrets that they refer to. */
export interface LoadedSettings {
  readonly settings: Settings;
  readonly operatorToken: string;
  /** Key that signs membership datagrams; they are unsigned when absent. */
  readonly peerKey: string | undefined;
}

/** Options of {@link loadSettings}. */
export interface LoadSettingsOptions {
  readonly environment?: Readonly<Record<string, string | undefined>>;
}

/**
 * Reads and validates the settings of an entry and loads their secrets.
 *
 * @param file - Path of the settings file, JSON with comments.
 * @param options - Environment variables that may contain secrets.
 * @returns The settings with their secrets, or all findings.
 */
export async function loadSettings(
  file: string,
  options: LoadSettingsOptions = {},
): Promise<E.Either<readonly Finding[], LoadedSettings>> {
  const environment = options.environment ?? process.env;
  const text = await readText(file);
  if (E.isLeft(text)) return E.left([createFileFinding(file, text.left)]);
  const settings = parseJsonc(text.right, settingsSchema, { file });
  if (E.isLeft(settings)) return settings;
  const { operators, peers } = settings.right;
  const read = (source: SecretSource) => readSecret(source, environment);
  const token = await read(operators.token);
  const key =
    peers.key === undefined ? E.right(undefined) : await read(peers.key);
  if (E.isRight(token) && E.isRight(key)) {
    return E.right({
      settings: settings.right,
      operatorToken: token.right,
      peerKey: key.right,
    });
  }
  return E.left([
    ...listSecretFindings(token, { file, path: 'operators.token' }),
    ...listSecretFindings(key, { file, path: 'peers.key' }),
  ]);
}

function listSecretFindings(
  secret: E.Either<string, unknown>,
  location: Pick<Finding, 'file' | 'path'>,
): readonly Finding[] {
  if (E.isRight(secret)) return [];
  return [
    { ...createFileFinding(location.file, secret.left), path: location.path },
  ];
}

async function readSecret(
  source: SecretSource,
  environment: Readonly<Record<string, string | undefined>>,
): Promise<E.Either<string, string>> {
  if ('env' in source) {
    const value = environment[source.env];
    return value === undefined || value === ''
      ? E.left(`environment variable ${source.env} is not set`)
      : E.right(value);
  }
  const text = await readText(source.file);
  if (E.isLeft(text)) return text;
  const secret = text.right.trim();
  return secret === '' ? E.left(`${source.file} is empty`) : E.right(secret);
}

async function readText(file: string): Promise<E.Either<string, string>> {
  try {
    return E.right(await readFile(file, 'utf8'));
  } catch (error) {
    return E.left(error instanceof Error ? error.message : 'cannot be read');
  }
}

function createFileFinding(file: string, message: string): Finding {
  return { file, line: 1, column: 1, path: '', message };
}
