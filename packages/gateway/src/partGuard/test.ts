import { expect } from 'chai';
import {
  createServer,
  request as httpRequest,
  type RequestListener,
  type Server,
} from 'node:http';
import type {
  ForwardingConfig,
  ListedTarget,
} from '@endivegate/contracts/forwarding';
import { type Gateway, startGateway } from '../startGateway/index.ts';
import { testAddress } from '../testAddress/index.ts';
import { testGatewayOptions } from '../testGateway/index.ts';
import { reportedService } from './_lib/reportedService.ts';

const HOST = '127.0.0.1';
const BAD_PART = 'bad0';
const RESET_PART = 'reset0';

/** Last, and so unshared, part of a request that crashes targets as a whole. */
const POISON = 'poison0';
const ENTRIES = 3;
const TARGETS = 8;

/** Names of services, targets and parts. A target's key in the platform's store has 200
 * bytes at most. */
const NAMINGS: Readonly<Record<string, (name: string) => string>> = {
  'short names': (name) => name,
  'names as long as the platform allows': (name) => name.padStart(190, 'x'),
};

const configFor = (service: string): ForwardingConfig => ({
  version: 1,
  routes: [
    {
      name: 'stream',
      host: 'api.example',
      prefix: '/stream/',
      repeat: 'stream',
      timeoutMs: 4000,
      targetLatencyMs: 100,
      gapTargetMs: 500,
      priority: 1,
      shares: [{ service, weight: 1 }],
      maxAttempts: 2,
      anonymous: false,
      resumable: true,
    },
  ],
  services: [{ name: service, healthPath: '/h', maxConnections: 100 }],
  requiresKeys: true,
  workspaces: [{ name: 'w1', keys: ['k1'] }],
  limits: {
    maxHeaderBytes: 2000,
    maxBodyBytes: 1000,
    headerTimeoutMs: 3000,
    idleTimeoutMs: 15_000,
  },
});

/** Time that a target takes until its answer begins, or until it crashes. */
const RUN_MS = 20;

/** Time within which deaths settle, and all entries learn of a block. */
const BLOCK_KNOWN_MS = 600;

/** Time until a crashed target is back as a new process. */
const RESTART_MS = 120;

const settle = (ms: number) =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

