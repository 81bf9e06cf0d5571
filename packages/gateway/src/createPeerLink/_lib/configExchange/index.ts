import {
  exactFields,
  type ForwardingConfig,
  forwardingConfigSchema,
  wireIntegerSchema,
} from '@endivegate/contracts/forwarding';
import * as E from 'fp-ts/lib/Either.js';
import {
  type FetchError,
  type Fetched,
  fetchJson,
} from '../../../exchangeJson/index.ts';

/** Path of the configuration at a peer. */
export const CONFIG_PATH = '/config';

/** Allows for many round trips and the transfer of a large configuration. Another peer
 * is asked long before. */
const FETCH_TIMEOUT_MS = 1500;

/**
 * Fetches the configuration of a peer.
 *
 * @param address - IP and port of the peer.
 * @param done - Receives the configuration, or why there is none.
 */
export function fetchConfig(
  address: string,
  done: (result: E.Either<FetchError, Fetched<ForwardingConfig>>) => void,
): void {
  const source = { address, path: CONFIG_PATH, timeoutMs: FETCH_TIMEOUT_MS };
  fetchJson(source, decodeReceivedConfig, done);
}

/** Builds before `requiresKeys` do not say whether keys are needed. A version that an
 * earlier build has rounded is refused. */
const receivedSchema = exactFields(
  forwardingConfigSchema
    .extend({ version: wireIntegerSchema })
    .partial({ requiresKeys: true }),
);

/**
 * Reads the configuration that a peer sends. Without workspaces, one of an earlier build
 * may need keys or not. It is not used, so that the entry asks another peer or the store.
 *
 * @param value - The parsed JSON.
 * @returns The configuration, or the reason why it is not used.
 */
export function decodeReceivedConfig(
  value: unknown,
): E.Either<string, ForwardingConfig> {
  const parsed = receivedSchema.safeParse(value);
  if (!parsed.success) return E.left(parsed.error.message);
  const { requiresKeys, ...config } = parsed.data;
  if (requiresKeys !== undefined) return E.right({ ...config, requiresKeys });
  return config.workspaces.length > 0
    ? E.right({ ...config, requiresKeys: true })
    : E.left('does not say whether requests need keys');
}
