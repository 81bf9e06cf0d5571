import type { ExactInteger } from '@endivegate/contracts/forwarding';
import type { Step } from '../../step/index.ts';
import { peerTimes } from '../peerTimes/index.ts';

/** Status that a peer reports about itself. */
export interface PeerStatus {
  readonly name: string;
  /** IP address and port for traffic between entries. */
  readonly peerAddress: string;
  /** IP address and port for callers. */
  readonly callerAddress: string;
  readonly dataCentre: string;
  /** Start time of its process; a higher value is a newer process. */
  readonly startedAtUnixMs: number;
  readonly isReady: boolean;
  readonly isLeaving: boolean;
  /** Version of its configuration; 0 when it has none. */
  readonly configVersion: ExactInteger;
  /** Capacity relative to other entries. */
  readonly weight: number;
  /** Whether it has lost its paths to all targets. */
  readonly isCutOff?: boolean;
  /** Version of the messages that it sends; absent (0) for builds that name none. */
  readonly protocolVersion?: number;
}

/** A peer and the time of its last message. */
export interface Peer extends PeerStatus {
  readonly heardAtMs: number;
  /** Whether its process serves relayed requests, if it was asked; see
   * `servesRelays`. */
  readonly servesRelays?: boolean;
}

/** Peers by name. */
export type PeersState = ReadonlyMap<string, Peer>;

/** Events of the peer list; times are from the monotonic clock. */
export type PeersEvent =
  | {
      readonly type: 'peers.received';
      readonly atMs: number;
      /** Peers that a datagram tells of. */
      readonly peers: readonly PeerStatus[];
    }
  /** A process that names no protocol version was asked for relays. */
  | {
      readonly type: 'peers.relayProbed';
      readonly name: string;
      readonly startedAtUnixMs: number;
      readonly servesRelays: boolean;
    }
  | { readonly type: 'peers.ticked'; readonly atMs: number };

/** A change of the peer list to log. */
export interface PeersEffect {
  readonly type: 'peers.changed';
  readonly name: string;
  readonly change:
    'joined' | 'restarted' | 'ready' | 'notReady' | 'leaving' | 'lost';
}

/** A peer that was silent for this long is removed. */
const PEER_EXPIRY_MS = 20_000;

/** Peer list before the first message. */
export const initialPeers: PeersState = new Map();

/**
 * Maintains the list of peers from their messages.
 *
 * A message from an older process of a known peer is ignored until the newer one
 * has been silent for the timeout. A process that is leaving stays so: others may
 * pass on an earlier status of it. A process keeps its protocol version: a peer of
 * a build that knows none passes on statuses without it.
 *
 * @param state - Current peers.
 * @param event - The event to apply.
 * @returns The new peers and the changes to log.
 *
 * @example
 * reducePeers(initialPeers, { type: 'peers.received', atMs: 0, peers });
 */
export function reducePeers(
  state: PeersState,
  event: PeersEvent,
): Step<PeersState, PeersEffect> {
  if (event.type === 'peers.ticked') return expirePeers(state, event.atMs);
  if (event.type === 'peers.relayProbed') return noteProbe(state, event);
  const silenceMs = silenceMsOf(state);
  const next = new Map(state);
  const effects = event.peers.flatMap((status): readonly PeersEffect[] => {
    const known = next.get(status.name);
    const isOlder =
      known !== undefined &&
      known.startedAtUnixMs > status.startedAtUnixMs &&
      event.atMs - known.heardAtMs < silenceMs;
    if (isOlder) return [];
    const merged = mergeStatus(known, status);
    const change = changeOf(known, merged);
    next.set(status.name, { ...merged, heardAtMs: event.atMs });
    return change === undefined
      ? []
      : [{ type: 'peers.changed', name: status.name, change }];
  });
  return { state: next, effects };
}

/**
 * Lists the peers that currently accept callers.
 *
 * @param state - Current peers.
 * @param nowMs - Current monotonic time.
 * @returns Peers that were heard recently, are ready and are not leaving.
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

/**
 * Lists the peers that accept callers and reach targets.
 *
 * @param state - Current peers.
 * @param nowMs - Current monotonic time.
 * @returns Serving peers that have not lost their paths to all targets.
 *
 * @example
 * reachingPeers(state, performance.now());
 */
export function reachingPeers(
  state: PeersState,
  nowMs: number,
): readonly Peer[] {
  return servingPeers(state, nowMs).filter((peer) => peer.isCutOff !== true);
}

/** Adds what is known of the process to a status of it, which may be older. */
function mergeStatus(
  known: Peer | undefined,
  status: PeerStatus,
): Omit<Peer, 'heardAtMs'> {
  if (known?.startedAtUnixMs !== status.startedAtUnixMs) return status;
  const { servesRelays } = known;
  const { protocolVersion = 0 } = status;
  const version = Math.max(protocolVersion, known.protocolVersion ?? 0);
  return {
    ...status,
    isLeaving: status.isLeaving || known.isLeaving,
    ...(version === 0 ? {} : { protocolVersion: version }),
    ...(servesRelays === undefined ? {} : { servesRelays }),
  };
}

function noteProbe(
  state: PeersState,
  probed: Extract<PeersEvent, { type: 'peers.relayProbed' }>,
): Step<PeersState, PeersEffect> {
  const { name, startedAtUnixMs, servesRelays } = probed;
  const peer = state.get(name);
  if (peer?.startedAtUnixMs !== startedAtUnixMs) return { state, effects: [] };
  return {
    state: new Map(state).set(name, { ...peer, servesRelays }),
    effects: [],
  };
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

function expirePeers(
  state: PeersState,
  atMs: number,
): Step<PeersState, PeersEffect> {
  const lost = [...state.values()].filter(
    (peer) => atMs - peer.heardAtMs >= PEER_EXPIRY_MS,
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
