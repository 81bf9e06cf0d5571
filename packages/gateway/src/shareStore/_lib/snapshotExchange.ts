import { createServer, request as httpRequest, type Server } from 'node:http';
import { decodeSnapshot, type TargetSnapshot } from './storeNews.ts';

const SNAPSHOT_PATH = '/targets';
const HTTP_OK = 200;
const NOT_FOUND = 404;

/** Many round trips, and the transfer of some hundred targets. */
const FETCH_TIMEOUT_MS = 800;

/** Creates the server from which entries fetch all targets. */
export function createSnapshotServer(
  current: () => TargetSnapshot | undefined,
): Server {
  return createServer((request, response) => {
    const snapshot = current();
    if (request.url !== SNAPSHOT_PATH || snapshot === undefined) {
      response.writeHead(NOT_FOUND, { connection: 'close' }).end();
      return;
    }
    response.writeHead(HTTP_OK, { connection: 'close' });
    response.end(JSON.stringify(snapshot));
  });
}

/**
 * Fetches all targets that a watcher knows.
 *
 * @param address - IP and port of the watcher.
 * @param done - Receives the snapshot, or the reason why there is none.
 */
export function fetchSnapshot(
  address: string,
  done: (result: TargetSnapshot | string) => void,
): void {
  const [host = '', port = ''] = address.split(':');
  let isOver = false;
  const finish = (result: TargetSnapshot | string): void => {
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
    { host, port: Number(port), path: SNAPSHOT_PATH, agent: false },
    (response) => {
      const chunks: Buffer[] = [];
      response.on('data', (chunk: Buffer) => chunks.push(chunk));
      response.on('error', (error) => {
        finish(error.message);
      });
      response.on('end', () => {
        const text = Buffer.concat(chunks).toString('utf8');
        finish(decodeSnapshot(text) ?? `status ${response.statusCode ?? 0}`);
      });
    },
  );
  call.on('error', (error) => {
    finish(error.message);
  });
  call.end();
}