// Entries dropped each other's reports if a target's name was long.
Object.entries(NAMINGS).forEach(([what, nameOf]) => {
  describe(`partGuard with ${what}`, () => {
    const service = nameOf('plain');
    const gateways: { readonly gateway: Gateway; readonly port: number }[] = [];
    const servers = new Map<number, Server>();
    const restarts = new Set<NodeJS.Timeout>();
    let received: string[] = [];
    let crashes = 0;
    let requests = 0;

    const listed = (index: number, address: string): ListedTarget => ({
      id: nameOf(`t${index}`),
      service,
      address,
      dataCentre: 'a',
      draining: false,
      slots: 4,
      bornMs: crashes,
    });

    /** Starts a target that crashes on each request with the bad part. */
    function startTarget(index: number, address: string): void {
      const run: RequestListener = (request, response) => {
        received.push(String(request.headers['x-parts']));
        request.resume();
        setTimeout(() => {
          if (String(request.headers['x-parts']).includes(RESET_PART)) {
            blockResetPart();
            request.socket.resetAndDestroy();
            return;
          }
          const parts = String(request.headers['x-parts']);
          if (parts.includes(BAD_PART) || parts.includes(POISON)) {
            crash(index, address);
            return;
          }
          response.setHeader('x-request', String(request.headers['x-request']));
          response.setHeader('x-signed', '1');
          response.end('id: 1\ndata: fine\n\n');
        }, RUN_MS);
      };
      const server = createServer(run);
      server.on('connection', (socket) => {
        server.once('crash', () => socket.resetAndDestroy());
      });
      server.setMaxListeners(0);
      servers.set(index, server);
      server.listen(Number(address.split(':')[1]), HOST, () => {
        gateways.forEach(({ gateway }) => {
          gateway.runtime.dispatch({
            type: 'roster.put',
            atMs: 0,
            target: listed(index, address),
          });
        });
      });
    }

    /** Has all entries hear of a block, as from a peer. */
    function blockResetPart(): void {
      gateways.forEach(({ gateway }) => {
        const atMs = performance.now() + 60_000;
        const block = {
          service: reportedService(service),
          parts: [RESET_PART],
          cause: 'p1',
          level: 0,
          sinceMs: atMs,
        };
        gateway.runtime.dispatch({
          type: 'partSuspects.reportReceived',
          atMs,
          deaths: [],
          sounds: [],
          blocks: [block],
        });
      });
    }

    function crash(index: number, address: string): void {
      const server = servers.get(index);
      if (server === undefined) return;
      servers.delete(index);
      crashes += 1;
      server.close();
      server.emit('crash');
      const timer = setTimeout(() => {
        restarts.delete(timer);
        startTarget(index, address);
      }, RESTART_MS);
      restarts.add(timer);
    }

    async function startEntry(seeds: readonly string[]): Promise<string> {
      const options = await testGatewayOptions({
        name: `e${gateways.length}`,
        dataCentre: gateways.length === 0 ? 'b' : 'a',
        seedAddresses: seeds,
        bounds: {
          retry: { ratio: 0.2, windowMs: 10_000, slack: 1000 },
          graceMs: 8000,
        },
      });
      const gateway = startGateway(options);
      gateway.runtime.applyConfig(configFor(service), 'test');
      gateways.push({
        gateway,
        port: Number(options.callerAddress.split(':')[1]),
      });
      return options.peerAddress;
    }

    beforeEach(async () => {
      received = [];
      crashes = 0;
      const seed = await startEntry([]);
      await startEntry([seed]);
      await startEntry([seed]);
      const addresses = await Promise.all(
        Array.from({ length: TARGETS }, () => testAddress()),
      );
      addresses.forEach((address, index) => {
        startTarget(index, address);
      });
      const isLinked = () =>
        gateways.every(({ gateway }) => {
          const { peers, roster } = gateway.runtime.state();
          return peers.size === ENTRIES - 1 && roster.targets.size === TARGETS;
        });
      while (!isLinked()) await settle(10);
    });

    afterEach(() => {
      restarts.forEach((timer) => {
        clearTimeout(timer);
      });
      restarts.clear();
      servers.forEach((server) => {
        server.closeAllConnections();
        server.close();
      });
      servers.clear();
      gateways.forEach(({ gateway }) => {
        gateway.stop();
      });
      gateways.length = 0;
    });

    const ask = (port: number, parts: string) => {
      requests += 1;
      return send(port, `${parts},own${requests}`, String(requests));
    };

    const send = (port: number, parts: string, content: string) =>
      new Promise<number>((resolve, reject) => {
        const request = httpRequest(
          {
            host: HOST,
            port,
            path: `/stream/${content}`,
            agent: false,
            method: 'POST',
            headers: {
              host: 'api.example',
              'x-request': `a${requests}`,
              authorization: 'Bearer k1',
              'x-parts': parts,
            },
          },
          (response) => {
            response.resume();
            response.on('close', () => {
              resolve(response.statusCode ?? 0);
            });
          },
        );
        request.on('error', reject);
        request.end(`body ${content}`);
      });

    const atAll = (parts: string) =>
      Promise.all(gateways.map(({ port }) => ask(port, parts)));

    /** Requests with the bad part and sound ones at all entries. */
    async function playRound(): Promise<{
      readonly bad: readonly number[];
      readonly sound: readonly number[];
    }> {
      const [bad, sound, other] = await Promise.all([
        atAll(`first,${nameOf(BAD_PART)}`),
        atAll('first,good'),
        atAll('first'),
      ]);
      await settle(RESTART_MS + 2 * RUN_MS);
      return { bad, sound: [...sound, ...other] };
    }

    /** Plays rounds until five targets crashed, and those of the window. */
    async function crashFive(): Promise<void> {
      while (crashes < 5) await playRound();
      await playRound();
      await playRound();
      await playRound();
      received = [];
    }

    const playTen = () =>
      Array.from({ length: 10 }).reduce<ReturnType<typeof playRound>>(
        async (before) => {
          const { bad, sound } = await before;
          const next = await playRound();
          return {
            bad: [...bad, ...next.bad],
            sound: [...sound, ...next.sound],
          };
        },
        Promise.resolve({ bad: [], sound: [] }),
      );

    // Guards against a part that crashes target after target in requests of which no
    // two are alike, so that their fingerprints never repeat.
    it('sends at most three more requests with a part under which five targets crashed', async () => {
      await crashFive();
      const { bad } = await playTen();
      const reached = received.filter((parts) => parts.includes(BAD_PART));
      expect(reached.length).to.be.at.most(3);
      expect(bad.filter((status) => status === 503).length).to.be.at.least(27);
    });

    // Guards against blaming what sound requests share with those that crash targets.
    it('goes on serving sound requests with the same key, route and first part', async () => {
      await crashFive();
      const { sound } = await playTen();
      const sends = received.filter((parts) => !parts.includes(BAD_PART));
      expect(sound.filter((status) => status === 200)).to.have.length(60);
      expect(sends).to.have.length(60);
    });

    // Guards against a request that crashes target after target each time that it comes again,
    // at any entry.
    it('sends at most three more of a request that has crashed three targets', async () => {
      const sendPoison = async (): Promise<readonly number[]> => {
        requests += 1;
        const entry = gateways[requests % ENTRIES];
        const [status] = await Promise.all([
          send(entry?.port ?? 0, POISON, POISON),
          atAll('first'),
        ]);
        await settle(RESTART_MS + 2 * RUN_MS);
        return [status];
      };
      while (crashes < 3) await sendPoison();
      await settle(BLOCK_KNOWN_MS);
      received = [];
      const statuses: number[] = [];
      while (statuses.length < 10) statuses.push(...(await sendPoison()));
      const reached = received.filter((parts) => parts.includes(POISON));
      expect(reached.length).to.be.at.most(3);
      expect(statuses.filter((status) => status === 503)).to.have.length(
        10 - reached.length,
      );
    });

    // Guards against telling a caller that a request did not run although it may have.
    it('refuses a blocked request with 503 only if none of its sends may have run', async () => {
      const port = gateways[0]?.port ?? 0;
      expect(await ask(port, RESET_PART)).to.equal(502);
      expect(await ask(port, RESET_PART)).to.equal(503);
      expect(received).to.have.length(1);
    });
  });
});
