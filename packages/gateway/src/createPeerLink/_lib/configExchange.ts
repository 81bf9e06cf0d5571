import {
  type ForwardingConfig,
  forwardingConfigSchema,
} from '@endivegate/contracts/forwarding';
import * as E from 'fp-ts/lib/Either.js';
import {
  type FetchError,
  type Fetched,
  fetchJson,
} from '../../exchangeJson/index.ts';

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
  fetchJson(source, decodeConfig, done);
}

function decodeConfig(value: unknown): E.Either<string, ForwardingConfig> {
  const parsed = forwardingConfigSchema.safeParse(value);
  return parsed.success ? E.right(parsed.data) : E.left(parsed.error.message);
}
