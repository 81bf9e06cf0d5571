import { createSocket, type Socket } from 'node:dgram';
import { createServer, request as httpRequest, type Server } from 'node:http';
import {
  ownLoads,
  type PeerSelf,
  PEER_LOAD_LIFETIME_MS,
} from '@endivegate/core/forwarding';
import {
  type ForwardingConfig,
  forwardingConfigSchema,
} from '@endivegate/contracts/forwarding';
import type { EventLog } from '../createEventLog/index.ts';
import type { GatewayRuntime } from '../gatewayRuntime/index.ts';
import {
  decodePeerMessage,
  encodePeerMessage,
  type PeerMessage,
} from './_lib/peerMessage.ts';

/** Traffic with the other entries. */
export interface PeerLink {
  /** Tells peers at once what this entry is and has in flight. */
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
  readonly self: () => PeerSelf;
  /** Addresses at which entries may be; they may be stale. */
  readonly seedAddresses: readonly string[];
  /** Monotonic time in ms. */
  readonly now: () => number;
  /** Random share, for the choice of peers when there are many. */
  readonly random?: () => number;
}

/** At least this often each peer is told. */
const HEARTBEAT_MS = 250;

/** Changes are gathered for this long for each peer, which bounds the
 * datagrams a second whatever the number of peers. */
const GATHER_MS_PER_PEER = 1.5;

const LEAST_GATHER_MS = 4;

/** Peers that one change is told to at once; the others hear the heartbeat. */
const MOST_TOLD_AT_ONCE = 24;

/** A peer's configuration is asked for after this, so that the store's own
 * news, which is on its way, usually comes first. */
const CONFIG_PATIENCE_MS = 250;

const CONFIG_TIMEOUT_MS = 800;

/** Addresses that never answered are tried this often. */
const SEED_EVERY_BEATS = 4;

/** Addresses of others told in one datagram. */
const MOST_ADDRESSES = 24;

