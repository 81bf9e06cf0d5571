import { expect } from 'chai';
import type { RequestListener } from 'node:http';
import { connect } from 'node:net';
import type {
  ForwardingConfig,
  ForwardingRoute,
  ListedTarget,
} from '@endivegate/contracts/forwarding';
import type { Gateway } from '../startGateway/index.ts';
import {
  sign,
  startTestGateway,
  testConfig,
  type TestGateway,
} from '../testGateway/index.ts';

const SHORT_MS = 100;

/** Longer than the shortened limits, and than Node needs to notice that they have passed. */
const PAUSE_MS = 800;

/** Size of one event, beyond what sockets buffer for a caller that does not read. */
const LARGE_EVENT_BYTES = 512 * 1024;
const LARGE_EVENTS = 16;

const KEY = 'k1';
const HEAD =
  'POST /1 HTTP/1.1\r\nHost: api.example\r\nx-request: a1\r\n' +
  `Authorization: Bearer ${KEY}\r\nTransfer-Encoding: chunked\r\n`;

/** Lets the caller know when its head has been read. */
const EXPECT_CONTINUE = 'Expect: 100-continue\r\n';

const FIRST_CHUNK = '2\r\nab\r\n';
const LAST_CHUNKS = '2\r\ncd\r\n0\r\n\r\n';

/** Ends of complete answers: the last chunk, and the body of a call. */
const ENDS = ['0\r\n\r\n', 'answer', '}'];

const settle = (forMs: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, forMs);
  });

async function until(condition: () => boolean): Promise<void> {
  while (!condition()) await settle(5);
}

/** A second event a while after the first one. */
const streamSlowly: RequestListener = (request, response) => {
  sign(request, response);
  response.write('id: 1\ndata: e1\n\n');
  setTimeout(() => response.end('id: 2\ndata: e2\n\n'), PAUSE_MS);
};

const answerSlowly: RequestListener = (request, response) => {
  sign(request, response);
  setTimeout(() => response.end('answer'), PAUSE_MS);
};

const streamMuch: RequestListener = (request, response) => {
  sign(request, response);
  Array.from({ length: LARGE_EVENTS }).forEach((_, index) => {
    const data = 'x'.repeat(LARGE_EVENT_BYTES);
    response.write(`id: ${index + 1}\ndata: ${data}\n\n`);
  });
  response.end();
};

const breakOffSlowly: RequestListener = (request, response) => {
  sign(request, response);
  response.write('id: 1\ndata: e1\n\n');
  setTimeout(() => response.destroy(), PAUSE_MS);
};

const resume: RequestListener = (request, response) => {
  sign(request, response);
  response.end('id: 2\ndata: e2\n\n');
};

/** A request and what its caller does while the change takes effect. */
interface OpenRequest {
  readonly targets: readonly RequestListener[];
  readonly route: Partial<ForwardingRoute>;
  /** Whether the last part of the body is sent after the change. */
  readonly sendsSlowly?: boolean;
  /** Whether another request was answered on the connection before. */
  readonly isKept?: boolean;
  /** Whether the caller reads nothing until the change is in force. */
  readonly readsSlowly?: boolean;
}

const stream: Partial<ForwardingRoute> = { timeoutMs: 20_000 };
const call: Partial<ForwardingRoute> = { ...stream, repeat: 'atMostOnce' };

const openRequests: Readonly<Record<string, OpenRequest>> = {
  'a body that is being received': {
    targets: [answerSlowly],
    route: call,
    sendsSlowly: true,
  },
  'a body that is being received on a kept connection': {
    targets: [answerSlowly],
    route: call,
    sendsSlowly: true,
    isKept: true,
  },
  'a call': { targets: [answerSlowly], route: call },
  'a stream': { targets: [streamSlowly], route: stream },
  'a stream whose caller reads slowly': {
    targets: [streamMuch],
    route: stream,
    readsSlowly: true,
  },
  'a stream that goes on at another target': {
    targets: [breakOffSlowly, resume],
    route: stream,
  },
};

type Change = (fleet: TestGateway, before: ForwardingConfig) => void;

function applyVersion(
  { gateway }: TestGateway,
  config: ForwardingConfig,
): void {
  gateway.runtime.applyConfig({ ...config, version: 3 }, 'test');
}

function changeRoute(
  fleet: TestGateway,
  before: ForwardingConfig,
  change: Partial<ForwardingRoute>,
): void {
  const routes = before.routes.map((route) => ({ ...route, ...change }));
  applyVersion(fleet, { ...before, routes });
}

const changes: Readonly<Record<string, Change>> = {
  'its route is removed': (fleet, before) => {
    applyVersion(fleet, { ...before, routes: [] });
  },
  'its route and service are removed': (fleet, before) => {
    applyVersion(fleet, { ...before, routes: [], services: [] });
  },
  'its route moves to another service': (fleet, before) => {
    const [plain] = before.services;
    const services = plain ? [plain, { ...plain, name: 'other' }] : [];
    const shares = [{ service: 'other', weight: 1 }];
    changeRoute(fleet, { ...before, services }, { shares });
  },
  'its timeout is shortened': (fleet, before) => {
    changeRoute(fleet, before, { timeoutMs: SHORT_MS });
  },
  'it may have fewer attempts and no resumption': (fleet, before) => {
    changeRoute(fleet, before, { maxAttempts: 1, resumable: false });
  },
  'its key is withdrawn': (fleet, before) => {
    const workspaces = before.workspaces.map((one) => ({ ...one, keys: [] }));
    applyVersion(fleet, { ...before, workspaces });
  },
  'its workspace is removed': (fleet, before) => {
    applyVersion(fleet, { ...before, workspaces: [] });
  },
  'limits of callers are lowered': (fleet, before) => {
    applyVersion(fleet, {
      ...before,
      limits: {
        maxHeaderBytes: 1,
        maxBodyBytes: 1,
        headerTimeoutMs: SHORT_MS,
        idleTimeoutMs: SHORT_MS,
      },
    });
  },
};

