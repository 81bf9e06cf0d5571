import { expect } from 'chai';
import {
  createServer,
  type IncomingMessage,
  request as httpRequest,
  type RequestListener,
  type Server,
  type ServerResponse,
} from 'node:http';
import { type AddressInfo, connect } from 'node:net';
import type {
  ForwardingConfig,
  ForwardingRoute,
} from '@endivegate/contracts/forwarding';
import { testGatewayOptions, testTargets } from '../testGateway/index.ts';
import { type Gateway, startGateway } from './index.ts';

const HOST = '127.0.0.1';

const base: ForwardingRoute = {
  name: 'read',
  host: 'api.example',
  prefix: '/read/',
  repeat: 'idempotent',
  timeoutMs: 2000,
  targetLatencyMs: 100,
  gapTargetMs: 0,
  priority: 1,
  shares: [{ service: 'plain', weight: 1 }],
  maxAttempts: 2,
  anonymous: false,
  resumable: false,
};

const config: ForwardingConfig = {
  version: 1,
  routes: [
    base,
    { ...base, name: 'open', prefix: '/open/', anonymous: true },
    { ...base, name: 'pay', prefix: '/pay/', repeat: 'atMostOnce' },
    {
      ...base,
      name: 'stream',
      prefix: '/stream/',
      repeat: 'stream',
      resumable: true,
      gapTargetMs: 500,
    },
    {
      ...base,
      name: 'fixed',
      prefix: '/fixed/',
      repeat: 'stream',
      gapTargetMs: 500,
    },
    { ...base, name: 'brief', prefix: '/brief/', timeoutMs: 120 },
    { ...base, name: 'long', prefix: '/long/', timeoutMs: 20_000 },
    {
      ...base,
      name: 'longStream',
      prefix: '/longStream/',
      repeat: 'stream',
      timeoutMs: 20_000,
    },
  ],
  services: [{ name: 'plain', healthPath: '/h', maxConnections: 100 }],
  requiresKeys: true,
  workspaces: [{ name: 'w1', keys: ['k1'] }],
  limits: {
    maxHeaderBytes: 2000,
    maxBodyBytes: 1000,
    headerTimeoutMs: 3000,
    idleTimeoutMs: 15_000,
  },
};

const engine = {
  slots: 8,
  memoryTokens: 300_000,
  stepsPerPass: 10,
  stepMs: 0.5,
  stepMsPerWriter: 0.01,
  stepMsPerContextK: 0.003,
  readTokensPerMs: 177,
  readMsPerMillionPairs: 0.18,
  helperStepMs: 0.05,
};

interface TargetRequest {
  readonly target: string;
  readonly url: string;
  readonly headers: IncomingMessage['headers'];
  readonly body: string;
}

interface CallerResponse {
  readonly status: number;
  readonly body: string;
  readonly headers: IncomingMessage['headers'];
  /** Whether the response was complete according to its framing. */
  readonly isWhole: boolean;
}

const portOf = (server: { address: () => unknown }) =>
  (server.address() as AddressInfo).port;

const listenAny = <S extends Server>(server: S) =>
  new Promise<S>((resolve) => {
    server.listen(0, HOST, () => {
      resolve(server);
    });
  });

/** Adds the headers of a target that has run the request. */
function sign(request: IncomingMessage, response: ServerResponse): void {
  response.setHeader('x-request', String(request.headers['x-request']));
  response.setHeader('x-signed', '1');
}

const settle = (ms = 5) =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