const CONFIG_PATH = '/config';
const HTTP_OK = 200;

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
  const addresses = new Set(options.seedAddresses);
  addresses.delete(own.peerAddress);
  const socket = createSocket('udp4');
  let beats = 0;
  let gatherTimer: NodeJS.Timeout | undefined;
  let isFetching = false;

  socket.on('error', (error) => {
    log.warn('peers.socketError', { reason: error.message });
  });
  socket.on('message', (bytes) => {
    receive(decodePeerMessage(bytes));
  });
  const [host = '', port = ''] = own.peerAddress.split(':');
  socket.bind(Number(port), host, () => {
    sendTo([...addresses]);
  });
  const server = serveConfig(runtime, Number(port), host);
  const beat = setInterval(() => {
    beats += 1;
    runtime.dispatch({ type: 'peers.ticked', atMs: now() });
    const isWide = beats % SEED_EVERY_BEATS === 1;
    if (isWide) sendTo([...addresses], heardAddresses());
    else sendTo(heardAddresses());
  }, HEARTBEAT_MS);
  runtime.onLoad(() => {
    gatherTimer ??= setTimeout(tellSome, gatherMs());
  });

  function heardAddresses(): readonly string[] {
    return [...runtime.state().peers.values()]
      .filter((peer) => now() - peer.heardAtMs < PEER_LOAD_LIFETIME_MS * 2)
      .map((peer) => peer.peerAddress);
  }

  function gatherMs(): number {
    return Math.max(
      LEAST_GATHER_MS,
      GATHER_MS_PER_PEER * Math.min(heardAddresses().length, MOST_TOLD_AT_ONCE),
    );
  }

  function tellSome(): void {
    gatherTimer = undefined;
    const all = heardAddresses();
    const offset = Math.floor(random() * all.length);
    sendTo([...all.slice(offset), ...all].slice(0, Math.min(all.length, MOST_TOLD_AT_ONCE)));
  }

  function sendTo(
    targets: readonly string[],
    told: readonly string[] = [],
  ): void {
    const bytes = encodePeerMessage(currentMessage(told));
    targets.forEach((address) => {
      send(socket, bytes, address);
    });
  }

  function currentMessage(told: readonly string[]): PeerMessage {
    const state = runtime.state();
    return {
      self: self(),
      loads: ownLoads(state.load, now()),
      leavingIds: [...state.roster.targets.values()]
        .filter((target) => target.draining)
        .map((target) => target.id),
      crashes: [...state.suspects].flatMap(([fingerprint, suspect]) =>
        suspect.crashedIds.map((targetId) => ({ fingerprint, targetId })),
      ),
      addresses: told.slice(0, MOST_ADDRESSES),
    };
  }

  function receive(message: PeerMessage | undefined): void {
    if (message === undefined) {
      log.warn('peers.unreadable', {});
      return;
    }
    const peer = message.self;
    if (peer.name === own.name) return;
    const atMs = now();
    [peer.peerAddress, ...message.addresses]
      .filter((address) => address !== own.peerAddress)
      .forEach((address) => addresses.add(address));
    runtime.dispatch({ type: 'peers.heard', atMs, self: peer });
    runtime.dispatch({
      type: 'load.heard',
      peer: peer.name,
      atMs,
      loads: message.loads,
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
    if (peer.configVersion > (runtime.table()?.config.version ?? 0)) {
      considerFetch(peer);
    }
  }

  function considerFetch(peer: PeerSelf): void {
    if (isFetching) return;
    isFetching = true;
    setTimeout(() => {
      if (peer.configVersion <= (runtime.table()?.config.version ?? 0)) {
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
    tell() {
      sendTo(heardAddresses());
    },
    addAddresses(more) {
      more
        .filter((address) => address !== own.peerAddress)
        .forEach((address) => addresses.add(address));
    },
    close() {
      clearInterval(beat);
      clearTimeout(gatherTimer);
      socket.close();
      server.close();
    },
  };
}

function send(socket: Socket, bytes: Buffer, address: string): void {
  const [host = '', port = ''] = address.split(':');
  socket.send(bytes, Number(port), host, () => {
    // A datagram that cannot be sent is lost like any other; the next tells all.
  });
}

function serveConfig(
  runtime: GatewayRuntime,
  port: number,
  host: string,
): Server {
  const server = createServer((request, response) => {
    const config = runtime.table()?.config;
    if (request.url !== CONFIG_PATH || config === undefined) {
      response.writeHead(404).end();
      return;
    }
    response.writeHead(HTTP_OK, { connection: 'close' });
    response.end(JSON.stringify(config));
  });
  server.listen(port, host);
  return server;
}

/** Gives the configuration, or why there is none. */
function fetchConfig(
  address: string,
  done: (result: ForwardingConfig | string) => void,
): void {
  const [host = '', port = ''] = address.split(':');
  let isOver = false;
  const finish = (result: ForwardingConfig | string): void => {
    if (isOver) return;
    isOver = true;
    clearTimeout(timer);
    call.destroy();
    done(result);
  };
  const timer = setTimeout(() => {
    finish('timed out');
  }, CONFIG_TIMEOUT_MS);
  const call = httpRequest(
    { host, port: Number(port), path: CONFIG_PATH, agent: false },
    (response) => {
      const chunks: Buffer[] = [];
      response.on('data', (chunk: Buffer) => chunks.push(chunk));
      response.on('error', (error) => {
        finish(error.message);
      });
      response.on('end', () => {
        finish(readConfig(response.statusCode, Buffer.concat(chunks)));
      });
    },
  );
  call.on('error', (error) => {
    finish(error.message);
  });
  call.end();
}

function readConfig(
  status: number | undefined,
  bytes: Buffer,
): ForwardingConfig | string {
  if (status !== HTTP_OK) return `status ${status ?? 0}`;
  try {
    const parsed = forwardingConfigSchema.safeParse(
      JSON.parse(bytes.toString('utf8')),
    );
    return parsed.success ? parsed.data : parsed.error.message;
  } catch (error) {
    return String(error);
  }
}
