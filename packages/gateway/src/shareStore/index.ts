import { createSocket } from 'node:dgram';
import {
  BEAT_INTERVAL_MS,
  evacuationReports,
  type EvacuationReport,
  isOverdue,
  isSoundWatcher,
  type Peer,
  probeIntervalMs,
  sharesWatches,
  TAKEOVER_SPREAD_MS,
  type WatcherBeat,
  watchesStore,
} from '@endivegate/core/forwarding';
import type { ListedTarget } from '@endivegate/contracts/forwarding';
import * as E from 'fp-ts/lib/Either.js';
import type { StorePosition } from '../storePort/index.ts';
import { createRemovalHolds } from './_lib/removalHolds.ts';
import {
  createSnapshotServer,
  fetchSnapshot,
} from './_lib/snapshotExchange.ts';
import {
  decodeNews,
  encodeNews,
  type StoreNews,
  type TargetChange,
  type TargetSnapshot,
} from './_lib/storeNews.ts';
import type { ShareStoreOptions } from './types.ts';

export type { TargetChange } from './_lib/storeNews.ts';
export type { ShareStoreOptions, StoreWatchHandlers } from './types.ts';

/** A running exchange of what the store holds. */
export interface StoreSharing {
  readonly isWatching: () => boolean;
  readonly stop: () => void;
}

const TICK_INTERVAL_MS = 100;

/** An entry stops watching when it was not needed for this long. */
const STEP_DOWN_MS = 1000;

/** Fleets beyond this size share watches in each data centre apart. */
const MAX_FLEET_GROUP = 64;

/** Told by an entry that no longer watches. */
const ENDED_OVERDUE_MS = 3_600_000;

/** A watcher from which targets could not be fetched is not relied on for this
 * long: a few tries of another one. */
const DISTRUST_MS = 3000;

/** Peers that were silent for this long are not counted or told. */
const PEER_TIMEOUT_MS = 4000;

/** Entries that missed news fetch all targets within this time of each other. */
const FETCH_SPREAD_MS = 100;

/**
 * Follows the store together with other entries: some watch it, and tell the
 * others its position and each change of the targets. An entry that missed news
 * fetches all targets from a watcher, and one that hears no sound watchers
 * follows the store itself.
 *
 * @param options - State, addresses, and how to watch the store.
 * @returns The running exchange.
 *
 * @example
 * const sharing = shareStore({ runtime, log, startWatch, ...self });
 */
