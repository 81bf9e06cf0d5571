import { createSocket, type RemoteInfo } from 'node:dgram';
import {
  type Peer,
  type PeerStatus,
  peerTimes,
} from '@endivegate/core/forwarding';
import type { EventLog } from '../createEventLog/index.ts';
import type { GatewayRuntime } from '../gatewayRuntime/index.ts';
import { createBatch } from './_lib/batch.ts';
import { createConfigServer, fetchConfig } from './_lib/configExchange.ts';
import { createHubChoice } from './_lib/hubChoice.ts';
import {
  decodePeerMessages,
  encodePeerMessage,
  type PeerMessage,
  type TargetCodec,
} from './_lib/peerMessage.ts';
import { createTargetCodec } from './_lib/targetCodec.ts';

/** Traffic with the other entries. */
export interface PeerLink {
  /** Tells all peers at once what this entry is and has in flight. */
  readonly tell: () => void;
  /** Adds addresses at which entries may be. */
  readonly addAddresses: (addresses: readonly string[]) => void;
  readonly close: () => void;
}

/** Options of {@link createPeerLink}. */
export interface CreatePeerLinkOptions {
  readonly runtime: GatewayRuntime;
  readonly log: EventLog;
  /** What this entry tells of itself now. */
  readonly self: () => PeerStatus;
  /** Addresses at which entries may be; they may be stale. */
  readonly seedAddresses: readonly string[];
  /** Monotonic time in ms. */
  readonly now: () => number;
  /** Uniform in [0, 1), for the choice of relays. */
  readonly random?: () => number;
}

/** New requests are gathered for this long, so that a burst is told at once. */
const GATHER_MS = 4;

/** Addresses of entries that were not heard are tried this often. */
const SEED_MS = 1050;

/** A peer is told for this long after it was last heard. */
const TELL_SILENT_MS = 4000;

/** A peer's configuration is asked for after this, so that the store's own
 * news, which is on its way, usually comes first. */
const CONFIG_PATIENCE_MS = 250;

/** Addresses of others told in one datagram. */
const MOST_ADDRESSES = 24;

/** Larger fleets gather messages at one entry of each data centre: the
 * datagrams of all to all would grow with the square of the entries. */
const MOST_DIRECT_ENTRIES = 16;

/** Messages are gathered for this long there; a small part of the time for
 * which a short prompt writes. */
const HUB_GATHER_MS = 60;

/** Messages that travel together fit into one packet. */
const MOST_BATCH_BYTES = 1300;

/** First byte of a datagram: what its receiver does beside learning from it.
 * A relay passes it on in its own data centre, so that one copy crosses between
 * data centres; a hub gathers it and passes it on to all. */
const DIRECT = 0;
const TO_RELAY = 1;
const TO_HUB = 2;

/**
 * Opens the link to the other entries: datagrams that tell of this entry, its
 * requests in flight and targets that leave, and a small server from which a
 * peer that has an older configuration fetches the newer one.
 *
 * @param options - State, addresses and clock.
 * @returns The link.
 *
 * @example
 * createPeerLink({ runtime, log, self, seedAddresses, now }).tell();
 */
