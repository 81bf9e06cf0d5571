import type { Target } from '@endivegate/contracts';
import {
  createEngineHttpPort,
  createPeerClient,
  createPlatformHttpPort,
  startPeerServer,
} from '@endivegate/daemon';
import {
  startEngineStandIn,
  startPlatformStandIn,
} from '@endivegate/stand-ins';
import { subscribe } from 'node:diagnostics_channel';
import type { Socket } from 'node:net';
import { z } from 'zod';
import type { Figures } from '../figures.ts';

/** Ratio of entries to targets in the fleet to design for. */
const ENTRIES_PER_TARGET = 370 / 830;

const REPEATS = 10;

/**
 * Counts the bytes sent and received on all connections that this process
 * accepts.
 */
function countBytes(): () => number {
  const sockets: Socket[] = [];
  subscribe('net.server.socket', (message) => {
    sockets.push((message as { readonly socket: Socket }).socket);
  });
  return () =>
    sockets.reduce((sum, s) => sum + s.bytesRead + s.bytesWritten, 0);
}

/** Runs calls one after another on open connections and returns the totals. */
async function measureCalls(
  calls: number,
  options: {
    readonly bytes: () => number;
    readonly call: () => Promise<unknown>;
  },
): Promise<{ readonly bytes: number; readonly cpuUs: number }> {
  await options.call();
  const before = options.bytes();
  const start = process.cpuUsage();
  for (let done = 0; done < calls; done += 1) await options.call();
  const { user, system } = process.cpuUsage(start);
  return { bytes: options.bytes() - before, cpuUs: user + system };
}

/**
 * Measures reads of an engine's load, with client and server in this process.
 */
export async function measureLoadReads(calls: number): Promise<Figures> {
  const bytes = countBytes();
  const engine = await startEngineStandIn();
  const port = createEngineHttpPort();
  const figures = await measureCalls(calls, {
    bytes,
    call: () => port.load(engine.target)(),
  });
  await port.close();
  await engine.close();
  return { ...figures };
}

/** Measures listing an engine's reservations, for a given number of them. */
export async function measureReservationLists(count: number): Promise<Figures> {
  const bytes = countBytes();
  const engine = await startEngineStandIn();
  const port = createEngineHttpPort();
  for (let index = 0; index < count; index += 1) {
    const reservationId = `entry-001/1760000000000/${index}`;
    await port.reserve(engine.target, {
      reservationId,
      tokens: 10,
      lifetimeMs: 60_000,
    })();
  }
  const figures = await measureCalls(REPEATS, {
    bytes,
    call: () => port.listReservations(engine.target)(),
  });
  await port.close();
  await engine.close();
  return { bytesPerList: figures.bytes / REPEATS };
}

/**
 * Measures demand notifications over gRPC, with client and server in this
 * process.
 */
export async function measureNotifications(calls: number): Promise<Figures> {
  const bytes = countBytes();
  const schema = z.object({ model: z.string() });
  const server = await startPeerServer({
    host: '127.0.0.1',
    port: 0,
    handlers: { topics: { placing: { schema, handle: () => null } } },
  });
  const client = createPeerClient({
    self: { entryId: 'entry-001', incarnation: 1 },
  });
  const peer = { host: '127.0.0.1', peerPort: server.port };
  const message = {
    type: 'demand',
    model: 'model-07',
    work: { short: 12_345.5, medium: 23_456.5, long: 34_567.5, huge: 45_678.5 },
  };
  const figures = await measureCalls(calls, {
    bytes,
    call: () =>
      client.notify(peer, {
        topic: 'placing',
        message,
        replySchema: z.null(),
      })(),
  });
  client.close();
  await server.close(0);
  return { ...figures };
}

/**
 * Measures reads of the platform's instance list, for a given number of
 * targets.
 */
export async function measureInstanceLists(targets: number): Promise<Figures> {
  const bytes = countBytes();
  const platform = await startPlatformStandIn();
  platform.setInstances({
    targets: Array.from({ length: targets }, (_, index) => target(index)),
    entries: Array.from(
      { length: Math.round(targets * ENTRIES_PER_TARGET) },
      (_, index) => entry(index),
    ),
  });
  const port = createPlatformHttpPort({ url: platform.url });
  const figures = await measureCalls(REPEATS, {
    bytes,
    call: () => port.instances({ purpose: 'instances' })(),
  });
  await port.close();
  await platform.close();
  return {
    bytesPerRead: figures.bytes / REPEATS,
    cpuUsPerRead: figures.cpuUs / REPEATS,
  };
}

function target(index: number): Target {
  return {
    targetId: `engine-${index}`,
    targetKind: 'engine',
    url: `http://10.0.${index % 250}.1:8000`,
    region: 'region-a',
    dataCentre: `centre-${index % 7}`,
    serves: [`model-${index % 18}`],
    kvCapacityTokens: 1_000_000,
    checksFencing: true,
    hasKeyLookup: false,
    leaving: false,
  };
}

function entry(index: number) {
  return {
    entryId: `entry-${index}`,
    incarnation: 1_760_000_000_000,
    region: 'region-a',
    dataCentre: `centre-${index % 7}`,
    host: `10.1.${index % 250}.1`,
    httpPort: 8080,
    peerPort: 7070,
    leaving: false,
  };
}