export function shareStore(options: ShareStoreOptions): StoreSharing {
  const { runtime, log, name, weight, now, random = Math.random } = options;
  const [host = '', port = ''] = options.address.split(':');
  const holds = createRemovalHolds({ runtime, now });
  const beats = new Map<string, WatcherBeat>();
  const distrustedUntilMs = new Map<string, number>();
  let listed = new Map<string, ListedTarget>();
  let position: StorePosition | undefined;
  /** Whether the evacuations at `position` are known. An entry that fetched all
   * targets from one of an earlier build does not know them. */
  let knowsEvacuations = false;
  let stopWatch: (() => void) | undefined;
  let answeredAtMs = now();
  let failingSinceMs: number | undefined;
  let nextStartAtMs: number | undefined;
  let unneededSinceMs: number | undefined;
  /** Whether the others know that an answer to this watcher is overdue. */
  let hasToldOverdue = false;
  /** Whether the own watch failed and no sound watcher has told of changes since. */
  let hasMissedChanges = false;
  let isFetching = false;
  let isStopped = false;

  const socket = createSocket('udp4');
  socket.on('error', (error) => {
    log.warn('storeNews.socketError', { reason: error.message });
  });
  socket.on('message', (bytes) => {
    const news = decodeNews(bytes);
    if (news === undefined) {
      log.warn('storeNews.unreadable', { bytes: bytes.length });
    } else if (news.name !== name) receive(news);
  });
  socket.bind(Number(port), host);
  const server = createSnapshotServer(() =>
    position === undefined
      ? undefined
      : {
          ...position,
          holdMs: holds.told().holdMs,
          targets: [...listed.values()],
          ...(knowsEvacuations ? { evacuations: evacuations() } : {}),
        },
  );
  server.listen(Number(port), host);
  const ticker = setInterval(tick, TICK_INTERVAL_MS);
  const beatTimer = setInterval(() => {
    if (stopWatch !== undefined && position !== undefined) {
      tell(position, position, []);
    }
  }, BEAT_INTERVAL_MS);
  start();

  /** Entries with which this one shares watches, without itself. */
  function group(): readonly Peer[] {
    const { peers } = runtime.state();
    const atMs = now();
    const heard = [...peers.values()].filter(
      (peer) => atMs - peer.heardAtMs < PEER_TIMEOUT_MS,
    );
    return heard.length < MAX_FLEET_GROUP
      ? heard
      : heard.filter((peer) => peer.dataCentre === options.dataCentre);
  }

  function tick(): void {
    tellIfOverdue();
    const atMs = now();
    const members = group();
    const isNeeded = watchesStore({
      name,
      weight,
      groupSize: members.length + 1,
      beats: [...beats.values()],
      nowMs: atMs,
    });
    if (isNeeded) {
      unneededSinceMs = undefined;
      nextStartAtMs ??= atMs + TAKEOVER_SPREAD_MS * random();
      if (stopWatch === undefined && atMs >= nextStartAtMs) start();
      return;
    }
    if (stopWatch === undefined) {
      nextStartAtMs = undefined;
      return;
    }
    unneededSinceMs ??= atMs;
    if (atMs - unneededSinceMs >= STEP_DOWN_MS) end('enough others watch');
  }

  /** Tells the others at once, so that they take over before the next beat. */
  function tellIfOverdue(): void {
    if (stopWatch === undefined || position === undefined) return;
    const isLate = isOverdue({ overdueMs: overdueMs() });
    if (isLate && !hasToldOverdue) tell(position, position, []);
    hasToldOverdue = isLate;
  }

  function start(): void {
    log.info('storeWatch.started', { ...position });
    // What lapsed in an outage is among the changes that this watch reports.
    if (hasMissedChanges) {
      runtime.dispatch({ type: 'roster.storeLost', atMs: now() });
    }
    hasMissedChanges = false;
    unneededSinceMs = undefined;
    failingSinceMs = undefined;
    answeredAtMs = now();
    stopWatch = options.startWatch(knowsEvacuations ? position : undefined, {
      onList(targets, at) {
        noteAnswer();
        knowsEvacuations = true;
        listed = new Map(targets.map((target) => [target.id, target]));
        position = at;
        tell(at, at, []);
      },
      onWatched(from, to, changes) {
        noteAnswer();
        holds.extend(0);
        applyToListed(changes);
        position = to;
        if (to.revision > from.revision) tell(from, to, changes);
      },
      onFailed: handleFailure,
    });
  }

  function end(reason: string): void {
    log.info('storeWatch.ended', { reason });
    stopWatch?.();
    stopWatch = undefined;
    unneededSinceMs = undefined;
    nextStartAtMs = undefined;
    runtime.dispatch({ type: 'roster.interrupted', atMs: now() });
    if (position !== undefined) tell(position, position, []);
  }

  function noteAnswer(): void {
    answeredAtMs = now();
    failingSinceMs = undefined;
  }

  /** Time by which an answer is overdue; without end after the watch was ended. */
  function overdueMs(): number {
    if (stopWatch === undefined) return ENDED_OVERDUE_MS;
    const dueAtMs = failingSinceMs ?? answeredAtMs + options.answerMs;
    return Math.max(now() - dueAtMs, 0);
  }

  /**
   * The first entries of the group keep trying. The others leave it to them, and
   * try again after a while, since the store may answer only some entries.
   */
  function handleFailure(): void {
    failingSinceMs ??= now();
    const members = group();
    const isFirst = watchesStore({
      name,
      weight,
      groupSize: members.length + 1,
      beats: members.map((peer) => ({
        name: peer.name,
        weight: peer.weight,
        heardAtMs: now(),
        overdueMs: 0,
      })),
      nowMs: now(),
    });
    if (isFirst) return;
    hasMissedChanges = true;
    end('the store does not answer');
    const intervalMs = probeIntervalMs(members.length + 1);
    nextStartAtMs = now() + intervalMs * (0.5 + random());
  }

  function tell(
    from: StorePosition,
    to: StorePosition,
    changes: readonly TargetChange[],
  ): void {
    const members = group();
    if (isStopped || !sharesWatches(members.length + 1)) return;
    const toldEvacuations = evacuations();
    const bytes = encodeNews({
      name,
      weight,
      era: to.era,
      fromRevision: from.revision,
      revision: to.revision,
      overdueMs: Math.round(overdueMs()),
      ...holds.told(),
      configVersion: runtime.table()?.config.version ?? 0,
      changes: [...changes],
      ...(toldEvacuations.length === 0 ? {} : { evacuations: toldEvacuations }),
    });
    members.forEach((peer) => {
      socket.send(bytes, Number(port), hostOf(peer), () => {
        // Send errors are ignored: the next beat tells the position again.
      });
    });
  }

  function evacuations(): EvacuationReport[] {
    return [...evacuationReports(runtime.state().evacuations, now())];
  }

  function receive(news: StoreNews): void {
    const beat = {
      name: news.name,
      weight: news.weight,
      heardAtMs: now(),
      overdueMs: news.overdueMs,
    };
    const peer = runtime.state().peers.get(news.name);
    const isDistrusted = (distrustedUntilMs.get(news.name) ?? 0) > now();
    if (peer === undefined || isDistrusted) return;
    beats.set(news.name, beat);
    learnEvacuations(news.evacuations ?? []);
    const ownVersion = runtime.table()?.config.version ?? 0;
    if (news.configVersion > ownVersion) {
      // The peer's own status may still tell an older version.
      options.onNewerConfig({ ...peer, configVersion: news.configVersion });
    }
    if (stopWatch !== undefined || !isSoundWatcher(beat, now())) return;
    holds.endIfFollowed(news);
    if (!isNewer(news)) return;
    const follows =
      position?.era === news.era && news.fromRevision <= position.revision;
    if (!follows) {
      fetchFrom(peer);
      return;
    }
    hasMissedChanges = false;
    holds.extend(news.holdMs);
    const { era, revision } = news;
    news.changes.forEach((change) => {
      applyChange(change, { era, revision });
    });
    applyToListed(news.changes);
    position = { era, revision };
  }

  function learnEvacuations(reports: readonly EvacuationReport[]): void {
    if (reports.length === 0) return;
    runtime.dispatch({
      type: 'evacuations.reported',
      atMs: now(),
      reports,
      source: 'watcher',
    });
  }

  function isNewer(at: StorePosition): boolean {
    return (
      position === undefined ||
      at.era > position.era ||
      (at.era === position.era && at.revision > position.revision)
    );
  }

  function applyChange(change: TargetChange, at: StorePosition): void {
    const atMs = now();
    if (change.type === 'put') {
      runtime.dispatch({ type: 'roster.put', atMs, target: change.target });
    } else {
      runtime.dispatch({ type: 'roster.removed', atMs, id: change.id, at });
    }
  }

  function applyToListed(changes: readonly TargetChange[]): void {
    changes.forEach((change) => {
      if (change.type === 'put') listed.set(change.target.id, change.target);
      else listed.delete(change.id);
    });
  }

  function fetchFrom(peer: Peer): void {
    if (isFetching) return;
    isFetching = true;
    setTimeout(() => {
      fetchSnapshot(`${hostOf(peer)}:${port}`, (result) => {
        isFetching = false;
        if (E.isLeft(result)) {
          log.warn('storeNews.fetchFailed', {
            peer: peer.name,
            ...result.left,
          });
          // Datagrams may arrive from a watcher that cannot be asked.
          distrustedUntilMs.set(peer.name, now() + DISTRUST_MS);
          beats.delete(peer.name);
        } else applySnapshot(result.right);
      });
    }, FETCH_SPREAD_MS * random());
  }

  function applySnapshot(snapshot: TargetSnapshot): void {
    if (stopWatch !== undefined || !isNewer(snapshot)) return;
    const { targets, era, revision } = snapshot;
    if (position !== undefined && era > position.era) {
      runtime.dispatch({ type: 'roster.storeRestored', atMs: now() });
      options.onRestored(era);
    }
    knowsEvacuations = snapshot.evacuations !== undefined;
    if (snapshot.evacuations !== undefined) {
      runtime.dispatch({
        type: 'evacuations.listed',
        atMs: now(),
        at: { era, revision },
        reports: snapshot.evacuations,
        source: 'watcher',
      });
    }
    hasMissedChanges = false;
    holds.extend(snapshot.holdMs);
    const at = { era, revision };
    runtime.dispatch({ type: 'roster.listed', atMs: now(), targets, at });
    listed = new Map(targets.map((target) => [target.id, target]));
    position = at;
  }

  return {
    isWatching: () => stopWatch !== undefined,
    stop() {
      isStopped = true;
      clearInterval(ticker);
      clearInterval(beatTimer);
      stopWatch?.();
      socket.close();
      server.close();
    },
  };
}

function hostOf(peer: Peer): string {
  return peer.peerAddress.split(':')[0] ?? '';
}
