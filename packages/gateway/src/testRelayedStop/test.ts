import { PROTOCOL_VERSION } from '@endivegate/core/forwarding';
import { expect } from 'chai';
import { request as httpRequest, type RequestListener } from 'node:http';
import type { ForwardingRoute } from '@endivegate/contracts/forwarding';
import { settle, startTestFleet, type TestFleet } from '../testFleet/index.ts';
import {
  createTestClock,
  sign,
  startTestGateway,
  testConfig,
  testTargets,
  type TestGateway,
} from '../testGateway/index.ts';

const GRACE_MS = 8000;

/** From then on, an entry that shuts down refuses requests of unknown duration. */
const REFUSES_AFTER_MS = 5000;

/** Makes an entry the first choice for relayed requests. */
const PREFERRED_WEIGHT = 1000;

/** The discard port, where nothing listens. */
const CLOSED_ADDRESS = '127.0.0.1:9';

const event = (id: number): string => `id: ${id}\ndata: e${id}\n\n`;

/** What a caller received. */
interface Seen {
  readonly status: number;
  readonly body: string;
  readonly isWhole: boolean;
}

const answer: RequestListener = (request, response) => {
  sign(request, response);
  response.end(event(1) + event(2));
};

/** Begins a stream, and ends it if it is resumed. */
const beginOrResume: RequestListener = (request, response) => {
  sign(request, response);
  if (request.headers['last-event-id'] === '1') response.end(event(2));
  else response.write(event(1));
};

/** Falls silent after the second event. */
const beginThenHold: RequestListener = (request, response) => {
  sign(request, response);
  response.write(event(2));
};

const staySilent: RequestListener = () => undefined;

