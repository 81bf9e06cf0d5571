import { expect } from 'chai';
import type { RequestListener } from 'node:http';
import { connect, type Socket } from 'node:net';
import {
  sign,
  startTestGateway,
  testConfig,
  type TestGateway,
} from '../testGateway/index.ts';

const HEAD = 'GET /1 HTTP/1.1\r\nHost: api.example\r\nx-request: a1\r\n\r\n';

const FIRST_EVENT = 'id: 1\ndata: e1\n\n';
const HEADER_TIMEOUT_MS = 300;

/** A caller that writes bytes as it likes, and all that it received. */
interface RawCaller {
  readonly socket: Socket;
  readonly received: () => string;
  readonly closed: Promise<void>;
}

function connectCaller(port: number, allowHalfOpen = false): RawCaller {
  const socket = connect({ port, host: '127.0.0.1', allowHalfOpen });
  const chunks: Buffer[] = [];
  socket.on('data', (chunk: Buffer) => chunks.push(chunk));
  socket.on('error', () => undefined);
  return {
    socket,
    received: () => Buffer.concat(chunks).toString('latin1'),
    closed: new Promise((resolve) => {
      socket.on('close', () => {
        resolve();
      });
    }),
  };
}

const settle = (ms: number) =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

const streamForever: RequestListener = (request, response) => {
  sign(request, response);
  response.write(FIRST_EVENT);
};

