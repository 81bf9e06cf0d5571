/**
 * A stand-in of a server: signs its answers, checks which instance a request
 * expects, and keeps its entry in the store with a heartbeat.
 */
import { createServer } from 'node:http';

/** `HeartbeatMs` of the deployments. */
const HEARTBEAT_MS = 1200;

let starts = 0;

/**
 * @param options.idPrefix start of the ids of the server's instances
 * @param options.handle called with each request that the server begins to run;
 *   it answers with `answer(status, text)`
 */
export async function startServer({
  host,
  store,
  service,
  zone,
  slots = 6,
  idPrefix = '',
  handle,
}) {
  const nextId = () => {
    starts += 1;
    return `${idPrefix}i-${starts.toString(16).padStart(8, '0')}`;
  };
  let id = nextId();
  let bornMs = Date.now();
  let state = 'ready';
  let sequence = 0;
  let isUp = true;
  let beat;
  const sockets = new Set();

  const server = createServer({ noDelay: true }, (request, response) => {
    const chunks = [];
    request.on('data', (chunk) => chunks.push(chunk));
    request.on('end', () => {
      const { headers } = request;
      const attempt = headers['endivegate-attempt-id'];
      if (attempt !== undefined) {
        response.setHeader('Endivegate-Attempt-Id', attempt);
      }
      const expected = headers['endivegate-expect-instance'];
      if (expected !== undefined && expected !== id) {
        response.writeHead(421, { 'Endivegate-Instance-Id': id }).end();
        return;
      }
      if (request.url === '/healthz') {
        const status = state === 'ready' ? 200 : 503;
        response.writeHead(status, { 'Endivegate-Instance-Id': id }).end();
        return;
      }
      response.setHeader('Endivegate-Server-Stamp', `${id}.${sequence}`);
      handle({
        id,
        request,
        response,
        attempt,
        body: Buffer.concat(chunks).toString(),
        self,
        answer(status, text) {
          if (!response.destroyed) response.writeHead(status).end(text);
        },
        refuse() {
          response.setHeader('Endivegate-Not-Executed', '1');
          response.removeHeader('Endivegate-Server-Stamp');
          if (!response.destroyed) response.writeHead(503).end();
        },
      });
    });
  });
  server.keepAliveTimeout = 5000;
  server.on('connection', (socket) => {
    sockets.add(socket);
    socket.on('error', () => undefined);
    socket.on('close', () => sockets.delete(socket));
  });
  await new Promise((resolve) => server.listen(0, host, resolve));
  const { port } = server.address();
  let publicAddress = `${host}:${port}`;

  function write() {
    if (!isUp) return;
    sequence += 1;
    store.put(`servers/${id}`, {
      Service: service,
      Address: publicAddress,
      Zone: zone,
      Version: 'v1',
      Slots: slots,
      State: state,
      WarmupLeftMs: 0,
      Sequence: sequence,
      born: bornMs,
    });
  }

  const self = {
    id: () => id,
    address: `${host}:${port}`,
    /** Address under which the server is listed, if that of a proxy. */
    listAs(address) {
      publicAddress = address;
    },
    register() {
      write();
      clearInterval(beat);
      beat = setInterval(write, HEARTBEAT_MS);
    },
    drain() {
      state = 'draining';
      write();
    },
    /** Ends at once, resets its connections, and is back as a new instance. */
    crash(backInMs) {
      if (!isUp) return;
      isUp = false;
      const gone = id;
      server.close();
      sockets.forEach((socket) => socket.resetAndDestroy());
      clearInterval(beat);
      // The entry of a silent server lapses after three heartbeats.
      setTimeout(() => store.remove(`servers/${gone}`), 3 * HEARTBEAT_MS);
      setTimeout(() => {
        id = nextId();
        bornMs = Date.now();
        sequence = 0;
        isUp = true;
        server.listen(port, host, () => self.register());
      }, backInMs);
    },
    isUp: () => isUp,
    /** Goes on serving without a heartbeat. */
    stopBeat: () => clearInterval(beat),
    close() {
      isUp = false;
      clearInterval(beat);
      sockets.forEach((socket) => socket.destroy());
      server.close();
    },
  };
  return self;
}
