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
import { createHubSelector } from './_lib/hubSelector.ts';
import {
  decodePeerMessages,
  encodePeerMessage,
  type PeerMessage,
  type TargetCodec,
} from './_lib/peerMessage.ts';
import { createTargetCodec } from './_lib/targetCodec.ts';

/** Exchange of state with the other entries. */
export interface PeerLink {
  /**
   * Sends the state of this entry and its requests in flight to all peers now.
   */
  readonly broadcast: () => void;
  /** Adds addresses at which to look for other entries. */
  readonly addAddresses: (addresses: readonly string[]) => void;
  readonly close: () => void;
}

/** Options of {@link createPeerLink}. */
export interface CreatePeerLinkOptions {
  readonly runtime: GatewayRuntime;
  readonly log: EventLog;
  /** Returns the current description of this entry. */
  readonly self: () => PeerStatus;
  /** Initial addresses of other entries; some may be stale. */
  readonly seedAddresses: readonly string[];
  /** Monotonic time in ms. */
  readonly now: () => number;
  /** Uniform in [0, 1); used to choose relays. */
  readonly random?: () => number;
}

/**
 * Delay before new requests are sent to peers, so that a burst shares a
 * message.
 */
const SEND_DELAY_MS = 4;

/** How often addresses without a known entry are contacted. */
const CONTACT_INTERVAL_MS = 1050;

/** Messages are sent to a peer until this long after it was last heard from. */
const PEER_TIMEOUT_MS = 4000;

/**
 * Delay before fetching a newer configuration from a peer: the store's own
 * change notification usually arrives first.
 */
const CONFIG_FETCH_DELAY_MS = 250;

/** Maximum number of entry addresses in a datagram. */
const MAX_SENT_ADDRESSES = 24;

/**
 * Larger fleets send messages through one hub entry per data centre, since the
 * number of direct datagrams grows with the square of the entries.
 */
const MAX_DIRECT_ENTRIES = 16;

/**
 * How long the hub collects messages; short compared with the decoding time of
 * a short prompt.
 */
const HUB_BATCH_DELAY_MS = 60;

/** Keeps a batch within one network packet. */
const MAX_BATCH_BYTES = 1300;

/**
 * First byte of a datagram: what the receiver does besides applying its
 * messages. A relay forwards it within its own data centre, so that only one
 * copy is sent between data centres. A hub adds it to the batch that it sends
 * to all entries.
 */
const DIRECT = 0;
const TO_RELAY = 1;
const TO_HUB = 2;

/**
 * Opens the link to the other entries. Datagrams carry the state of this entry,
 * its requests in flight and draining targets. An HTTP server lets peers with
 * an older configuration fetch the newer one.
 *
 * @param options - State, addresses and clock.
 * @returns The link.
 *
 * @example
 * createPeerLink({ runtime, log, self, seedAddresses, now }).broadcast();
 */