describe('createCallerServer', () => {
  let fleet: TestGateway;

  afterEach(() => fleet.stop());

  // A status line in the middle of an answer is taken for a part of it.
  it('writes no error into an answer in progress', async () => {
    fleet = await startTestGateway({ targets: [streamForever] });
    const caller = connectCaller(fleet.callerPort);
    caller.socket.write(HEAD);
    while (!caller.received().includes(FIRST_EVENT)) await settle(5);
    caller.socket.write('\u0001\r\n\r\n');
    await caller.closed;
    expect(caller.received()).not.to.include('400');
  });

  // The caller may send a request again that was not read, but never after 400.
  it('answers 408 to a request whose head it did not read in time', async () => {
    fleet = await startTestGateway({ targets: [streamForever] });
    const config = testConfig();
    const limits = { ...config.limits, headerTimeoutMs: HEADER_TIMEOUT_MS };
    fleet.gateway.runtime.applyConfig(
      { ...config, version: 2, limits },
      'test',
    );
    const caller = connectCaller(fleet.callerPort);
    caller.socket.write(HEAD.slice(0, HEAD.length / 2));
    await caller.closed;
    expect(caller.received()).to.match(/^HTTP\/1\.1 408 /);
  });

  // Guards against a request that is refused as not run, because its head came too slowly for a new
  // configuration, and runs when the rest of it arrives.
  it('does not pass on a request that it has refused before it was read', async () => {
    fleet = await startTestGateway({ targets: [streamForever] });
    const config = testConfig();
    const limits = { ...config.limits, headerTimeoutMs: HEADER_TIMEOUT_MS };
    const caller = connectCaller(fleet.callerPort, true);
    caller.socket.write(HEAD.slice(0, HEAD.length / 2));
    await settle(50);
    fleet.gateway.runtime.applyConfig(
      { ...config, version: 2, limits },
      'test',
    );
    while (!caller.received().includes('\r\n\r\n')) await settle(5);
    caller.socket.write(HEAD.slice(HEAD.length / 2));
    await settle(100);
    caller.socket.destroy();
    expect(caller.received()).to.match(/^HTTP\/1\.1 408 /);
    expect(fleet.sends).to.deep.equal([]);
  });

  // Guards against a stream that is cut off since the head of the next request on its connection,
  // which was sent before the stream had ended, came too slowly.
  it('ends an answer in progress before it refuses the next head as late', async () => {
    let end: () => unknown = () => undefined;
    fleet = await startTestGateway({
      targets: [
        (request, response) => {
          sign(request, response);
          response.write(FIRST_EVENT);
          end = () => response.end('id: 2\ndata: e2\n\n');
        },
      ],
    });
    const config = testConfig();
    const limits = { ...config.limits, headerTimeoutMs: HEADER_TIMEOUT_MS };
    fleet.gateway.runtime.applyConfig(
      { ...config, version: 2, limits },
      'test',
    );
    const caller = connectCaller(fleet.callerPort);
    caller.socket.write(HEAD + HEAD.slice(0, HEAD.length / 2));
    while (!caller.received().includes(FIRST_EVENT)) await settle(5);
    await settle(6 * HEADER_TIMEOUT_MS);
    end();
    await caller.closed;
    expect(caller.received()).to.match(
      /data: e2\n\n\r\n0\r\n\r\nHTTP\/1\.1 408 /,
    );
    expect(fleet.sends).to.have.length(1);
  });

  // Guards against a request that runs and gets no answer, since the answer before it on the same
  // connection closes the connection of an entry that shuts down.
  it('answers all requests that it has read on a connection when it shuts down', async () => {
    const ends: (() => unknown)[] = [];
    fleet = await startTestGateway({
      targets: [
        (request, response) => {
          sign(request, response);
          ends.push(() => response.end(`answer to ${request.url ?? ''}`));
        },
      ],
      route: { repeat: 'idempotent', timeoutMs: 2000 },
    });
    const caller = connectCaller(fleet.callerPort);
    caller.socket.write(HEAD + HEAD.replace('/1', '/2'));
    while (ends.length < 2) await settle(5);
    fleet.gateway.leave(() => undefined);
    ends.forEach((end) => end());
    await caller.closed;
    expect(caller.received()).to.match(/answer to \/1HTTP.*answer to \/2$/s);
    expect(caller.received().match(/Connection: close/g)).to.have.length(1);
  });

  it('reads no request after it has said that it closes the connection', async () => {
    let end: () => unknown = () => undefined;
    fleet = await startTestGateway({
      targets: [
        (request, response) => {
          sign(request, response);
          response.write(FIRST_EVENT);
          end = () => response.end();
        },
      ],
      route: { timeoutMs: 2000 },
    });
    fleet.gateway.leave(() => undefined);
    const caller = connectCaller(fleet.callerPort);
    caller.socket.write(HEAD);
    while (!caller.received().includes(FIRST_EVENT)) await settle(5);
    caller.socket.write(HEAD);
    await settle(100);
    end();
    await caller.closed;
    expect(caller.received()).to.match(/Connection: close.*0\r\n\r\n$/s);
    expect(fleet.sends).to.have.length(1);
  });

  // Guards against a request that is held until its deadline because its workspace cannot
  // be named in a header.
  it('refuses a request at once whose workspace has a name that cannot be sent', async () => {
    fleet = await startTestGateway({ targets: [streamForever] });
    const workspaces = [{ name: 'Łódź', keys: ['k1'], priority: undefined }];
    fleet.gateway.runtime.applyConfig(
      { ...testConfig(), version: 2, workspaces },
      'test',
    );
    const caller = connectCaller(fleet.callerPort);
    const key = 'authorization: Bearer k1\r\n';
    caller.socket.write(HEAD.replace('\r\n\r\n', `\r\n${key}\r\n`));
    while (!caller.received().includes('\r\n\r\n')) await settle(5);
    caller.socket.destroy();
    await caller.closed;
    expect(caller.received()).to.match(/^HTTP\/1\.1 503 /);
  });

  it('answers 400 to bytes that are not a request', async () => {
    fleet = await startTestGateway({ targets: [streamForever] });
    const caller = connectCaller(fleet.callerPort);
    caller.socket.write('\u0001\r\n\r\n');
    await caller.closed;
    expect(caller.received()).to.match(/^HTTP\/1\.1 400 /);
  });

  it('answers a request that is in progress when a configuration without its route and with shorter limits comes', async () => {
    const answerLater: RequestListener = (request, response) => {
      sign(request, response);
      setTimeout(() => response.end('read'), 3 * HEADER_TIMEOUT_MS);
    };
    fleet = await startTestGateway({
      targets: [answerLater],
      route: { repeat: 'atMostOnce' },
    });
    const caller = connectCaller(fleet.callerPort);
    caller.socket.write(
      'POST /1 HTTP/1.1\r\nHost: api.example\r\nx-request: a1\r\nContent-Length: 4\r\n\r\nab',
    );
    await settle(50);
    const config = testConfig();
    const limits = {
      ...config.limits,
      headerTimeoutMs: HEADER_TIMEOUT_MS,
      idleTimeoutMs: HEADER_TIMEOUT_MS,
    };
    fleet.gateway.runtime.applyConfig(
      { ...config, version: 2, routes: [], services: [], limits },
      'test',
    );
    await settle(3 * HEADER_TIMEOUT_MS);
    caller.socket.write('cd');
    while (!caller.received().endsWith('read')) await settle(5);
    expect(caller.received()).to.match(/^HTTP\/1\.1 200 /);
  });

  // Guards against a peer that serves a relayed request as an older configuration says.
  it('refuses a relayed request that was accepted by a newer configuration', async () => {
    fleet = await startTestGateway({
      targets: [
        (request, response) => {
          sign(request, response);
          response.end('fine');
        },
      ],
      route: { repeat: 'idempotent' },
    });
    const peerPort = Number(fleet.peerAddress.split(':')[1]);
    const askAs = async (configVersion: number): Promise<string> => {
      const caller = connectCaller(peerPort);
      caller.socket.write(
        'GET /1 HTTP/1.1\r\nHost: api.example\r\nConnection: close\r\nx-request: a1\r\n' +
          'x-relay-age-ms: 1\r\nx-relay-attempts: 1\r\n' +
          `x-relay-config-version: ${configVersion}\r\n\r\n`,
      );
      await caller.closed;
      return caller.received().split('\r\n', 1)[0] ?? '';
    };
    expect(await askAs(1)).to.equal('HTTP/1.1 200 OK');
    expect(await askAs(2)).to.equal('HTTP/1.1 503 Service Unavailable');
    expect(fleet.sends).to.have.length(1);
  });
});
