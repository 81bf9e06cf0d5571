import { expect } from 'chai';
import {
  type AddressInfo,
  createServer as createTcpServer,
  type Server as TcpServer,
} from 'node:net';
import type {
  ForwardingConfig,
  ListedTarget,
} from '@endivegate/contracts/forwarding';
import {
  allLoads,
  findBlockedParts,
  type CrashReport,
  type InFlightRequest,
  type PeerStatus,
  requestPart,
  servingPeers,
} from '@endivegate/core/forwarding';
import { createEventLog } from '../createEventLog/index.ts';
import { serveJson } from '../exchangeJson/index.ts';
import {
  createGatewayRuntime,
  type GatewayRuntime,
} from '../gatewayRuntime/index.ts';
import { testAddress } from '../testAddress/index.ts';
import { createPeerLink, type PeerLink } from './index.ts';

const config: ForwardingConfig = {
  version: 4,
  routes: [],
  services: [],
  requiresKeys: false,
  workspaces: [],
  limits: {
    maxHeaderBytes: 2000,
    maxBodyBytes: 1000,
    headerTimeoutMs: 3000,
    idleTimeoutMs: 15_000,
  },
};

const target: ListedTarget = {
  id: 't1',
  service: 's',
  address: '10.0.0.1:80',
  dataCentre: 'a',
  draining: false,
  slots: 4,
  bornMs: 1,
};

const flight: InFlightRequest = {
  flightId: 'f1',
  targetId: 't1',
  helperIds: [],
  partPrefillMs: 100,
  memoryTokens: 10,
  contextTokens: 10,
  value: 1,
  isShort: true,
  reservations: [],
  gapTargetMs: 250,
  startedAtMs: 0,
  isDecoding: false,
};

interface Entry {
  readonly runtime: GatewayRuntime;
  readonly link: PeerLink;
  readonly address: string;
  /** Crashes that peers reported. */
  readonly crashes: readonly CrashReport[];
}

/** Status of a peer that has the configuration. */
const holder: PeerStatus = {
  name: 'e2',
  peerAddress: '',
  callerAddress: '',
  dataCentre: 'a',
  startedAtUnixMs: 1,
  isReady: true,
  isLeaving: false,
  configVersion: config.version,
  weight: 1,
};

