import { createServer, request as httpRequest, type Server } from 'node:http';
import {
  type ForwardingConfig,
  forwardingConfigSchema,
} from '@endivegate/contracts/forwarding';

const CONFIG_PATH = '/config';
const HTTP_OK = 200;
const NOT_FOUND = 404;

/** Allows for many round trips and the transfer of a large configuration. */
const FETCH_TIMEOUT_MS = 1500;

/**
 * Creates the server from which peers fetch the active configuration.
 *
 * @param current - Returns the active configuration, or undefined without one.
 * @returns The server, not yet listening.
 */
export function createConfigServer(
  current: () => ForwardingConfig | undefined,
): Server {
  return createServer((request, response) => {
    const config = current();
    if (request.url !== CONFIG_PATH || config === undefined) {
      response.writeHead(NOT_FOUND).end();
      return;
    }
    response.writeHead(HTTP_OK, { connection: 'close' });
    response.end(JSON.stringify(config));
  });
}

/**
 * Fetches the configuration of a peer.
 *
 * @param address - IP and port of the peer.
 * @param done - Receives the configuration, or an error message.
 */
export function fetchConfig(
  address: string,
  done: (result: ForwardingConfig | string) => void,
): void {
  const [host = '', port = ''] = address.split(':');
  let isOver = false;
  const finish = (result: ForwardingConfig | string): void => {
    if (isOver) return;
    isOver = true;
    clearTimeout(timer);
    call.destroy();
    done(result);
  };
  const timer = setTimeout(() => {
    finish('request timed out');
  }, FETCH_TIMEOUT_MS);
  const call = httpRequest(
    { host, port: Number(port), path: CONFIG_PATH, agent: false },
    (response) => {
      const chunks: Buffer[] = [];
      response.on('data', (chunk: Buffer) => chunks.push(chunk));
      response.on('error', (error) => {
        finish(error.message);
      });
      response.on('end', () => {
        finish(readConfig(response.statusCode, Buffer.concat(chunks)));
      });
    },
  );
  call.on('error', (error) => {
    finish(error.message);
  });
  call.end();
}

function readConfig(
  status: number | undefined,
  bytes: Buffer,
): ForwardingConfig | string {
  if (status !== HTTP_OK) return `unexpected status ${status ?? 0}`;
  try {
    const parsed = forwardingConfigSchema.safeParse(
      JSON.parse(bytes.toString('utf8')),
    );
    return parsed.success ? parsed.data : parsed.error.message;
  } catch (error) {
    return String(error);
  }
}
