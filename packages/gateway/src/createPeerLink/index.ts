import { createSocket, type RemoteInfo } from 'node:dgram';
import type { RequestListener } from 'node:http';
import {
  commonVersion,
  type CrashReport,
  MAX_SHARED_ENTRIES,
  type PeerStatus,
  peerTimes,
} from '@endivegate/core/forwarding';
import type { EventLog } from '../createEventLog/index.ts';
import type { GatewayRuntime } from '../gatewayRuntime/index.ts';
import { createBatch } from './_lib/batch.ts';
import { createConfigFetcher } from './_lib/configFetcher.ts';
import { createContacts } from './_lib/contacts.ts';
import { createPeerServer } from './_lib/peerServer.ts';
import { describeState } from './_lib/describeState.ts';
import { digestMessages, NO_NEWS } from './_lib/digestMessages.ts';
import { createHubSelector } from './_lib/hubSelector.ts';
import {
  encodePeerMessage,
  type PeerMessage,
  type ReceivedMessage,
  type TargetCodec,
} from './_lib/peerMessage.ts';
import { type IgnoredPeerData, readDatagram } from './_lib/readDatagram.ts';
import { createReportSender } from './_lib/reportSender.ts';
import { createPeerSelection } from './_lib/peerSelection.ts';
import { createTargetCodec } from './_lib/targetCodec.ts';

/** Exchange of state with the other entries. */
export interface PeerLink {
  /**
   * Sends the state of this entry and its requests in flight to all peers now.
   */
  readonly broadcast: () => void;
  /** Fetches the configuration of a peer if it is newer, or that of another peer that
   * has it as well. */
  readonly fetchConfigFrom: (peer: PeerStatus) => void;
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
  /** Serves requests that peers relay. */
  readonly serveRelayed: RequestListener;
  /** Checks a crash that an entry of an earlier build reports. */
  readonly crashReported?: (crash: CrashReport) => void;
  /** Monotonic time in ms. */
  readonly now: () => number;
  /** Counts data of peers that was ignored. */
  readonly countIgnored?: (kind: IgnoredPeerData, amount: number) => void;
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

/** How often the status of a data centre's entries is told to the others. Callers
 * are told addresses for a second. */
const DIGEST_INTERVAL_MS = 1000;

/** Entries that do not watch the store fetch a newer configuration within this time
 * of each other. */
const SHARED_FETCH_SPREAD_MS = 100;

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
 * to all entries. A contact is answered with addresses that its sender lacks.
 */
const DIRECT = 0;
const TO_RELAY = 1;
const TO_HUB = 2;
const CONTACT = 3;

/** Datagrams of another kind are ignored. */
const KINDS = new Set([DIRECT, TO_RELAY, TO_HUB, CONTACT]);

/**
 * Opens the link to the other entries. Datagrams carry the state of this entry,
 * its requests in flight and draining targets. An HTTP server lets peers with
 * an older configuration fetch the newer one, and relay requests.
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
  const socket = createSocket('udp4');
  let heartbeatTimer: NodeJS.Timeout | undefined;
  let sendTimer: NodeJS.Timeout | undefined;
  let bypassHub = false;
  const {
    knownPeers,
    localPeers,
    relays,
    hubCandidates,
    isDigestSender,
    isCell,
  } = createPeerSelection({ runtime, self, now, random });
  const hubSelector = createHubSelector();
  const batch = createBatch({
    delayMs: HUB_BATCH_DELAY_MS,
    maxBytes: MAX_BATCH_BYTES,
    send: sendToAll,
  });
  let isClosed = false;
  const contacts = createContacts({
    ownAddress: own.peerAddress,
    seedAddresses: options.seedAddresses,
    knownPeers,
    random,
    encode: (told) =>
      encodePeerMessage({ ...ownMessage(), addresses: told }, codec, now()),
    contact(message, address) {
      send(CONTACT, message, address);
    },
    answer(message, address) {
      send(DIRECT, message, address);
    },
  });
  const configFetcher = createConfigFetcher({ runtime, log, self: own, now });
  const reportSender = createReportSender({
    runtime,
    name: own.name,
    now,
    includeReceived: isDigestSender,
    // In datagrams of their own, as entries of earlier builds cannot read them.
    send(reports, atMs) {
      const message = { ...NO_NEWS, self: self(), ...reports };
      const bytes = encodePeerMessage(message, codec, atMs);
      sendToLocal(bytes);
      sendToRelays(bytes);
    },
  });

  socket.on('error', (error) => {
    log.warn('peers.socketError', { reason: error.message });
  });
  socket.on('message', receive);
  const [host = '', port = ''] = own.peerAddress.split(':');
  socket.bind(Number(port), host, contacts.contact);
  const server = createPeerServer({
    currentConfig: () => runtime.table()?.config,
    serveRelayed: options.serveRelayed,
  });
  server.listen(Number(port), host);
  const digestTimer = setInterval(() => {
    sendDigest();
    reportSender.sendNow();
  }, DIGEST_INTERVAL_MS);
  const contactTimer = setInterval(() => {
    const atMs = now();
    runtime.dispatch({ type: 'peers.ticked', atMs });
    runtime.dispatch({ type: 'load.ticked', atMs });
    contacts.contact();
  }, CONTACT_INTERVAL_MS);
  scheduleHeartbeat();
  // Peers that do not follow the store, or cannot, learn of it at once.
  runtime.onConfig((_table, { source }) => {
    if (source === 'store') broadcast();
    else broadcastBatched();
  });
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
    const receivers = isCell()
      ? localPeers().length
      : runtime.state().peers.size;
    const { heartbeatMs } = peerTimes(receivers + 1);
    heartbeatTimer = setTimeout(broadcastBatched, heartbeatMs);
  }

  function broadcast(): void {
    if (isClosed) return;
    scheduleHeartbeat();
    sendToAll(encodeState());
  }

  /** Sends the state through the hub in a large fleet, otherwise directly. */
  function broadcastBatched(): void {
    const atMs = now();
    const isLarge = runtime.state().peers.size >= MAX_SHARED_ENTRIES;
    const hub = isLarge ? hubSelector.pick(hubCandidates(), atMs) : undefined;
    if (isClosed || hub === undefined) {
      broadcast();
      return;
    }
    scheduleHeartbeat();
    if (hub === own.peerAddress) batch.add(encodeState());
    else {
      hubSelector.messageSent(hub, atMs);
      send(TO_HUB, encodeState(), hub);
    }
  }

