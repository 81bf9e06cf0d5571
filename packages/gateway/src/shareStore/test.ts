import { expect } from 'chai';
import { createSocket } from 'node:dgram';
import { mock } from 'node:test';
import type {
  ExactInteger,
  ListedTarget,
} from '@endivegate/contracts/forwarding';
import { createEventLog } from '../createEventLog/index.ts';
import {
  createGatewayRuntime,
  type GatewayRuntime,
} from '../gatewayRuntime/index.ts';
import type { StorePosition } from '../storePort/index.ts';
import { testAddress } from '../testAddress/index.ts';
import { decodeNews, encodeNews, type StoreNews } from './_lib/storeNews.ts';
import {
  shareStore,
  type StoreSharing,
  type StoreWatchHandlers,
  type TargetChange,
} from './index.ts';

const ENTRIES = 20;

const target = (id: string): ListedTarget => ({
  id,
  service: 's',
  address: '10.0.0.1:80',
  dataCentre: 'a',
  draining: false,
  slots: 4,
  bornMs: 1,
});

/** News of a watcher that has nothing to tell. */
const beat: StoreNews = {
  name: '',
  weight: 2,
  era: 1,
  fromRevision: 9,
  revision: 0,
  overdueMs: 0,
  holdMs: 0,
  configVersion: 0,
  changes: [],
};

/** A store whose watches are answered at each write. */
function createFakeStore() {
  const targets = new Map([['t0', target('t0')]]);
  const watches = new Set<{
    from: StorePosition;
    readonly handlers: StoreWatchHandlers;
  }>();
  let at: StorePosition = { era: 1, revision: 1 };
  const listAll = (handlers: StoreWatchHandlers): void => {
    handlers.onList([...targets.values()], at);
  };
  return {
    watches,
    startWatch(
      from: StorePosition | undefined,
      handlers: StoreWatchHandlers,
      runtime: GatewayRuntime,
    ) {
      const apply: StoreWatchHandlers = {
        ...handlers,
        onList(listed, position) {
          runtime.dispatch({
            type: 'roster.followed',
            atMs: performance.now(),
          });
          runtime.dispatch({ type: 'roster.listed', atMs: 0, targets: listed });
          handlers.onList(listed, position);
        },
        onWatched(start, end, changes) {
          runtime.dispatch({
            type: 'roster.followed',
            atMs: performance.now(),
          });
          changes.forEach((change) => {
            runtime.dispatch(
              change.type === 'put'
                ? { type: 'roster.put', atMs: 0, target: change.target }
                : { type: 'roster.removed', atMs: 0, id: change.id },
            );
          });
          handlers.onWatched(start, end, changes);
        },
      };
      const watch = { from: at, handlers: apply };
      const timer = setInterval(() => {
        apply.onWatched(watch.from, at, []);
        watch.from = at;
      }, 50);
      setTimeout(() => {
        if (from?.revision === at.revision) watch.from = at;
        else listAll(apply);
        watches.add(watch);
      }, 1);
      return () => {
        clearInterval(timer);
        watches.delete(watch);
      };
    },
    write(change: TargetChange) {
      const from = at;
      at = { ...at, revision: Number(at.revision) + 1 };
      if (change.type === 'put') targets.set(change.target.id, change.target);
      else targets.delete(change.id);
      watches.forEach((watch) => {
        watch.handlers.onWatched(from, at, [change]);
        watch.from = at;
      });
    },
    restore() {
      at = { era: Number(at.era) + 1, revision: 1 };
      watches.forEach((watch) => {
        listAll(watch.handlers);
        watch.from = at;
      });
    },
  };
}

async function until(holds: () => boolean): Promise<void> {
  while (!holds()) {
    await new Promise((resolve) => {
      setTimeout(resolve, 5);
    });
  }
}