describe('startGateway', () => {
  const received: TargetRequest[] = [];
  let servers: Server[] = [];
  let gateway: Gateway;
  let callerPort = 0;
  let skippedMs = 0;

  async function start(...behaviours: RequestListener[]): Promise<void> {
    received.length = 0;
    servers = await Promise.all(
      behaviours.map((behave, index) =>
        listenAny(
          createServer((request, response) => {
            const chunks: Buffer[] = [];
            request.on('data', (chunk: Buffer) => chunks.push(chunk));
            request.on('end', () => {
              received.push({
                target: `t${index}`,
                url: request.url ?? '',
                headers: request.headers,
                body: Buffer.concat(chunks).toString(),
              });
              behave(request, response);
            });
          }),
        ),
      ),
    );
    const options = await testGatewayOptions({ now: createLateClock() });
    callerPort = Number(options.callerAddress.split(':')[1]);
    gateway = startGateway(options);
    const targets = testTargets(
      servers.map((server) => `${HOST}:${portOf(server)}`),
    );
    gateway.runtime.dispatch({ type: 'roster.listed', atMs: 0, targets });
  }

  /**
   * A clock that is 60 s ahead after the first call, which reads the start
   * time.
   */
  function createLateClock(): () => number {
    let calls = 0;
    skippedMs = 0;
    return () => {
      calls += 1;
      return performance.now() + skippedMs + (calls > 1 ? 60_000 : 0);
    };
  }

  afterEach(async () => {
    servers.forEach((server) => {
      server.closeAllConnections();
      server.close();
    });
    gateway.stop();
    await new Promise((resolve) => setImmediate(resolve));
  });

  const ask = (
    path: string,
    options: {
      readonly headers?: Readonly<Record<string, string>>;
      readonly body?: string;
      readonly method?: string;
    } = {},
  ) =>
    new Promise<CallerResponse>((resolve, reject) => {
      const request = httpRequest(
        {
          host: HOST,
          port: callerPort,
          path,
          agent: false,
          method:
            options.method ?? (options.body === undefined ? 'GET' : 'POST'),
          headers: {
            host: 'api.example',
            'x-request': 'a1',
            authorization: 'Bearer k1',
            ...options.headers,
          },
        },
        (response) => {
          const chunks: Buffer[] = [];
          const done = (isWhole: boolean) => {
            resolve({
              status: response.statusCode ?? 0,
              headers: response.headers,
              body: Buffer.concat(chunks).toString(),
              isWhole,
            });
          };
          response.on('data', (chunk: Buffer) => chunks.push(chunk));
          response.on('end', () => {
            done(response.complete);
          });
          response.on('error', () => {
            done(false);
          });
        },
      );
      request.on('error', reject);
      request.end(options.body);
    });

  const ok: RequestListener = (request, response) => {
    sign(request, response);
    response.end('fine');
  };

  const refuseIt: RequestListener = (_request, response) => {
    response.writeHead(503, { 'x-not-run': '1' });
    response.end();
  };

  const reset: RequestListener = (request) => {
    request.socket.resetAndDestroy();
  };

  it('responds with 503 and Retry-After until it has a configuration', async () => {
    await start(ok);
    const answer = await ask('/read/1');
    expect(answer.status).to.equal(503);
    expect(answer.headers['retry-after']).to.equal('0.300');
  });

  it('forwards a call unchanged except for the key', async () => {
    await start(ok);
    gateway.runtime.applyConfig(config, 'test');
    const answer = await ask('/pay/1?x=%20y', {
      body: 'abc',
      headers: { 'x-own': '7', 'x-deadline-ms': '700' },
    });
    expect(answer).to.include({ status: 200, body: 'fine', isWhole: true });
    const [call] = received;
    expect(call).to.include({ url: '/pay/1?x=%20y', body: 'abc' });
    expect(call?.headers).to.include({ 'x-own': '7', 'x-target': 't0' });
    expect(call?.headers.authorization).to.equal(undefined);
    expect(Number(call?.headers['x-deadline-ms'])).to.be.at.most(700);
  });

  it('rejects requests without a route or key or above a limit, forwarding none', async () => {
    await start(ok);
    gateway.runtime.applyConfig(config, 'test');
    const statuses = await Promise.all([
      ask('/nowhere/').then((one) => one.status),
      ask('/read/1', { headers: { host: 'other' } }).then((one) => one.status),
      ask('/read/1', { headers: { authorization: 'Bearer no' } }).then(
        (one) => one.status,
      ),
      ask('/read/1', { headers: { 'x-long': 'x'.repeat(3000) } }).then(
        (one) => one.status,
      ),
      ask('/pay/1', { body: 'x'.repeat(1001) }).then((one) => one.status),
    ]);
    expect(statuses).to.deep.equal([404, 404, 401, 431, 413]);
    expect(received).to.have.length(0);
    const open = await ask('/open/1', { headers: { authorization: '' } });
    expect(open.status).to.equal(200);
  });

  // Once the last workspace lost its keys, every request ran.
  it('runs nothing without a key while keys are needed and there are none', async () => {
    await start(ok);
    const keyless = [
      [],
      [{ name: 'w1', keys: [] }],
      [{ name: 'w1', keys: [''] }],
    ];
    const sent = ['Bearer k1', 'Bearer no', 'Bearer ', 'Bearer', ''];
    await keyless.reduce(async (before, workspaces, index) => {
      await before;
      const version = Number(config.version) + index + 1;
      gateway.runtime.applyConfig({ ...config, version, workspaces }, 'test');
      const answers = await Promise.all(
        sent.map((authorization) =>
          ask('/read/1', { headers: { authorization } }),
        ),
      );
      expect(answers.map((one) => one.status)).to.deep.equal(
        sent.map(() => 401),
      );
    }, Promise.resolve());
    expect(received).to.have.length(0);
    const open = await ask('/open/1', { headers: { authorization: '' } });
    expect(open.status).to.equal(200);
  });

  it('needs no key where the configuration asks for none', async () => {
    await start(ok);
    const open = { ...config, requiresKeys: false, workspaces: [] };
    gateway.runtime.applyConfig(open, 'test');
    const answer = await ask('/read/1', { headers: { authorization: '' } });
    expect(answer.status).to.equal(200);
  });

  it('rejects a request with both Content-Length and Transfer-Encoding', async () => {
    await start(ok);
    gateway.runtime.applyConfig(config, 'test');
    const text = await new Promise<string>((resolve) => {
      const socket = connect(callerPort, HOST);
      const chunks: Buffer[] = [];
      socket.on('data', (chunk) => chunks.push(chunk));
      socket.on('close', () => {
        resolve(Buffer.concat(chunks).toString());
      });
      socket.write(
        'POST /pay/1 HTTP/1.1\r\nHost: api.example\r\nx-request: a1\r\n' +
          'Authorization: Bearer k1\r\nContent-Length: 4\r\n' +
          'Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /read/2 HTTP/1.1\r\n\r\n',
      );
    });
    expect(text).to.match(/^HTTP\/1.1 400 /);
    expect(received).to.have.length(0);
  });

  it('retries a broken idempotent call but not one that may run at most once', async () => {
    await start(reset, ok);
    gateway.runtime.applyConfig(config, 'test');
    expect((await ask('/read/1')).status).to.equal(200);
    servers.forEach((server) => {
      server.closeAllConnections();
    });
    await start(reset, reset);
    gateway.runtime.applyConfig(config, 'test');
    const failed = await ask('/pay/1', { body: 'x' });
    expect(failed.status).to.equal(502);
    expect(received).to.have.length(1);
  });

  it('stops using a target whose address answers with 421', async () => {
    const other: RequestListener = (_request, response) => {
      response.writeHead(421).end();
    };
    const own: RequestListener = (request, response) => {
      sign(request, response);
      response.end('read');
    };
    await start(other, own);
    gateway.runtime.applyConfig(config, 'test');
    const first = await ask('/read/1');
    const second = await ask('/read/2');
    const third = await ask('/pay/3', { body: 'x' });
    expect([first, second, third].map((one) => one.status)).to.deep.equal([
      200, 200, 200,
    ]);
    expect(received.map((one) => one.target)).to.deep.equal([
      't0',
      't1',
      't1',
      't1',
    ]);
  });

  it('closes the idle connections to a target after one of them stalled', async () => {
    const sockets: unknown[] = [];
    const silentOnReuse: RequestListener = (request, response) => {
      const isReused = sockets.includes(request.socket);
      sockets.push(request.socket);
      if (isReused) return;
      sign(request, response);
      setTimeout(() => response.end('read'), 20);
    };
    const sound: RequestListener = (request, response) => {
      sign(request, response);
      response.end('read');
    };
    await start(silentOnReuse, sound);
    gateway.runtime.applyConfig(config, 'test');
    const { runtime } = gateway;
    const second = runtime.state().roster.targets.get('t1')!;
    runtime.dispatch({ type: 'roster.removed', atMs: 0, id: 't1' });
    await Promise.all([ask('/read/1'), ask('/read/2'), ask('/read/3')]);
    runtime.dispatch({ type: 'roster.put', atMs: 0, target: second });
    await ask('/read/4');
    runtime.dispatch({ type: 'roster.removed', atMs: 0, id: 't1' });
    const kept = new Set(sockets);
    const answer = await ask('/read/5');
    expect(answer.status).to.equal(200);
    expect(kept.has(sockets.at(-1))).to.equal(false);
  });

  it('responds with 503 and Retry-After when every target refused the request', async () => {
    await start(refuseIt, refuseIt);
    gateway.runtime.applyConfig(config, 'test');
    const answer = await ask('/pay/1', { body: 'x' });
    expect(answer.status).to.equal(503);
    expect(answer.headers['retry-after']).to.equal('0.150');
    expect(received).to.have.length(2);
  });

  it('sends nothing more to a target that announced its leaving', async () => {
    const leavingBusy: RequestListener = (_request, response) => {
      response.writeHead(503, { 'x-not-run': '1', 'x-leaving': '1' });
      response.end();
    };
    await start(leavingBusy, ok);
    gateway.runtime.applyConfig(config, 'test');
    await ask('/pay/1', { body: 'x' });
    await ask('/pay/2', { body: 'x' });
    await ask('/read/3');
    expect(received.map((one) => one.target)).to.deep.equal([
      't0',
      't1',
      't1',
      't1',
    ]);
    expect(gateway.runtime.state().roster.targets.get('t0')?.draining).to.equal(
      true,
    );
  });

  it('leaves a target alone for the pause that it asked for', async () => {
    const pause: RequestListener = (_request, response) => {
      response.writeHead(503, { 'x-not-run': '1', 'retry-after': '2.5' });
      response.end();
    };
    await start(pause, ok);
    gateway.runtime.applyConfig(config, 'test');
    await ask('/pay/1', { body: 'x' });
    await ask('/pay/2', { body: 'x' });
    expect(received.map((one) => one.target)).to.deep.equal(['t0', 't1', 't1']);
    skippedMs = 2500;
    await ask('/pay/3', { body: 'x' });
    expect(received.at(3)?.target).to.equal('t0');
  });

  it('refuses at once until the shortest pause ends when all targets asked for one', async () => {
    const pauseFor =
      (seconds: string): RequestListener =>
      (_request, response) => {
        response.writeHead(503, { 'x-not-run': '1', 'retry-after': seconds });
        response.end();
      };
    await start(pauseFor('9'), pauseFor('4'));
    gateway.runtime.applyConfig(config, 'test');
    await ask('/pay/1', { body: 'x' });
    const answer = await ask('/pay/2', { body: 'x' });
    expect(received).to.have.length(2);
    expect(answer.status).to.equal(503);
    expect(Number(answer.headers['retry-after'])).to.be.within(1, 4);
  });

  it('resumes a broken stream at another target after the last complete event', async () => {
    const events = [1, 2, 3, 4].map((id) => `id: ${id}\ndata: e${id}\n\n`);
    const stream: RequestListener = (request, response) => {
      sign(request, response);
      const after = Number(request.headers['last-event-id'] ?? 0);
      response.write(events.slice(after, after + 2).join(''));
      if (after + 2 >= events.length) {
        response.end();
        return;
      }
      response.write('id: 3\ndata: tor');
      setTimeout(() => request.socket.resetAndDestroy(), 20);
    };
    await start(stream, stream);
    gateway.runtime.applyConfig(config, 'test');
    const answer = await ask('/stream/1', { body: 'x' });
    expect(answer).to.include({ body: events.join(''), isWhole: true });
    expect(received.map((one) => one.headers['last-event-id'])).to.deep.equal([
      undefined,
      '2',
    ]);
  });

  it('resumes a stalled stream at another target', async () => {
    const events = [1, 2].map((id) => `id: ${id}\ndata: e${id}\n\n`);
    const silentAfterFirst: RequestListener = (request, response) => {
      sign(request, response);
      const after = Number(request.headers['last-event-id'] ?? 0);
      response.write(events[after] ?? '');
      if (after > 0) response.end();
    };
    await start(silentAfterFirst, silentAfterFirst);
    gateway.runtime.applyConfig(config, 'test');
    const answer = await ask('/stream/1', { body: 'x' });
    expect(answer).to.include({ body: events.join(''), isWhole: true });
    expect(received.map((one) => one.headers['last-event-id'])).to.deep.equal([
      undefined,
      '1',
    ]);
  });

  it('keeps a stalled stream at its target when no other target has a free slot', async () => {
    const slow: RequestListener = (request, response) => {
      sign(request, response);
      response.write('id: 1\ndata: e1\n\n');
      setTimeout(() => response.end('id: 2\ndata: e2\n\n'), 1900);
    };
    const full: RequestListener = (_request, response) => {
      response.setHeader('x-not-run', '1');
      response.writeHead(503).end();
    };
    await start(slow, full);
    gateway.runtime.applyConfig(
      { ...config, services: [{ ...config.services[0]!, engine }] },
      'test',
    );
    const { runtime } = gateway;
    const second = runtime.state().roster.targets.get('t1')!;
    runtime.dispatch({ type: 'roster.removed', atMs: 0, id: 't1' });
    const answer = ask('/stream/1', {
      body: 'x',
      headers: { 'x-prompt-tokens': '5000' },
    });
    await settle(100);
    runtime.dispatch({
      type: 'roster.put',
      atMs: 0,
      target: { ...second, slots: 0 },
    });
    expect(await answer).to.include({
      body: 'id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n',
      isWhole: true,
    });
  });

  it('retries an idempotent call when its target does not respond', async () => {
    let asked = 0;
    const silentFirst: RequestListener = (request, response) => {
      asked += 1;
      if (asked === 1) return;
      sign(request, response);
      response.end('read');
    };
    await start(silentFirst, silentFirst);
    gateway.runtime.applyConfig(config, 'test');
    const answer = await ask('/read/1');
    expect(answer).to.include({ status: 200, body: 'read' });
    expect(asked).to.equal(2);
  });

  it('truncates a broken stream that is not resumable', async () => {
    const cut: RequestListener = (request, response) => {
      sign(request, response);
      response.write('id: 1\ndata: a\n\n');
      setTimeout(() => request.socket.resetAndDestroy(), 20);
    };
    await start(cut, ok);
    gateway.runtime.applyConfig(config, 'test');
    const answer = await ask('/fixed/1', { body: 'x' });
    expect(answer.isWhole).to.equal(false);
    expect(received).to.have.length(1);
  });

  it('responds with 504 at the timeout of the route', async () => {
    await start(
      () => undefined,
      () => undefined,
    );
    gateway.runtime.applyConfig(config, 'test');
    const answer = await ask('/brief/1');
    expect(answer.status).to.equal(504);
  });

  it('is ready and lists its address once it has a configuration and targets', async () => {
    await start(ok);
    expect(gateway.isReady()).to.equal(false);
    expect(gateway.callerAddresses()).to.deep.equal([]);
    gateway.runtime.applyConfig(config, 'test');
    expect(gateway.isReady()).to.equal(true);
    expect(gateway.callerAddresses()).to.deep.equal([`${HOST}:${callerPort}`]);
  });

  it('finishes open requests and accepts late ones while leaving', async () => {
    let finish: () => void = () => undefined;
    await start((request, response) => {
      sign(request, response);
      if (request.url === '/read/slow') finish = () => response.end('late');
      else response.end('fine');
    });
    gateway.runtime.applyConfig(config, 'test');
    const slow = ask('/read/slow');
    while (received.length === 0) await settle();
    const left = new AbortController();
    gateway.leave(() => {
      left.abort();
    });
    expect(gateway.isReady()).to.equal(false);
    expect(gateway.callerAddresses()).to.deep.equal([]);
    const stale = await ask('/pay/1', { body: 'x' });
    expect(stale.status).to.equal(200);
    expect(stale.headers.connection).to.equal('close');
    skippedMs = 4000;
    await settle(120);
    expect(left.signal.aborted).to.equal(false);
    finish();
    expect(await slow).to.include({ status: 200, body: 'late', isWhole: true });
    while (!left.signal.aborted) await settle();
  });

  // Requests that came late in the grace period were passed on and then cut off.
  it('refuses, as not run, what may not end before the entry does', async () => {
    await start(ok);
    gateway.runtime.applyConfig(config, 'test');
    gateway.leave(() => undefined);
    skippedMs = 5000;
    const late = await ask('/long/1');
    expect(late.status).to.equal(503);
    expect(late.headers).to.include({
      connection: 'close',
      'retry-after': '0.000',
    });
    expect(received).to.have.length(0);
    const bounded = await ask('/read/1');
    expect(bounded.status).to.equal(200);
    const deadline = { 'x-deadline-ms': '900' };
    const short = await ask('/long/2', { headers: deadline });
    expect(short.status).to.equal(200);
  });

  // Guards against refusing what could have been served.
  it('takes late requests of a route that has answered in time so far', async () => {
    await start(ok);
    gateway.runtime.applyConfig(config, 'test');
    await Promise.all(
      Array.from({ length: 20 }, (_, index) => ask(`/long/${index}`)),
    );
    gateway.leave(() => undefined);
    skippedMs = 5000;
    expect((await ask('/long/late')).status).to.equal(200);
  });

  // Guards against an entry that was started lately and refuses all prompts of callers that
  // do not know of its shutdown.
  it('takes prompts that end in time by the cost model of their engines, but no late ones', async () => {
    await start((request, response) => {
      sign(request, response);
      response.end('id: 1\ndata: e1\n\n');
    });
    const [service] = config.services;
    if (service === undefined) throw new Error('no service');
    const services = [{ ...service, engine }];
    gateway.runtime.applyConfig({ ...config, services }, 'test');
    gateway.leave(() => undefined);
    skippedMs = 2500;
    const askPrompt = (tokens: number) =>
      ask(`/longStream/${tokens}`, {
        headers: { 'x-prompt-tokens': String(tokens) },
      });
    expect((await askPrompt(1000)).status).to.equal(200);
    expect((await askPrompt(250_000)).status).to.equal(503);
    skippedMs = 3100;
    expect((await askPrompt(1000)).status).to.equal(503);
  });

  // Engines slower than their cost model let an entry take prompts that it then cut off.
  it('refuses prompts that took longer than the cost model says', async () => {
    await start((request, response) => {
      sign(request, response);
      skippedMs += 4000;
      response.end('id: 1\ndata: e1\n\n');
    });
    const [service] = config.services;
    if (service === undefined) throw new Error('no service');
    const services = [{ ...service, engine }];
    gateway.runtime.applyConfig({ ...config, services }, 'test');
    const headers = { 'x-prompt-tokens': '1000' };
    expect((await ask('/longStream/1', { headers })).status).to.equal(200);
    gateway.leave(() => undefined);
    skippedMs += 2500;
    expect((await ask('/longStream/2', { headers })).status).to.equal(503);
  });

  it('takes requests of unknown duration at the beginning of its shutdown', async () => {
    await start(ok);
    gateway.runtime.applyConfig(config, 'test');
    gateway.leave(() => undefined);
    skippedMs = 1000;
    expect((await ask('/long/1')).status).to.equal(200);
  });

  // Open requests were closed without a response when the grace period ended.
  it('answers open requests at the end of its grace period', async () => {
    const staySilent: RequestListener = (request, response) => {
      if (request.url !== '/longStream/begun') return;
      sign(request, response);
      response.write('id: 1\ndata: e1\n\n');
    };
    await start(staySilent);
    gateway.runtime.applyConfig(config, 'test');
    const answers = ['/long/1', '/longStream/1', '/longStream/begun'].map(
      (path) => ask(path),
    );
    while (received.length < answers.length) await settle();
    const left = new AbortController();
    gateway.leave(() => {
      left.abort();
    });
    skippedMs = 7500;
    const [plain, stream, begun] = await Promise.all(answers);
    expect(plain).to.include({ status: 502, isWhole: true });
    expect(stream).to.include({ status: 502, isWhole: true });
    expect(begun).to.include({ status: 200, isWhole: false });
    while (!left.signal.aborted) await settle();
  });

  it('cancels the send when the caller disconnects', async () => {
    let leave: () => void = () => undefined;
    let noteClosed: () => void = () => undefined;
    const closed = new Promise<void>((resolve) => {
      noteClosed = resolve;
    });
    await start((request) => {
      request.socket.on('close', noteClosed);
      leave();
    });
    gateway.runtime.applyConfig(config, 'test');
    const caller = connect(callerPort, HOST);
    leave = () => caller.destroy();
    caller.write(
      'GET /read/1 HTTP/1.1\r\nHost: api.example\r\nx-request: a1\r\n' +
        'Authorization: Bearer k1\r\n\r\n',
    );
    await closed;
    expect(received).to.have.length(1);
  });
});
