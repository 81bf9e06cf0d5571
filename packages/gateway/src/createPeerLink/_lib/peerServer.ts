import { createServer, type RequestListener, type Server } from 'node:http';
import {
  encodeExactFields,
  type ForwardingConfig,
} from '@endivegate/contracts/forwarding';
import { MAX_PARSED_HEADER_BYTES } from '../../createCallerServer/index.ts';
import { answerJson } from '../../exchangeJson/index.ts';
import { readRelay } from '../../relayDialect/index.ts';
import { CONFIG_PATH } from './configExchange/index.ts';

/** Configurations sent at once. More would share the link, so that none ends in time. */
const MAX_CONFIG_RESPONSES = 6;

/** Options of {@link createPeerServer}. */
export interface CreatePeerServerOptions {
  /** Returns the active configuration, or undefined without one. */
  readonly currentConfig: () => ForwardingConfig | undefined;
  readonly serveRelayed: RequestListener;
}

/**
 * Creates the server from which peers fetch the active configuration, and to which
 * they relay requests while they reach no targets.
 */
export function createPeerServer(options: CreatePeerServerOptions): Server {
  const answerConfig = answerJson(CONFIG_PATH, options.currentConfig, {
    maxResponses: MAX_CONFIG_RESPONSES,
    encodeValue: encodeExactFields<ForwardingConfig>,
  });
  return createServer(
    {
      maxHeaderSize: MAX_PARSED_HEADER_BYTES,
      requestTimeout: 0,
      noDelay: true,
    },
    (request, response) => {
      const isRelayed = readRelay(request.headers) !== undefined;
      const answer = isRelayed ? options.serveRelayed : answerConfig;
      answer(request, response);
    },
  );
}
