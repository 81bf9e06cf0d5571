import { expect } from 'chai';
import type { RequestListener } from 'node:http';
import { createServer, type AddressInfo, type Socket } from 'node:net';
import type { ForwardingRoute } from '@endivegate/contracts/forwarding';
import {
  settle,
  startTestFleet,
  type TestFleet,
} from '../../../testFleet/index.ts';
import { sign } from '../../../testGateway/index.ts';

const TIMEOUT_MS = 3000;

/** More than any entry, so that the frozen peer is chosen first. */
const FROZEN_WEIGHT = 1000;

/** Accepts connections and sends nothing, as a frozen process does. */
async function listenFrozen(): Promise<{
  readonly address: string;
  readonly sockets: ReadonlySet<Socket>;
  readonly stop: () => void;
}> {
  const sockets = new Set<Socket>();
  const server = createServer((socket) => {
    sockets.add(socket);
    socket.on('error', () => undefined);
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  return {
    address: `127.0.0.1:${port}`,
    sockets,
    stop() {
      sockets.forEach((socket) => socket.destroy());
      server.close();
    },
  };
}

describe('a peer that freezes while it serves a relayed request', () => {
  let fleet: TestFleet | undefined;
  let frozen: Awaited<ReturnType<typeof listenFrozen>> | undefined;

  afterEach(() => {
    fleet?.stop();
    frozen?.stop();
  });

  /** Returns the status that a caller of an entry without paths to targets gets when
   * the first peer is frozen. */
  async function askThroughFrozen(
    route: Partial<ForwardingRoute>,
    restarts = false,
  ): Promise<{ readonly status: number; readonly relayed: number }> {
    const answer: RequestListener = (request, response) => {
      sign(request, response);
      response.end('id: 1\ndata: e1\n\n');
    };
    const started = await startTestFleet({
      entries: 2,
      targets: [answer, answer, answer],
      route: { timeoutMs: TIMEOUT_MS, ...route },
    });
    fleet = started;
    frozen = await listenFrozen();
    const [entry] = started.entries;
    if (entry === undefined) throw new Error('no entry');
    const { runtime } = entry.gateway;
    entry.setPath('resetting');
    while (runtime.state().targetReach.phase !== 'cutOff') {
      await started.ask(0);
      await settle(20);
    }
    const [peer] = runtime.state().peers.values();
    if (peer === undefined) throw new Error('no peer');
    const { address: peerAddress, sockets } = frozen;
    const hear = (startedAtUnixMs: number): void => {
      const named = { ...peer, name: 'frozen', startedAtUnixMs };
      runtime.dispatch({
        type: 'peers.received',
        atMs: peer.heardAtMs + 100,
        peers: [{ ...named, peerAddress, weight: FROZEN_WEIGHT }],
      });
    };
    hear(peer.startedAtUnixMs);
    const asked = started.ask(0);
    while (restarts && sockets.size === 0) await settle(5);
    if (restarts) hear(peer.startedAtUnixMs + 1);
    const { status } = await asked;
    return { status, relayed: sockets.size };
  }

  // Relayed requests had no limit of silence, so the caller waited for the deadline.
  (['stream', 'idempotent'] as const).forEach((repeat) => {
    it(`loses a request that may be repeated to another peer: ${repeat}`, async () => {
      const { status, relayed } = await askThroughFrozen({ repeat });
      expect(relayed).to.be.at.least(1);
      expect(status).to.equal(200);
    });
  });

  // Guards against running a call twice, and against the status "not run".
  it('leaves a call that may run once to end with 504', async () => {
    const { status, relayed } = await askThroughFrozen({
      repeat: 'atMostOnce',
    });
    expect(relayed).to.be.at.least(1);
    expect(status).to.equal(504);
  });

  // Guards against a caller that waits for an entry that lost power and has started again.
  it('ends a call that may run once when the peer has started again', async () => {
    const { status, relayed } = await askThroughFrozen(
      { repeat: 'atMostOnce' },
      true,
    );
    expect(relayed).to.be.at.least(1);
    expect(status).to.equal(502);
  });
});