  function sendToAll(messages: Uint8Array): void {
    sendToLocal(messages);
    const { isLeaving, isCutOff = false } = self();
    if (!isCell() || isLeaving || isCutOff) sendToRelays(messages);
  }

  function sendToLocal(messages: Uint8Array): void {
    localPeers().forEach((peer) => {
      send(DIRECT, messages, peer.peerAddress);
    });
  }

  function sendToRelays(messages: Uint8Array): void {
    relays().forEach((peer) => {
      send(TO_RELAY, messages, peer.peerAddress);
    });
  }

  /**
   * Tells the other data centres of some entries that this one has, without their
   * requests.
   */
  function sendDigest(): void {
    if (isClosed || !isCell() || !isDigestSender()) return;
    const atMs = now();
    const digest = createBatch({
      delayMs: 0,
      maxBytes: MAX_BATCH_BYTES,
      send: sendToRelays,
    });
    const query = { localPeers: localPeers(), nowMs: atMs, random };
    digestMessages(ownMessage(), query).forEach((message) => {
      digest.add(encodePeerMessage(message, codec, atMs));
    });
  }

  function ownMessage(): PeerMessage {
    return describeState({
      state: runtime.state(),
      self: self(),
      nowMs: now(),
    });
  }

  function encodeState(): Uint8Array {
    return encodePeerMessage(ownMessage(), codec, now());
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
    const read = readDatagram(datagram, {
      kinds: KINDS,
      codec,
      nowMs: now(),
      log,
      countIgnored: options.countIgnored ?? (() => undefined),
    });
    if (read === undefined) return;
    const { kind, bytes } = read;
    const messages = read.messages.map(({ message }) => message);
    if (kind === CONTACT) contacts.answer(messages);
    if (kind === TO_RELAY) relayLocally(bytes, messages);
    if (kind === TO_HUB) batch.add(Uint8Array.from(bytes));
    const others = read.messages.filter(
      ({ message }) => message.self.name !== own.name,
    );
    applyMessages(others.map(({ message }) => message));
    others.forEach(applyExtensions);
  }

  function applyExtensions({ message, extensions }: ReceivedMessage): void {
    const context = { nowMs: now(), sender: message.self };
    extensions
      .flatMap((apply) => apply(context))
      .forEach((event) => {
        runtime.dispatch(event);
      });
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

  function applyMessages(messages: readonly PeerMessage[]): void {
    if (messages.length === 0) return;
    const atMs = now();
    const peers = messages.map((message) => message.self);
    contacts.addAddresses(peers.map((peer) => peer.peerAddress));
    contacts.addAddresses(messages.flatMap((message) => message.addresses));
    const isAnyNew = peers.some(isNewProcess);
    runtime.dispatch({ type: 'peers.received', atMs, peers });
    if (isAnyNew) reportSender.schedule();
    const reports = messages.flatMap(({ self: peer, flights }) =>
      flights === undefined ? [] : [{ peer: peer.name, flights }],
    );
    if (reports.length > 0) {
      runtime.dispatch({ type: 'load.received', atMs, reports });
    }
    const processes = messages.flatMap((message) => message.drainingProcesses);
    if (processes.length > 0) {
      runtime.dispatch({ type: 'roster.leavingHeard', atMs, processes });
    }
    messages
      .filter((message) => !reportsDeaths(message.self))
      .flatMap((message) => message.crashes)
      .forEach((crash) => options.crashReported?.(crash));
    messages.forEach(({ parts }) => {
      if (parts === undefined) return;
      runtime.dispatch({ type: 'partSuspects.reportReceived', atMs, ...parts });
    });
    const limits = messages.flatMap((message) => message.limits ?? []);
    if (limits.length > 0) {
      runtime.dispatch({ type: 'targetLimits.received', reports: limits });
    }
    peers.forEach((peer) => {
      configFetcher.report(peer);
    });
  }

  /** Whether a peer reports the confirmed deaths of whole requests among those of parts. */
  function reportsDeaths({ name }: PeerStatus): boolean {
    const known = runtime.state().peers.get(name);
    return known !== undefined && commonVersion(known) > 0;
  }

  function isNewProcess({ name, startedAtUnixMs }: PeerStatus): boolean {
    const known = runtime.state().peers.get(name);
    return known?.startedAtUnixMs !== startedAtUnixMs;
  }

  return {
    broadcast,
    fetchConfigFrom(peer) {
      configFetcher.report(peer, SHARED_FETCH_SPREAD_MS * random());
    },
    addAddresses: contacts.addAddresses,
    close() {
      if (isClosed) return;
      isClosed = true;
      clearInterval(contactTimer);
      clearInterval(digestTimer);
      clearTimeout(heartbeatTimer);
      batch.close();
      clearTimeout(sendTimer);
      reportSender.close();
      configFetcher.close();
      socket.close();
      server.close();
    },
  };
}
