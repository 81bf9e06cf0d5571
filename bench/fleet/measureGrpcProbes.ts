import { subscribe } from 'node:diagnostics_channel';
import type { Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { createPeerClient, startPeerServer } from '@endivegate/daemon';

/** Cost of probes over gRPC when each member sends one probe per second. */
export interface GrpcProbeFigures {
  readonly members: number;
  readonly bytesPerS: number;
  readonly cpuPercent: number;
  readonly connections: number;
  readonly rssBytesPerConnection: number;
}

const STEADY_MS = 8_000;
const PERIOD_MS = 1_000;

const update = {
  entryId: 'entry-000',
  incarnation: Date.now(),
  revision: 0,
  status: 0,
  leaving: false,
  address: undefined,
};

/**
 * Measures probes over gRPC, with all members in one process and all
 * connections open.
 */
export async function measureGrpcProbes(
  size: number,
): Promise<GrpcProbeFigures> {
  const sockets: Socket[] = [];
  subscribe('net.server.socket', (message) => {
    sockets.push((message as { socket: Socket }).socket);
  });
  const members = await Promise.all(
    Array.from({ length: size }, async (_, index) => ({
      server: await startPeerServer({
        host: '127.0.0.1',
        port: 0,
        handlers: {
          probe: () => ({
            member: update,
            tableNumber: 1,
            timestamp: { wallMs: Date.now(), counter: 0 },
          }),
        },
      }),
      client: createPeerClient({
        self: { entryId: `e${index}`, incarnation: 1 },
      }),
    })),
  );
  const rssBefore = process.memoryUsage().rss;
  const peers = members.map(({ server }) => ({
    host: '127.0.0.1',
    peerPort: server.port,
  }));
  // Opens all connections in advance, as a fleet does in its first minutes.
  for (const { client } of members) {
    await Promise.all(peers.map((peer) => client.probe(peer, 10_000)()));
  }
  const connections = sockets.length;
  const rssBytesPerConnection =
    (process.memoryUsage().rss - rssBefore) / connections;
  const bytes = () =>
    sockets.reduce((sum, s) => sum + s.bytesRead + s.bytesWritten, 0);
  const timers = members.map(({ client }) =>
    setInterval(() => {
      const peer = peers[Math.floor(Math.random() * peers.length)]!;
      void client.probe(peer)();
    }, PERIOD_MS),
  );
  await sleep(PERIOD_MS);
  const start = { bytes: bytes(), cpu: process.cpuUsage(), atMs: Date.now() };
  await sleep(STEADY_MS);
  const seconds = (Date.now() - start.atMs) / 1_000;
  const cpu = process.cpuUsage(start.cpu);
  const total = bytes() - start.bytes;
  timers.forEach((timer) => {
    clearInterval(timer);
  });
  members.forEach(({ client }) => {
    client.close();
  });
  await Promise.all(members.map(({ server }) => server.close(0)));
  return {
    members: size,
    // Each byte is sent by one member and received by another.
    bytesPerS: (2 * total) / seconds / size,
    cpuPercent: (cpu.user + cpu.system) / 10_000 / seconds / size,
    connections,
    rssBytesPerConnection,
  };
}
