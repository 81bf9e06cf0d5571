/** Stand-ins of the platform's servers for plain calls. */
import http from 'node:http';
import { serverEntry } from './common.mjs';

const HEARTBEAT_MS = 1200;

/** How long a crashed server is away: "the server is back after some seconds". */
const AWAY_MS = 3000;

/**
 * Starts servers that register themselves in the store.
 *
 * @param options - `run` gets each request that is run, and answers it with
 * `reply(status, body)`, or crashes its server with `crash()`.
 */
export async function startServers({
  store,
  count,
  service,
  zones = ['zone-a', 'zone-b', 'zone-c'],
  slots = 6,
  run,
}) {
  let number = 0;
  let isOver = false;

  function listen(host, port) {
    return new Promise((resolve, reject) => {
      const server = http.createServer();
      server.keepAliveTimeout = 5000;
      server.once('error', reject);
      server.listen(port, host, () => resolve(server));
    });
  }

  async function start(zone, port = 0) {
    number += 1;
    const id = `i-${service}-${number}`;
    const server = await listen('127.0.0.1', port);
    const self = { id, zone, port: server.address().port, born: Date.now() };
    const address = `127.0.0.1:${self.port}`;
    const value = serverEntry({
      service,
      address,
      zone,
      slots,
      born: self.born,
    });
    let beat;
    const key = `servers/${id}`;
    const tellAlive = () => store.put(key, value);

    function crash() {
      if (self.isDead) return;
      self.isDead = true;
      clearInterval(beat);
      server.close();
      server.closeAllConnections();
      // Nothing is said: the entry ends after three silent heartbeats.
      setTimeout(() => isOver || store.remove(key), 3 * HEARTBEAT_MS);
      setTimeout(() => {
        if (!isOver) void start(zone, self.port);
      }, AWAY_MS);
    }

    server.on('request', (request, response) => {
      const chunks = [];
      request.on('data', (chunk) => chunks.push(chunk));
      request.on('end', () => {
        const attempt = request.headers['endivegate-attempt-id'] ?? '';
        const expected = request.headers['endivegate-expect-instance'];
        const base = { 'Endivegate-Attempt-Id': attempt };
        if (expected !== undefined && expected !== id) {
          response.writeHead(421, base).end();
          return;
        }
        run({
          server: self,
          request,
          attempt,
          body: Buffer.concat(chunks),
          crash,
          reply(status, body, headers = {}) {
            if (response.destroyed) return;
            response.writeHead(status, {
              ...base,
              'Endivegate-Server-Stamp': `${id}.${attempt}`,
              'Content-Length': Buffer.byteLength(body),
              ...headers,
            });
            response.end(body);
          },
        });
      });
    });
    server.closeIt = () => {
      clearInterval(beat);
      server.close();
      server.closeAllConnections();
    };
    running.add(server);
    tellAlive();
    beat = setInterval(tellAlive, HEARTBEAT_MS);
  }

  const running = new Set();
  for (let at = 0; at < count; at += 1) await start(zones[at % zones.length]);
  return {
    close() {
      isOver = true;
      running.forEach((server) => server.closeIt());
    },
  };
}