describe('shareStore', () => {
  const running: {
    readonly sharing: StoreSharing;
    readonly runtime: GatewayRuntime;
    stopped: boolean;
  }[] = [];
  const restoredEras: ExactInteger[] = [];
  const newerVersions: ExactInteger[] = [];

  let fleetPort = '';
  let skippedMs = 0;

  async function startFleet(
    store: ReturnType<typeof createFakeStore>,
    started = ENTRIES,
  ) {
    const port = (await testAddress()).split(':')[1] ?? '';
    fleetPort = port;
    const peers = Array.from({ length: ENTRIES }, (_, index) => ({
      name: `e${index + 10}`,
      peerAddress: `127.0.1.${index + 1}:1`,
      callerAddress: `127.0.1.${index + 1}:2`,
      dataCentre: 'a',
      startedAtUnixMs: 1,
      isReady: true,
      isLeaving: false,
      configVersion: 0,
      weight: 1,
    }));
    peers.slice(0, started).forEach((self) => {
      const log = createEventLog({ entryId: self.name, write: () => true });
      const runtime = createGatewayRuntime(log);
      const others = peers.filter((peer) => peer !== self);
      // The peers are heard far in the future, so that they never expire here.
      runtime.dispatch({ type: 'peers.received', atMs: 1e9, peers: others });
      const sharing = shareStore({
        runtime,
        log,
        name: self.name,
        dataCentre: 'a',
        weight: 1,
        address: `127.0.1.${Number(self.name.slice(1)) - 9}:${port}`,
        answerMs: 500,
        startWatch: (from, handlers) =>
          store.startWatch(from, handlers, runtime),
        onNewerConfig: (peer) => newerVersions.push(peer.configVersion),
        onRestored: (era) => restoredEras.push(era),
        now: () => performance.now() + skippedMs,
      });
      running.push({ sharing, runtime, stopped: false });
    });
  }

  function stop(entries: readonly (typeof running)[number][]): void {
    entries.forEach((one) => {
      one.sharing.stop();
      one.stopped = true;
    });
  }

  /** Has the watch of an entry fail that leaves the store to others then; returns it. */
  async function failWatch(store: ReturnType<typeof createFakeStore>) {
    // The first entries of the order would keep trying.
    stop(watching());
    store.watches.clear();
    await until(() => watching().length === 2 && store.watches.size === 2);
    const watchers = watching();
    [...store.watches][0]?.handlers.onFailed();
    await until(() => watchers.some((one) => !one.sharing.isWatching()));
    return watchers.find((one) => !one.sharing.isWatching());
  }

  const alive = () => running.filter((one) => !one.stopped);
  const watching = () => alive().filter((one) => one.sharing.isWatching());
  const allHave = (id: string): boolean =>
    alive().every((one) => one.runtime.state().roster.targets.has(id));

  afterEach(() => {
    alive().forEach((one) => {
      one.sharing.stop();
    });
    running.length = 0;
    restoredEras.length = 0;
    newerVersions.length = 0;
    skippedMs = 0;
    mock.timers.reset();
  });

  it('has few entries watch, and tells all of them each change', async () => {
    const store = createFakeStore();
    await startFleet(store);
    await until(() => watching().length === 2);
    store.write({ type: 'put', target: target('t1') });
    await until(() => allHave('t1'));
    store.write({ type: 'removed', id: 't0' });
    await until(() =>
      alive().every((one) => !one.runtime.state().roster.targets.has('t0')),
    );
    expect(store.watches.size).to.equal(2);
  }).timeout(20_000);

  it('has others take over when all watchers are gone, and misses no change', async () => {
    const store = createFakeStore();
    await startFleet(store);
    await until(() => watching().length === 2);
    watching().forEach((one) => {
      one.sharing.stop();
      one.stopped = true;
    });
    store.write({ type: 'put', target: target('t2') });
    await until(() => allHave('t2'));
    await until(() => watching().length === 2);
  }).timeout(20_000);

  it('tells of newer configurations, and watches itself when it cannot fetch what it missed', async () => {
    const store = createFakeStore();
    await startFleet(store, 1);
    const socket = createSocket('udp4');
    const [entry] = running;
    const port = Number(fleetPort);
    const beats = setInterval(() => {
      ['e11', 'e12'].forEach((name) => {
        const news = { ...beat, name, revision, configVersion };
        socket.send(encodeNews(news), port, '127.0.1.1');
      });
    }, 50);
    let revision = 0;
    let configVersion = 0;
    await until(() => entry?.sharing.isWatching() === false);
    configVersion = 3;
    await until(() => newerVersions.length > 0);
    expect(newerVersions[0]).to.equal(3);
    revision = 9;
    await until(() => entry?.sharing.isWatching() === true);
    clearInterval(beats);
    socket.close();
  }).timeout(20_000);

  // Guards against entries that rely on a watcher for another beat after the store has
  // fallen silent.
  it('tells at once that an answer of the store is overdue', async () => {
    const silentAfterList: typeof store.startWatch = (_from, handlers) => {
      queueMicrotask(() => {
        handlers.onList([], { era: 1, revision: 1 });
      });
      return () => undefined;
    };
    const store = createFakeStore();
    const listener = createSocket('udp4');
    mock.timers.enable({ apis: ['setInterval'] });
    await startFleet({ ...store, startWatch: silentAfterList }, 1);
    await new Promise<void>((resolve) => {
      listener.bind(Number(fleetPort), '127.0.1.2', resolve);
    });
    await new Promise<void>((resolve) => {
      listener.on('message', (bytes) => {
        if ((decodeNews(bytes)?.overdueMs ?? 0) >= 200) resolve();
      });
      skippedMs = 500 + 300;
      mock.timers.tick(100);
    });
    listener.close();
  }).timeout(20_000);

  // Guards against a removal that is held long after an entry lost the store, because nothing
  // has changed since.
  it('ends the hold of an entry that lost the store while nothing changes', async () => {
    const store = createFakeStore();
    await startFleet(store);
    await until(() => watching().length === 2);
    const [entry] = alive().filter((one) => !one.sharing.isWatching());
    entry?.runtime.dispatch({ type: 'roster.storeLost', atMs: 0 });
    const heldUntilMs = () =>
      entry?.runtime.state().roster.holdRemovalsUntilMs ?? Infinity;
    await until(() => Number.isFinite(heldUntilMs()));
    expect(heldUntilMs()).to.be.at.most(performance.now());
  }).timeout(20_000);

  // Guards against a former watcher that takes its own failed call for an outage, and goes on
  // using a target that was removed meanwhile.
  it('applies a removal at once at a former watcher whose call failed', async () => {
    const store = createFakeStore();
    await startFleet(store);
    await until(() => watching().length === 2);
    await failWatch(store);
    store.write({ type: 'removed', id: 't0' });
    await until(() =>
      alive().every((one) => !one.runtime.state().roster.targets.has('t0')),
    );
  }).timeout(20_000);

  // Guards against dropping live targets whose entries lapsed while no entry watched.
  it('holds removals when it watches again after a failed call, and heard of no changes', async () => {
    const store = createFakeStore();
    await startFleet(store);
    await until(() => watching().length === 2);
    const former = await failWatch(store);
    stop(alive().filter((one) => one !== former));
    await until(() => former?.sharing.isWatching() === true);
    const heldUntilMs = () =>
      former?.runtime.state().roster.holdRemovalsUntilMs ?? 0;
    expect(heldUntilMs()).to.be.above(performance.now());
    await until(() => Number.isFinite(heldUntilMs()));
  }).timeout(20_000);

  it('lists again at all entries when the store was restored', async () => {
    const store = createFakeStore();
    await startFleet(store);
    await until(() => watching().length === 2);
    store.write({ type: 'put', target: target('t3') });
    await until(() => allHave('t3'));
    store.restore();
    await until(() => restoredEras.length === ENTRIES - 2);
    expect(new Set(restoredEras)).to.deep.equal(new Set([2]));
    expect(allHave('t3')).to.equal(true);
  }).timeout(20_000);
});

describe('encodeNews', () => {
  const evacuations = [
    {
      ...{ dataCentre: 'a', era: 1, revision: 4 },
      ...{ isEvacuated: true, ageMs: 0 },
    },
  ];

  // Guards against an evacuation that is left out because many targets changed.
  it('keeps evacuations in news that are too large for all changes', () => {
    const changes = Array.from({ length: 60 }, (_, index): TargetChange => ({
      type: 'put',
      target: target(`t${index}`),
    }));
    const news = decodeNews(encodeNews({ ...beat, changes, evacuations }));
    expect(news?.changes).to.deep.equal([]);
    expect(news?.evacuations).to.deep.equal(evacuations);
  });

  it('reads news of earlier builds, which name no evacuations', () => {
    const news = decodeNews(encodeNews(beat));
    expect(news).to.deep.equal(beat);
  });
});