export function createPeerLink(options: CreatePeerLinkOptions): PeerLink {
  const { runtime, log, self, now, random = Math.random } = options;
  const own = self();
  const codec: TargetCodec = createTargetCodec(() => runtime.state().roster);
  const addresses = new Set(options.seedAddresses);
  addresses.delete(own.peerAddress);
  const socket = createSocket('udp4');
  let beatTimer: NodeJS.Timeout | undefined;
  let gatherTimer: NodeJS.Timeout | undefined;
  let isUrgent = false;
  let isFetching = false;
  const hubs = createHubChoice();
  const batch = createBatch({
    gatherMs: HUB_GATHER_MS,
    mostBytes: MOST_BATCH_BYTES,
    send: sendToAll,
  });
  let isClosed = false;

  socket.on('error', (error) => {
    log.warn('peers.socketError', { reason: error.message });
  });
  socket.on('message', receive);
  const [host = '', port = ''] = own.peerAddress.split(':');
  socket.bind(Number(port), host, tryAddresses);
  const server = createConfigServer(() => runtime.table()?.config);
  server.listen(Number(port), host);
  const seedTimer = setInterval(() => {
    const atMs = now();
    runtime.dispatch({ type: 'peers.ticked', atMs });
    runtime.dispatch({ type: 'load.ticked', atMs });
    tryAddresses();
  }, SEED_MS);
  armBeat();
  runtime.onSendStarted((flight) => {
    isUrgent ||= !flight.isShort;
    gatherTimer ??= setTimeout(() => {
      gatherTimer = undefined;
      if (isUrgent) tell();
      else tellGathered();
      isUrgent = false;
    }, GATHER_MS);
  });

  /** Each message puts off the next heartbeat. */
  function armBeat(): void {
    clearTimeout(beatTimer);
    const { heartbeatMs } = peerTimes(runtime.state().peers.size + 1);
    beatTimer = setTimeout(tellGathered, heartbeatMs);
  }

  function knownPeers(): readonly Peer[] {
    return [...runtime.state().peers.values()].filter(
      (peer) => now() - peer.heardAtMs < TELL_SILENT_MS,
    );
  }

  function localPeers(): readonly Peer[] {
    return knownPeers().filter((peer) => peer.dataCentre === own.dataCentre);
  }

  /** One peer of each other data centre, another one each time. */
  function relays(): readonly Peer[] {
    const remote = knownPeers().filter(
      (peer) => peer.dataCentre !== own.dataCentre,
    );
    const names = [...new Set(remote.map((peer) => peer.dataCentre))];
    return names.flatMap((name) => {
      const peers = remote.filter((peer) => peer.dataCentre === name);
      return peers.slice(Math.floor(random() * peers.length)).slice(0, 1);
    });
  }

  function tell(): void {
    if (isClosed) return;
    armBeat();
    sendToAll(encodeNow([]));
  }

  /** In a large fleet news that can wait a little share their datagrams. */
  function tellGathered(): void {
    const atMs = now();
    const isLarge = runtime.state().peers.size >= MOST_DIRECT_ENTRIES;
    const hub = isLarge ? hubs.pick(localAddresses(), atMs) : undefined;
    if (isClosed || hub === undefined) {
      tell();
      return;
    }
    armBeat();
    if (hub === own.peerAddress) batch.add(encodeNow([]));
    else {
      hubs.gave(hub, atMs);
      send(TO_HUB, encodeNow([]), hub);
    }
  }

  function localAddresses(): readonly string[] {
    const others = localPeers().map((peer) => peer.peerAddress);
    return [own.peerAddress, ...others];
  }

  function sendToAll(messages: Uint8Array): void {
    localPeers().forEach((peer) => {
      send(DIRECT, messages, peer.peerAddress);
    });
    relays().forEach((peer) => {
      send(TO_RELAY, messages, peer.peerAddress);
    });
  }

  /** Tells addresses at which nobody was heard; tells all peers who else is. */
  function tryAddresses(): void {
    const peers = knownPeers();
    const heard = new Set(peers.map((peer) => peer.peerAddress));
    const message = encodeNow([...heard].slice(0, MOST_ADDRESSES));
    [...addresses]
      .filter((address) => !heard.has(address))
      .forEach((address) => {
        send(DIRECT, message, address);
      });
    const told = peers.filter((peer) =>
      options.seedAddresses.includes(peer.peerAddress),
    );
    told.forEach((peer) => {
      send(DIRECT, message, peer.peerAddress);
    });
  }

  function encodeNow(told: readonly string[]): Uint8Array {
    const state = runtime.state();
    const message: PeerMessage = {
      self: self(),
      flights: [...state.load.flights.values()],
      leavingIds: [...state.roster.targets.values()]
        .filter((target) => target.draining)
        .map((target) => target.id),
      crashes: [...state.suspects].flatMap(([fingerprint, suspect]) =>
        suspect.crashedIds.map((targetId) => ({ fingerprint, targetId })),
      ),
      addresses: told,
    };
    return encodePeerMessage(message, codec, now());
  }

  function send(mark: number, message: Uint8Array, address: string): void {
    if (isClosed) return;
    const [toHost = '', toPort = ''] = address.split(':');
    const bytes = [Uint8Array.of(mark), message];
    socket.send(bytes, Number(toPort), toHost, () => {
      // A datagram that cannot be sent is lost like any other; the next tells all.
    });
  }

  function receive(datagram: Buffer, from: RemoteInfo): void {
    hubs.heard(`${from.address}:${from.port}`);
    const bytes = datagram.subarray(1);
    const messages = decodePeerMessages(bytes, codec, now());
    if (messages === undefined) {
      log.warn('peers.unreadable', { bytes: datagram.length });
      return;
    }
    if (datagram[0] === TO_RELAY) passOn(bytes, messages);
    if (datagram[0] === TO_HUB) batch.add(Uint8Array.from(bytes));
    messages.filter((one) => one.self.name !== own.name).forEach(learn);
  }

  function passOn(bytes: Uint8Array, messages: readonly PeerMessage[]): void {
    const names = new Set(messages.map((message) => message.self.name));
    localPeers()
      .filter((peer) => names.size > 1 || !names.has(peer.name))
      .forEach((peer) => {
        send(DIRECT, bytes, peer.peerAddress);
      });
  }

  function learn(message: PeerMessage): void {
    const peer = message.self;
    const atMs = now();
    [peer.peerAddress, ...message.addresses]
      .filter((address) => address !== own.peerAddress)
      .forEach((address) => addresses.add(address));
    runtime.dispatch({ type: 'peers.heard', atMs, self: peer });
    runtime.dispatch({
      type: 'load.heard',
      peer: peer.name,
      atMs,
      flights: message.flights,
    });
    if (message.leavingIds.length > 0) {
      runtime.dispatch({
        type: 'roster.leavingHeard',
        atMs,
        ids: message.leavingIds,
      });
    }
    message.crashes.forEach((crash) => {
      const known = runtime.state().suspects.get(crash.fingerprint);
      if (known?.crashedIds.includes(crash.targetId) === true) return;
      runtime.dispatch({ type: 'suspects.crashed', atMs, ...crash });
    });
    if (isNewer(peer)) considerFetch(peer);
  }

  function isNewer(peer: PeerStatus): boolean {
    return peer.configVersion > (runtime.table()?.config.version ?? 0);
  }

  function considerFetch(peer: PeerStatus): void {
    if (isFetching) return;
    isFetching = true;
    setTimeout(() => {
      if (!isNewer(peer)) {
        isFetching = false;
        return;
      }
      fetchConfig(peer.peerAddress, (result) => {
        isFetching = false;
        if (typeof result === 'string') {
          log.warn('config.peerFetchFailed', {
            peer: peer.name,
            reason: result,
          });
        } else runtime.applyConfig(result, `peer ${peer.name}`);
      });
    }, CONFIG_PATIENCE_MS);
  }

  return {
    tell,
    addAddresses(more) {
      more
        .filter((address) => address !== own.peerAddress)
        .forEach((address) => addresses.add(address));
    },
    close() {
      if (isClosed) return;
      isClosed = true;
      clearInterval(seedTimer);
      clearTimeout(beatTimer);
      batch.close();
      clearTimeout(gatherTimer);
      socket.close();
      server.close();
    },
  };
}