describe('an entry that is cut off and relays to a peer', () => {
  /** The entry that is cut off from all targets. */
  let cut: TestFleet | undefined;
  /** The peer to which it relays first, and another one. */
  let peers: readonly TestGateway[] = [];

  afterEach(() => {
    cut?.stop();
    return Promise.all(peers.map((peer) => peer.stop()));
  });

  async function start(
    [first, second]: readonly [RequestListener, RequestListener],
    route: Partial<ForwardingRoute>,
  ): Promise<void> {
    peers = await Promise.all([
      startTestGateway({ name: 'first', targets: [first, first], route }),
      startTestGateway({ name: 'second', targets: [second], route }),
    ]);
    const fleet = await startTestFleet({
      entries: 1,
      targets: [answer, answer, answer, answer],
      route,
    });
    cut = fleet;
    const [entry] = fleet.entries;
    entry?.setPath('resetting');
    const phase = () => entry?.gateway.runtime.state().targetReach.phase;
    while (phase() !== 'cutOff') {
      await fleet.ask(0);
      await settle(10);
    }
  }

  /** Asks the entry, which knows of nothing that has happened to its peers. */
  function ask(): Promise<Seen> {
    const { gateway, callerPort = 0 } = cut?.entries[0] ?? {};
    const clock = createTestClock();
    clock.now();
    gateway?.runtime.dispatch({
      type: 'peers.received',
      atMs: clock.now(),
      peers: peers.map((peer, index) => ({
        name: index === 0 ? 'first' : 'second',
        peerAddress: peer.peerAddress,
        callerAddress: `127.0.0.1:${peer.callerPort}`,
        dataCentre: 'a',
        startedAtUnixMs: 1,
        isReady: true,
        isLeaving: false,
        configVersion: 1,
        weight: index === 0 ? PREFERRED_WEIGHT : 1,
        protocolVersion: PROTOCOL_VERSION,
      })),
    });
    return requestOf(callerPort);
  }

  /** Ends the grace period of the first peer under the request that it serves. */
  async function endGrace(): Promise<void> {
    const [first] = peers;
    while (first?.sends.length !== 1) await settle(5);
    first.gateway.leave(() => undefined);
    first.skip(GRACE_MS);
  }

  // The caller was refused, although another peer could serve it: its peer had begun to shut
  // down, which the entry did not know yet.
  it('sends what a peer that shuts down refuses to another one', async () => {
    const route = { repeat: 'atMostOnce', maxAttempts: 1 } as const;
    await start([answer, answer], route);
    peers[0]?.gateway.leave(() => undefined);
    peers[0]?.skip(REFUSES_AFTER_MS);
    const { status } = await ask();
    expect(status).to.equal(200);
    expect(peers.map(({ sends }) => sends.length)).to.deep.equal([0, 1]);
  });

  // A stream that a peer took during its shutdown was cut off with it, though the entry that its
  // caller uses did not shut down.
  it('leaves no stream to a peer that shuts down', async () => {
    await start([beginOrResume, answer], {
      resumable: false,
      timeoutMs: 60_000,
    });
    const quick = Array.from({ length: 20 }, async () =>
      peers[0]?.ask('/', { 'last-event-id': '1' }),
    );
    await Promise.all(quick);
    peers[0]?.gateway.leave(() => undefined);
    const seen = ask();
    await settle(100);
    peers[0]?.skip(GRACE_MS);
    expect((await seen).isWhole).to.equal(true);
  });

  // The caller was refused, although another peer could serve it.
  it('sends what a peer without targets refuses to another one', async () => {
    await start([answer, answer], { repeat: 'atMostOnce', maxAttempts: 1 });
    const runtime = peers[0]?.gateway.runtime;
    runtime?.dispatch({ type: 'roster.listed', atMs: 1, targets: [] });
    expect((await ask()).status).to.equal(200);
  });

  // The caller was refused, although another peer could serve it: its peer had lost its paths to
  // all targets as well.
  it('sends what a peer that is cut off too refuses to another one', async () => {
    await start([answer, answer], { repeat: 'atMostOnce', maxAttempts: 1 });
    const runtime = peers[0]?.gateway.runtime;
    const targets = testTargets([CLOSED_ADDRESS, CLOSED_ADDRESS]);
    runtime?.dispatch({ type: 'roster.listed', atMs: 1, targets });
    runtime?.dispatch({ type: 'targetReach.silent' });
    while (runtime?.state().targetReach.phase !== 'cutOff') await settle(5);
    expect((await ask()).status).to.equal(200);
  });

  // The caller was refused, although another peer had the configuration.
  it('sends what a peer with an older configuration refuses to another one', async () => {
    await start([answer, answer], { repeat: 'atMostOnce', maxAttempts: 1 });
    const config = {
      ...testConfig({ repeat: 'atMostOnce', maxAttempts: 1 }),
      version: 2,
    };
    cut?.entries[0]?.gateway.runtime.applyConfig(config, 'test');
    peers[1]?.gateway.runtime.applyConfig(config, 'test');
    expect((await ask()).status).to.equal(200);
  });

  // Guards against a stream that ends with the peer that serves it.
  it('resumes a stream at another peer when its peer ends', async () => {
    await start([beginOrResume, beginOrResume], { timeoutMs: 60_000 });
    const seen = ask();
    await endGrace();
    expect(await seen).to.deep.equal({
      status: 200,
      body: event(1) + event(2),
      isWhole: true,
    });
  });

  // Guards against a call that may be repeated and fails with its peer.
  it('repeats a call at another peer when its peer ends', async () => {
    await start([staySilent, answer], {
      repeat: 'idempotent',
      timeoutMs: 60_000,
    });
    const seen = ask();
    await endGrace();
    expect((await seen).status).to.equal(200);
  });

  // Guards against a call that may run once and runs twice, or is said not to have run.
  it('says that a call which may run once may have run when its peer ends', async () => {
    await start([staySilent, answer], {
      repeat: 'atMostOnce',
      timeoutMs: 60_000,
    });
    const seen = ask();
    await endGrace();
    const { status, isWhole } = await seen;
    expect({ status, isWhole }).to.deep.equal({ status: 502, isWhole: true });
    expect(peers[1]?.sends).to.have.length(0);
  });

  // Guards against attempts beyond those that the route allows: a target that refused the request
  // had received it, whatever state its entry is in.
  it('counts what a target of a peer that shuts down has refused', async () => {
    const refuseWhileStopping: RequestListener = (request, response) => {
      peers[0]?.gateway.leave(() => undefined);
      response.setHeader('x-request', String(request.headers['x-request']));
      response.setHeader('x-not-run', '1');
      response.statusCode = 503;
      response.end();
    };
    await start([refuseWhileStopping, answer], {
      repeat: 'atMostOnce',
      maxAttempts: 1,
    });
    await ask();
    expect(peers.flatMap(({ sends }) => sends)).to.have.length(1);
  });

  // Guards against callers that are refused by an entry that is cut off and shuts down, though it
  // still reaches peers.
  it('relays during its own shutdown as well', async () => {
    await start([answer, answer], { repeat: 'atMostOnce' });
    cut?.entries[0]?.gateway.leave(() => undefined);
    expect((await ask()).status).to.equal(200);
  });

  // Guards against a wait for targets that an entry without paths and peers cannot reach.
  it('refuses requests during its own shutdown when no peer is known', async () => {
    await start([answer, answer], { repeat: 'atMostOnce' });
    const { gateway, callerPort = 0 } = cut?.entries[0] ?? {};
    gateway?.leave(() => undefined);
    const { status, isWhole } = await requestOf(callerPort);
    expect({ status, isWhole }).to.deep.equal({ status: 503, isWhole: true });
  });

  // Guards against a stream that is cut off when entries stop in series.
  it('resumes a stream that two peers end one after the other', async () => {
    await start([beginOrResume, beginThenHold], {
      timeoutMs: 60_000,
      maxAttempts: 3,
    });
    const seen = ask();
    await endGrace();
    while (peers[1]?.sends.length !== 1) await settle(5);
    cut?.entries[0]?.setPath('open');
    peers[1].gateway.leave(() => undefined);
    peers[1].skip(GRACE_MS);
    const { body, isWhole } = await seen;
    expect({ body, isWhole }).to.deep.equal({
      body: event(1) + event(2),
      isWhole: true,
    });
  });

  // Guards against a request that goes round, or gets no answer.
  it('refuses what no peer takes, as not run', async () => {
    await start([answer, answer], { repeat: 'atMostOnce' });
    peers.forEach(({ gateway, skip }) => {
      gateway.leave(() => undefined);
      skip(REFUSES_AFTER_MS);
    });
    const { status, isWhole } = await ask();
    expect({ status, isWhole }).to.deep.equal({ status: 503, isWhole: true });
    expect(peers.flatMap(({ sends }) => sends)).to.have.length(0);
  });
});

function requestOf(port: number): Promise<Seen> {
  return new Promise((resolve) => {
    const headers = { host: 'api.example', 'x-request': 'relayed' };
    const call = httpRequest(
      { port, path: '/', agent: false, headers },
      (response) => {
        let body = '';
        response.on('data', (chunk: Buffer) => {
          body += chunk.toString();
        });
        response.on('error', () => undefined);
        response.on('close', () => {
          const { statusCode: status = 0, complete: isWhole } = response;
          resolve({ status, body, isWhole });
        });
      },
    );
    call.on('error', () => {
      resolve({ status: 0, body: '', isWhole: false });
    });
    call.end();
  });
}