export function createPeerLink(options: CreatePeerLinkOptions): PeerLink {
  const { runtime, log, self, now, random = Math.random } = options;
  const own = self();
  const codec: TargetCodec = createTargetCodec(() => runtime.state().roster);
  const addresses = new Set(options.seedAddresses);
  addresses.delete(own.peerAddress);
  const socket = createSocket('udp4');
  let heartbeatTimer: NodeJS.Timeout | undefined;
  let sendTimer: NodeJS.Timeout | undefined;
  let bypassHub = false;
  let isFetching = false;
  const hubSelector = createHubSelector();
  const batch = createBatch({
    delayMs: HUB_BATCH_DELAY_MS,
    maxBytes: MAX_BATCH_BYTES,
    send: sendToAll,
  });
  let isClosed = false;

  socket.on('error', (error) => {
    log.warn('peers.socketError', { reason: error.message });
  });
  socket.on('message', receive);
  const [host = '', port = ''] = own.peerAddress.split(':');
  socket.bind(Number(port), host, contactAddresses);
  const server = createConfigServer(() => runtime.table()?.config);
  server.listen(Number(port), host);
  const contactTimer = setInterval(() => {
    const atMs = now();
    runtime.dispatch({ type: 'peers.ticked', atMs });
    runtime.dispatch({ type: 'load.ticked', atMs });
    contactAddresses();
  }, CONTACT_INTERVAL_MS);
  scheduleHeartbeat();
  runtime.onSendStarted((flight) => {
    bypassHub ||= !flight.isShort;
    sendTimer ??= setTimeout(() => {
      sendTimer = undefined;
      if (bypassHub) broadcast();
      else broadcastBatched();
      bypassHub = false;
    }, SEND_DELAY_MS);
  });

  /** Restarts the heartbeat timer; called for each message sent. */
  function scheduleHeartbeat(): void {
    clearTimeout(heartbeatTimer);
    const { heartbeatMs } = peerTimes(runtime.state().peers.size + 1);
    heartbeatTimer = setTimeout(broadcastBatched, heartbeatMs);
  }

  function knownPeers(): readonly Peer[] {
    return [...runtime.state().peers.values()].filter(
      (peer) => now() - peer.heardAtMs < PEER_TIMEOUT_MS,
    );
  }

  function localPeers(): readonly Peer[] {
    return knownPeers().filter((peer) => peer.dataCentre === own.dataCentre);
  }

  /** Picks a random peer in each of the other data centres. */
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

  function broadcast(): void {
    if (isClosed) return;
    scheduleHeartbeat();
    sendToAll(encodeState([]));
  }

  /** Sends the state through the hub in a large fleet, otherwise directly. */
  function broadcastBatched(): void {
    const atMs = now();
    const isLarge = runtime.state().peers.size >= MAX_DIRECT_ENTRIES;
    const hub = isLarge ? hubSelector.pick(localAddresses(), atMs) : undefined;
    if (isClosed || hub === undefined) {
      broadcast();
      return;
    }
    scheduleHeartbeat();
    if (hub === own.peerAddress) batch.add(encodeState([]));
    else {
      hubSelector.messageSent(hub, atMs);
      send(TO_HUB, encodeState([]), hub);
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

  /**
   * Sends the state and the known addresses to all addresses without a known
   * entry, and to the seeds.
   */
  function contactAddresses(): void {
    const peers = knownPeers();
    const knownAddresses = new Set(peers.map((peer) => peer.peerAddress));
    const message = encodeState(
      [...knownAddresses].slice(0, MAX_SENT_ADDRESSES),
    );
    [...addresses]
      .filter((address) => !knownAddresses.has(address))
      .forEach((address) => {
        send(DIRECT, message, address);
      });
    const seedPeers = peers.filter((peer) =>
      options.seedAddresses.includes(peer.peerAddress),
    );
    seedPeers.forEach((peer) => {
      send(DIRECT, message, peer.peerAddress);
    });
  }

  function encodeState(sentAddresses: readonly string[]): Uint8Array {
    const state = runtime.state();
    const message: PeerMessage = {
      self: self(),
      flights: [...state.load.flights.values()],
      drainingProcesses: [...state.roster.targets.values()]
        .filter((target) => target.draining)
        .map(({ id, bornMs }) => ({ id, bornMs })),
      crashes: [...state.suspects].flatMap(([fingerprint, suspect]) =>
        suspect.crashedTargetIds.map((targetId) => ({ fingerprint, targetId })),
      ),
      addresses: sentAddresses,
    };
    return encodePeerMessage(message, codec, now());
  }

  function send(mark: number, message: Uint8Array, address: string): void {
    if (isClosed) return;
    const [toHost = '', toPort = ''] = address.split(':');
    const bytes = [Uint8Array.of(mark), message];
    socket.send(bytes, Number(toPort), toHost, () => {
      // Send errors are ignored: each message carries the complete state.
    });
  }

  function receive(datagram: Buffer, from: RemoteInfo): void {
    hubSelector.datagramReceived(`${from.address}:${from.port}`);
    const bytes = datagram.subarray(1);
    const messages = decodePeerMessages(bytes, codec, now());
    if (messages === undefined) {
      log.warn('peers.unreadable', { bytes: datagram.length });
      return;
    }
    if (datagram[0] === TO_RELAY) relayLocally(bytes, messages);
    if (datagram[0] === TO_HUB) batch.add(Uint8Array.from(bytes));
    messages.filter((one) => one.self.name !== own.name).forEach(applyMessage);
  }

  function relayLocally(
    bytes: Uint8Array,
    messages: readonly PeerMessage[],
  ): void {
    const names = new Set(messages.map((message) => message.self.name));
    localPeers()
      .filter((peer) => names.size > 1 || !names.has(peer.name))
      .forEach((peer) => {
        send(DIRECT, bytes, peer.peerAddress);
      });
  }

  function applyMessage(message: PeerMessage): void {
    const peer = message.self;
    const atMs = now();
    [peer.peerAddress, ...message.addresses]
      .filter((address) => address !== own.peerAddress)
      .forEach((address) => addresses.add(address));
    runtime.dispatch({ type: 'peers.received', atMs, self: peer });
    runtime.dispatch({
      type: 'load.received',
      peer: peer.name,
      atMs,
      flights: message.flights,
    });
    if (message.drainingProcesses.length > 0) {
      runtime.dispatch({
        type: 'roster.leavingHeard',
        atMs,
        processes: message.drainingProcesses,
      });
    }
    message.crashes.forEach((crash) => {
      const known = runtime.state().suspects.get(crash.fingerprint);
      if (known?.crashedTargetIds.includes(crash.targetId) === true) return;
      runtime.dispatch({ type: 'suspects.crashed', atMs, ...crash });
    });
    if (isNewer(peer)) scheduleConfigFetch(peer);
  }

  function isNewer(peer: PeerStatus): boolean {
    return peer.configVersion > (runtime.table()?.config.version ?? 0);
  }

  function scheduleConfigFetch(peer: PeerStatus): void {
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
    }, CONFIG_FETCH_DELAY_MS);
  }

  return {
    broadcast,
    addAddresses(added) {
      added
        .filter((address) => address !== own.peerAddress)
        .forEach((address) => addresses.add(address));
    },
    close() {
      if (isClosed) return;
      isClosed = true;
      clearInterval(contactTimer);
      clearTimeout(heartbeatTimer);
      batch.close();
      clearTimeout(sendTimer);
      socket.close();
      server.close();
    },
  };
}