/** Starts a server on a free port and returns its address. */
async function listenLocally(server: TcpServer): Promise<string> {
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

/** Waits until a condition holds, or until the test times out. */
async function until(holds: () => boolean): Promise<void> {
  while (!holds()) {
    await new Promise((resolve) => {
      setTimeout(resolve, 5);
    });
  }
}

describe('createPeerLink', () => {
  const entries: Entry[] = [];
  let skippedMs = 0;

  async function startEntry(
    name: string,
    dataCentre: string,
    seedAddresses: readonly string[],
  ): Promise<Entry> {
    const address = await testAddress();
    const log = createEventLog({ entryId: name, write: () => true });
    const runtime = createGatewayRuntime(log);
    runtime.dispatch({ type: 'roster.listed', atMs: 0, targets: [target] });
    const crashes: CrashReport[] = [];
    const link = createPeerLink({
      serveRelayed: () => undefined,
      crashReported: (crash) => crashes.push(crash),
      runtime,
      log,
      seedAddresses,
      now: () => performance.now() + skippedMs,
      self: () => ({
        name,
        peerAddress: address,
        callerAddress: `${name}:80`,
        dataCentre,
        startedAtUnixMs: 1,
        isReady: true,
        isLeaving: false,
        configVersion: runtime.table()?.config.version ?? 0,
        weight: 1,
      }),
    });
    const entry = { runtime, link, address, crashes };
    entries.push(entry);
    return entry;
  }

  const peersOf = (entry: Entry): readonly string[] =>
    [...entry.runtime.state().peers.keys()].toSorted();

  beforeEach(() => {
    skippedMs = 0;
  });

  afterEach(() => {
    entries.forEach((entry) => {
      entry.link.close();
    });
    entries.length = 0;
  });

  it('discovers entries in other data centres through a common peer', async () => {
    const first = await startEntry('e1', 'a', []);
    const second = await startEntry('e2', 'a', [first.address]);
    const third = await startEntry('e3', 'b', [first.address]);
    await until(() => peersOf(first).length === 2);
    second.link.addAddresses([third.address]);
    await until(() => peersOf(second).length === 2);
    await until(() => peersOf(third).length === 2);
    expect(peersOf(second)).to.deep.equal(['e1', 'e3']);
  });

  it('fetches a newer configuration from a peer, never an older one', async () => {
    const first = await startEntry('e1', 'a', []);
    first.runtime.applyConfig(config, 'store');
    const second = await startEntry('e2', 'a', [first.address]);
    second.runtime.applyConfig({ ...config, version: 3 }, 'store');
    await until(() => second.runtime.table()?.config.version === 4);
    expect(first.runtime.table()?.config.version).to.equal(4);
  });

  // Guards against a peer whose version above 2^53 passes for the one before.
  it('fetches a configuration whose version differs in its last digit', async () => {
    const [older, newer] = [1796000000000000003n, 1796000000000000006n];
    const first = await startEntry('e1', 'a', []);
    first.runtime.applyConfig({ ...config, version: newer }, 'store');
    const second = await startEntry('e2', 'a', [first.address]);
    second.runtime.applyConfig({ ...config, version: older }, 'store');
    await until(() => second.runtime.table()?.config.version === newer);
  });

  // Guards against a configuration that comes late because the peer that was asked for it
  // first is frozen, cut off or has a slow link.
  it('fetches a newer configuration from another peer when the first one is silent', async () => {
    const entry = await startEntry('e1', 'a', []);
    const silent = createTcpServer();
    const sound = serveJson('/config', () => config);
    const [first = '', second = ''] = await Promise.all(
      [silent, sound].map(listenLocally),
    );
    entry.link.fetchConfigFrom({ ...holder, name: 'e2', peerAddress: first });
    entry.link.fetchConfigFrom({
      ...holder,
      name: 'e3',
      dataCentre: 'b',
      peerAddress: second,
    });
    await until(() => entry.runtime.table()?.config.version === 4);
    silent.close();
    sound.close();
  });

  // Guards against a data centre whose watchers have lost the store, and which hears of a
  // configuration of the others only with their next heartbeats.
  it('reports a configuration from the store to the peers at once', async () => {
    const first = await startEntry('e1', 'a', []);
    const second = await startEntry('e2', 'b', [first.address]);
    await until(() => peersOf(first).length === 1);
    first.runtime.applyConfig(config, 'store');
    await new Promise(setImmediate);
    first.link.close();
    await until(
      () => second.runtime.state().peers.get('e1')?.configVersion === 4,
    );
  });

  it('shares draining targets and requests that crashed targets', async () => {
    const first = await startEntry('e1', 'a', []);
    const second = await startEntry('e2', 'b', [first.address]);
    await until(() => peersOf(first).length === 1);
    first.runtime.dispatch({
      type: 'roster.put',
      atMs: performance.now(),
      target: { ...target, draining: true },
    });
    const atMs = performance.now();
    first.runtime.dispatch({
      type: 'partSuspects.died',
      atMs,
      death: {
        id: 't1@1#1',
        service: 's',
        process: 't1@1',
        parts: [requestPart('f1')],
        sentAtMs: atMs - 10,
        endedAtMs: atMs,
      },
      crash: { fingerprint: 'f1', targetId: 't1' },
    });
    const isShared = (): boolean =>
      second.runtime.state().roster.targets.get('t1')?.draining === true &&
      second.runtime.state().partSuspects.deaths.size === 1 &&
      second.crashes.length > 0;
    await until(isShared);
    expect(second.crashes[0]).to.deep.equal({
      fingerprint: 'f1',
      targetId: 't1',
    });
  });

  // Guards against an entry that holds a removal which a peer knows to be one.
  it('reports removals that it saw, with the position of the store', async () => {
    const first = await startEntry('e1', 'a', []);
    const second = await startEntry('e2', 'b', [first.address]);
    await until(() => peersOf(first).length === 1);
    const { dispatch } = first.runtime;
    const targets = [{ ...target, revision: 5 }];
    const at = { era: 1, revision: 5 };
    const atMs = performance.now();
    [first, second].forEach(({ runtime }) => {
      runtime.dispatch({ type: 'roster.followed', atMs: atMs - 60_000 });
      runtime.dispatch({ type: 'roster.listed', atMs, targets, at });
    });
    second.runtime.dispatch({ type: 'roster.storeLost', atMs });
    dispatch({ type: 'roster.removed', atMs, id: 't1', at });
    await until(() => second.runtime.state().roster.targets.size === 0);
    const heard = [...second.runtime.state().roster.removals.values()];
    expect(heard).to.deep.equal([
      {
        ...{ id: 't1', bornMs: target.bornMs, era: 1, revision: 5 },
        ...{ atMs: heard[0]?.atMs, isOwn: false, reporters: ['e1'] },
      },
    ]);
  });

  it('shares requests in flight, which expire after a while', async () => {
    const first = await startEntry('e1', 'a', []);
    const second = await startEntry('e2', 'a', [first.address]);
    await until(() => peersOf(first).length === 1);
    first.runtime.dispatch({
      type: 'load.started',
      flight: { ...flight, startedAtMs: performance.now() },
    });
    const requestsAt = (nowMs: number): number =>
      allLoads(second.runtime.state().load, nowMs).get('t1')?.requests ?? 0;
    await until(() => requestsAt(performance.now()) === 1);
    expect(requestsAt(performance.now() + 60_000)).to.equal(0);
  });

  it('stops listing a silent peer for callers', async () => {
    const first = await startEntry('e1', 'a', []);
    const second = await startEntry('e2', 'a', [first.address]);
    const serving = (): number =>
      servingPeers(second.runtime.state().peers, performance.now() + skippedMs)
        .length;
    await until(() => serving() === 1);
    first.link.close();
    skippedMs = 5000;
    expect(serving()).to.equal(0);
  });

  /** Starts 20 entries in two data centres that form cells. */
  async function startCells(): Promise<readonly [Entry, ...Entry[]]> {
    const first = await startEntry('e00', 'a', []);
    const names = Array.from({ length: 19 }, (_, n) => `e${n + 10}`);
    const others = await Promise.all(
      names.map((name, n) =>
        startEntry(name, n % 2 === 0 ? 'a' : 'b', [first.address]),
      ),
    );
    const everyone = [first, ...others];
    const targets = Array.from({ length: 68 }, (_, n) => ({
      ...target,
      id: `t${n}`,
      dataCentre: n % 2 === 0 ? 'a' : 'b',
    }));
    everyone.forEach((one) => {
      one.runtime.dispatch({ type: 'roster.listed', atMs: 0, targets });
    });
    await until(() => everyone.every((one) => peersOf(one).length === 19));
    return [first, ...others];
  }

  it('tells requests to its data centre only where data centres form cells', async () => {
    const [first, ...others] = await startCells();
    first.runtime.dispatch({
      type: 'load.started',
      flight: { ...flight, targetId: 't2', startedAtMs: performance.now() },
    });
    const requestsAt = (entry: Entry): number =>
      allLoads(entry.runtime.state().load, performance.now()).get('t2')
        ?.requests ?? 0;
    const [inA, inB] = [
      others.filter((_, n) => n % 2 === 0),
      others.filter((_, n) => n % 2 === 1),
    ];
    await until(() => inA.every((one) => requestsAt(one) === 1));
    expect(inB.map(requestsAt)).to.deep.equal(inB.map(() => 0));
  }).timeout(20_000);

  // Guards against crashing targets of each cell anew.
  it('tells all entries of all cells of parts that crash targets', async () => {
    const [first, ...others] = await startCells();
    blockPart(first, 'p');
    await until(() => others.every((one) => blocks(one, 'p')));
  }).timeout(20_000);

  const blocks = (entry: Entry, part: string): boolean =>
    findBlockedParts(entry.runtime.state().partSuspects, {
      service: 's',
      parts: [part],
      nowMs: performance.now(),
    }) !== undefined;

  /** Has an entry find that a part crashes targets. */
  function blockPart(entry: Entry, part: string): void {
    const sinceMs = performance.now() - 1000;
    const { runtime } = entry;
    [0, 100, 200].forEach((ms) => {
      const [sentAtMs, endedAtMs] = [sinceMs + ms, sinceMs + ms + 50];
      runtime.dispatch({
        type: 'partSuspects.died',
        atMs: endedAtMs,
        death: {
          id: `p${ms}#1`,
          service: 's',
          process: `p${ms}`,
          parts: [part],
          sentAtMs,
          endedAtMs,
        },
      });
    });
    [1, 2, 3].forEach(() => {
      const atMs = performance.now();
      const answer = { service: 's', parts: [], atMs };
      runtime.dispatch({ type: 'partSuspects.answered', ...answer });
    });
  }

  it('tells all data centres of parts that crash targets, and of answers to them', async () => {
    const first = await startEntry('e1', 'a', []);
    const second = await startEntry('e2', 'a', [first.address]);
    const third = await startEntry('e3', 'b', [first.address]);
    await until(() => peersOf(first).length === 2);
    await until(() => peersOf(third).length === 2);
    blockPart(first, 'p');
    expect(blocks(first, 'p')).to.equal(true);
    await until(() => [second, third].every((one) => blocks(one, 'p')));
    third.runtime.dispatch({
      type: 'partSuspects.answered',
      atMs: performance.now(),
      service: 's',
      parts: ['p'],
    });
    await until(() => [first, second].every((one) => !blocks(one, 'p')));
  });

  it('tells an entry that starts later which parts are blocked', async () => {
    const first = await startEntry('e1', 'a', []);
    blockPart(first, 'p');
    skippedMs = 5000;
    const second = await startEntry('e2', 'b', [first.address]);
    await until(() => blocks(second, 'p'));
  });

  it('reaches all entries of a large fleet even when its hub is gone', async () => {
    const first = await startEntry('e00', 'a', []);
    const names = Array.from({ length: 19 }, (_, n) => `e${n + 10}`);
    const others = await Promise.all(
      names.map((name, n) =>
        startEntry(name, n % 2 === 0 ? 'a' : 'b', [first.address]),
      ),
    );
    const everyone = [first, ...others];
    const addresses = everyone.map((one) => one.address);
    everyone.forEach((one) => {
      one.link.addAddresses(addresses);
    });
    await until(() => everyone.every((one) => peersOf(one).length === 19));
    const [hub] = everyone
      .filter((_, index) => index === 0 || index % 2 === 1)
      .toSorted((a, b) => (a.address < b.address ? -1 : 1));
    hub?.link.close();
    const teller = everyone.find((one) => one !== hub);
    const listeners = everyone.filter((one) => one !== hub && one !== teller);
    teller?.runtime.dispatch({
      type: 'load.started',
      flight: { ...flight, startedAtMs: performance.now() },
    });
    await until(() =>
      listeners.every((one) => {
        const loads = allLoads(one.runtime.state().load, performance.now());
        return (loads.get('t1')?.requests ?? 0) > 0;
      }),
    );
  });
});
