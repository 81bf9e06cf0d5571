import type { Step } from '../../step/index.ts';
import { peerTimes } from '../peerTimes/index.ts';

/** What a peer tells of itself. */
export interface PeerStatus {
  readonly name: string;
  /** IP and port for traffic between entries. */
  readonly peerAddress: string;
  /** IP and port for callers. */
  readonly callerAddress: string;
  readonly dataCentre: string;
  /** Start of its process; the higher one is the newer process. */
  readonly startedAtUnixMs: number;
  readonly isReady: boolean;
  readonly isLeaving: boolean;
  /** Version of its configuration; 0 without any. */
  readonly configVersion: number;
}

/** A peer and when it was last heard. */
export interface Peer extends PeerStatus {
  readonly heardAtMs: number;
}

/** Peers by name. */
export type PeersState = ReadonlyMap<string, Peer>;

/** Events of the peers; times are of the monotonic clock. */
export type PeersEvent =
  | {
      readonly type: 'peers.heard';
      readonly atMs: number;
      readonly self: PeerStatus;
    }
  | { readonly type: 'peers.ticked'; readonly atMs: number };

/** A change of belief that is logged. */
export interface PeersEffect {
  readonly type: 'peers.changed';
  readonly name: string;
  readonly change:
    'joined' | 'restarted' | 'ready' | 'notReady' | 'leaving' | 'lost';
}

/** A peer unheard for this long is forgotten. */
const FORGET_MS = 20_000;

/** No peers. */
export const initialPeers: PeersState = new Map();

/**
 * Keeps the peers that were heard.
 *
 * @param state - The peers.
 * @param event - What happened.
 * @returns The next peers and the changes to log.
 *
 * @example
 * reducePeers(initialPeers, { type: 'peers.heard', atMs: 0, self });
 */
export function reducePeers(
  state: PeersState,
  event: PeersEvent,
): Step<PeersState, PeersEffect> {
  if (event.type === 'peers.ticked') return forget(state, event.atMs);
  const known = state.get(event.self.name);
  const isOlder =
    known !== undefined &&
    known.startedAtUnixMs > event.self.startedAtUnixMs &&
    event.atMs - known.heardAtMs < silenceMsOf(state);
  if (isOlder) return { state, effects: [] };
  const change = changeOf(known, event.self);
  return {
    state: new Map(state).set(event.self.name, {
      ...event.self,
      heardAtMs: event.atMs,
    }),
    effects:
      change === undefined
        ? []
        : [{ type: 'peers.changed', name: event.self.name, change }],
  };
}

/**
 * Lists the peers that take callers now.
 *
 * @param state - The peers.
 * @param nowMs - Monotonic time.
 * @returns Peers that were heard of late, are ready and not leaving.
 *
 * @example
 * servingPeers(state, performance.now());
 */
export function servingPeers(
  state: PeersState,
  nowMs: number,
): readonly Peer[] {
  const silenceMs = silenceMsOf(state);
  return [...state.values()].filter(
    (peer) =>
      nowMs - peer.heardAtMs < silenceMs && peer.isReady && !peer.isLeaving,
  );
}

function silenceMsOf(state: PeersState): number {
  return peerTimes(state.size + 1).silenceMs;
}

function changeOf(
  known: Peer | undefined,
  self: PeerStatus,
): PeersEffect['change'] | undefined {
  if (known === undefined) return 'joined';
  if (known.startedAtUnixMs !== self.startedAtUnixMs) return 'restarted';
  if (!known.isLeaving && self.isLeaving) return 'leaving';
  if (known.isReady !== self.isReady) {
    return self.isReady ? 'ready' : 'notReady';
  }
  return undefined;
}

function forget(
  state: PeersState,
  atMs: number,
): Step<PeersState, PeersEffect> {
  const lost = [...state.values()].filter(
    (peer) => atMs - peer.heardAtMs >= FORGET_MS,
  );
  if (lost.length === 0) return { state, effects: [] };
  const names = new Set(lost.map((peer) => peer.name));
  return {
    state: new Map([...state].filter(([name]) => !names.has(name))),
    effects: lost.map((peer) => ({
      type: 'peers.changed',
      name: peer.name,
      change: 'lost',
    })),
  };
}