/** Changes of the targets that the request was sent to, or may be. */
const targetChanges: Readonly<Record<string, Change>> = {
  'its targets drain': ({ gateway }) => {
    listedTargets(gateway).forEach((target) => {
      const drained = { ...target, draining: true };
      const atMs = performance.now();
      gateway.runtime.dispatch({ type: 'roster.put', atMs, target: drained });
    });
  },
  'its targets are removed': ({ gateway }) => {
    gateway.runtime.dispatch({
      type: 'roster.listed',
      atMs: performance.now(),
      targets: [],
    });
  },
  'its targets start anew': ({ gateway }) => {
    const targets = listedTargets(gateway).map((target) => ({
      ...target,
      bornMs: target.bornMs + 1,
    }));
    const atMs = performance.now();
    gateway.runtime.dispatch({ type: 'roster.listed', atMs, targets });
  },
  'its data centres are evacuated': ({ gateway }) => {
    gateway.runtime.dispatch({
      type: 'evacuations.listed',
      atMs: performance.now(),
      at: { era: 1, revision: 1 },
      reports: ['a', 'b'].map((dataCentre) => ({
        dataCentre,
        isEvacuated: true,
        ageMs: 0,
        era: 1,
        revision: 1,
      })),
      source: 'store',
    });
  },
};

function listedTargets({ runtime }: Gateway): readonly ListedTarget[] {
  return [...runtime.state().roster.targets.values()];
}

interface Received {
  readonly text: string;
  readonly isWhole: boolean;
}

async function start(
  open: OpenRequest,
): Promise<{ fleet: TestGateway; before: ForwardingConfig }> {
  const fleet = await startTestGateway(open);
  const before: ForwardingConfig = {
    ...testConfig({ ...open.route, anonymous: false }),
    version: 2,
    requiresKeys: true,
    workspaces: [{ name: 'w1', keys: [KEY], priority: undefined }],
  };
  fleet.gateway.runtime.applyConfig(before, 'test');
  return { fleet, before };
}

/** Sends a request, makes a change while it is open, and reads its answer. */
async function askAround(open: OpenRequest, change: Change): Promise<Received> {
  const { fleet, before } = await start(open);
  const socket = connect(fleet.callerPort, '127.0.0.1');
  const chunks: Buffer[] = [];
  let isWhole = false;
  let isClosed = false;
  socket.on('close', () => {
    isClosed = true;
  });
  socket.on('data', (chunk: Buffer) => {
    chunks.push(chunk);
    const end = Buffer.concat(chunks.slice(-2)).toString('latin1');
    isWhole = ENDS.some((text) => end.endsWith(text));
  });
  socket.on('error', () => undefined);
  if (open.readsSlowly === true) socket.pause();
  if (open.isKept === true) {
    socket.write(`${HEAD}\r\n${FIRST_CHUNK}${LAST_CHUNKS}`);
    await until(() => isWhole);
    isWhole = false;
    chunks.length = 0;
  }
  const sendsSlowly = open.sendsSlowly === true;
  if (sendsSlowly) {
    socket.write(`${HEAD}${EXPECT_CONTINUE}\r\n${FIRST_CHUNK}`);
    await until(() => chunks.length > 0);
    chunks.length = 0;
  } else {
    socket.write(`${HEAD}\r\n${FIRST_CHUNK}${LAST_CHUNKS}`);
    await until(() => fleet.sends.length > 0);
  }
  change(fleet, before);
  if (sendsSlowly || open.readsSlowly === true) await settle(PAUSE_MS);
  if (sendsSlowly) socket.write(LAST_CHUNKS);
  socket.resume();
  await until(() => isWhole || isClosed);
  socket.destroy();
  await fleet.stop();
  return { text: Buffer.concat(chunks).toString('latin1'), isWhole };
}

function describeAnswer({ text, isWhole }: Received): string {
  const events = text.match(/^id: /gm)?.length ?? 0;
  return `${text.slice(9, 12)}, ${isWhole ? 'whole' : 'cut off'}, ${events} events`;
}

/** Returns how each kind of request ends that is open during each of the changes. */
async function askAroundEach(
  changesByName: Readonly<Record<string, Change>>,
): Promise<readonly string[]> {
  const answers = Object.entries(changesByName).map(([name, change]) =>
    Promise.all(
      Object.entries(openRequests).map(async ([kind, open]) => {
        const answer = describeAnswer(await askAround(open, change));
        return `${name}, ${kind}: ${answer}`;
      }),
    ),
  );
  return (await Promise.all(answers)).flat();
}

describe('a request that is open', () => {
  // Guards against answers that are cut off, or never come, since a version came into force
  // while their requests were being read, sent or answered.
  it('is answered whole when the configuration changes', async () => {
    expect(await askAroundEach(changes)).toMatchSnapshot();
  });

  // Guards against answers that are cut off since their targets, which go on, left. Only a stream
  // that its target broke off is cut off, if no other target may take it.
  it('is answered whole when its targets leave', async () => {
    expect(await askAroundEach(targetChanges)).toMatchSnapshot();
  });
});
