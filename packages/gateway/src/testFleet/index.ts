import {
  createServer,
  type IncomingMessage,
  request as httpRequest,
  type RequestListener,
} from 'node:http';
import { connect, Socket } from 'node:net';
import type { ForwardingRoute } from '@endivegate/contracts/forwarding';
import { type Gateway, startGateway } from '../startGateway/index.ts';
import { testAddress } from '../testAddress/index.ts';
import {
  testConfig,
  testGatewayOptions,
  testTargets,
} from '../testGateway/index.ts';

const HOST = '127.0.0.1';
const POLL_INTERVAL_MS = 10;

/** The discard port, outside the ports of tests, so that no other run listens there. */
const CLOSED_PORT = 9;

/** Entries that know each other, in front of the same stand-in targets. */
export interface TestFleet {
  readonly entries: readonly TestFleetEntry[];
  /** Requests a path at an entry. */
  readonly ask: (entry: number, path?: string) => Promise<TestFleetAnswer>;
  readonly stop: () => void;
}

/** Response of an entry. */
export interface TestFleetAnswer {
  /** 0 if the connection broke before the response was complete. */
  readonly status: number;
  readonly retryAfterS: number | undefined;
}

/** An entry of a {@link TestFleet}. */
export interface TestFleetEntry {
  readonly gateway: Gateway;
  readonly callerPort: number;
  /** IP and port for traffic between entries. */
  readonly peerAddress: string;
  /** Cuts the entry off from all targets, or restores its paths. */
  readonly setPath: (path: TargetPath) => void;
}

/**
 * State of an entry's path to all targets: `refusing` refuses new connections and
 * keeps open ones, `resetting` resets those too, `hanging` leaves both without an
 * answer.
 */
export type TargetPath = 'open' | 'refusing' | 'resetting' | 'hanging';

/** Options of {@link startTestFleet}. */
export interface StartTestFleetOptions {
  /** Entries, spread over three data centres. */
  readonly entries: number;
  readonly targets: readonly RequestListener[];
  /** Differences from a resumable stream route. */
  readonly route?: Partial<ForwardingRoute>;
}

const DATA_CENTRES = ['a', 'b', 'c'];

/**
 * Starts entries and targets over loopback, and waits until the entries know each
 * other.
 *
 * @param options - Number of entries, targets and route.
 * @returns The fleet.
 *
 * @example
 * const fleet = await startTestFleet({ entries: 8, targets: [answer, answer] });
 */
export async function startTestFleet(
  options: StartTestFleetOptions,
): Promise<TestFleet> {
  const servers = options.targets.map((behave) =>
    createServer((request, response) => {
      request.resume().on('end', () => {
        behave(request, response);
      });
    }),
  );
  const addresses = await Promise.all(
    servers.map(async (server) => {
      const address = await testAddress();
      server.listen(Number(address.split(':')[1]), HOST);
      return address;
    }),
  );
  const targets = testTargets(addresses).map((target, index) => ({
    ...target,
    dataCentre: DATA_CENTRES[index % DATA_CENTRES.length] ?? '',
  }));
  const seed = await testAddress();
  const startEntry = async (index: number): Promise<TestFleetEntry> => {
    let path: TargetPath = 'open';
    const sockets = new Set<Socket>();
    const started = await testGatewayOptions({
      name: `e${index}`,
      dataCentre: DATA_CENTRES[index % DATA_CENTRES.length] ?? '',
      seedAddresses: [seed],
      ...(index === 0 ? { peerAddress: seed } : {}),
      connectTarget(target) {
        if (path === 'hanging') return new Socket();
        const port = path === 'open' ? target.port : CLOSED_PORT;
        const socket = connect({ ...target, port });
        sockets.add(socket);
        dropData(socket, () => path === 'hanging');
        return socket.once('close', () => sockets.delete(socket));
      },
    });
    const gateway = startGateway(started);
    gateway.runtime.dispatch({ type: 'roster.listed', atMs: 0, targets });
    gateway.runtime.applyConfig(testConfig(options.route), 'test');
    return {
      gateway,
      peerAddress: started.peerAddress,
      callerPort: Number(started.callerAddress.split(':')[1]),
      setPath(next) {
        path = next;
        if (next === 'resetting') {
          sockets.forEach((socket) => socket.resetAndDestroy());
        }
      },
    };
  };
  const entries = await Promise.all(
    Array.from({ length: options.entries }, (_, index) => startEntry(index)),
  );
  const isLinked = (): boolean =>
    entries.every(
      ({ gateway }) =>
        gateway.runtime.state().peers.size === entries.length - 1,
    );
  while (!isLinked()) await settle(POLL_INTERVAL_MS);
  let requests = 0;
  return {
    entries,
    ask(index, path = '/') {
      requests += 1;
      return ask(entries[index]?.callerPort ?? 0, path, `a${requests}`);
    },
    stop() {
      entries.forEach(({ gateway }) => {
        gateway.stop();
      });
      servers.forEach((server) => {
        server.closeAllConnections();
        server.close();
      });
    },
  };
}

/** Drops what a socket receives while a condition holds. */
function dropData(socket: Socket, isDropping: () => boolean): void {
  const emit = socket.emit.bind(socket) as (...args: unknown[]) => boolean;
  socket.emit = (event: string, ...args: unknown[]) =>
    event === 'data' && isDropping() ? true : emit(event, ...args);
}

/** Resolves after a time. */
export function settle(delayMs: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, delayMs);
  });
}

function ask(
  port: number,
  path: string,
  requestId: string,
): Promise<TestFleetAnswer> {
  return new Promise((resolve) => {
    const broken = { status: 0, retryAfterS: undefined };
    const request = httpRequest(
      {
        host: HOST,
        port,
        path,
        agent: false,
        headers: { host: 'api.example', 'x-request': requestId },
      },
      (response: IncomingMessage) => {
        const retryAfter = response.headers['retry-after'];
        response.resume();
        response.on('close', () => {
          const { complete, statusCode = 0 } = response;
          const retryAfterS =
            retryAfter === undefined ? undefined : Number(retryAfter);
          resolve(complete ? { status: statusCode, retryAfterS } : broken);
        });
      },
    );
    request.on('error', () => {
      resolve(broken);
    });
    request.end();
  });
}
