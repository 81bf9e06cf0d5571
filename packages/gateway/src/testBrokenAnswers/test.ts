import { expect } from 'chai';
import type { Socket } from 'node:net';
import type { ForwardingRoute } from '@endivegate/contracts/forwarding';
import {
  startTestGateway,
  type TestAnswer,
  type TestGateway,
} from '../testGateway/index.ts';
import {
  RAW_HEAD,
  type RawTarget,
  startRawTarget,
} from '../testRawTarget/index.ts';

const MIB = 1024 * 1024;

/** More than a connection takes while its target does not read. */
const LONG_UPLOAD = Buffer.alloc(4 * MIB);

/** Races are played so many times. */
const ROUNDS = 6;

/** What callers get for an answer that is broken, after the only attempt. */
const BROKEN_OFF = {
  status: 502,
  body: '{"error":"the target broke off; the request may have run"}',
  isWhole: true,
};

describe('broken answers', () => {
  let target: RawTarget;
  let entry: TestGateway;

  afterEach(async () => {
    await entry.stop();
    target.stop();
  });

  async function start(
    answer: (socket: Socket) => void,
    route: Partial<ForwardingRoute> = {},
  ): Promise<void> {
    target = await startRawTarget(answer);
    entry = await startTestGateway({
      targets: [target.address],
      route: { repeat: 'idempotent', maxAttempts: 1, ...route },
      limits: { maxBodyBytes: 8 * MIB },
    });
  }

  /** Sends requests one after the other. */
  function askInTurn(
    count: number,
    body?: Buffer,
  ): Promise<readonly TestAnswer[]> {
    return Array.from({ length: count }).reduce<Promise<readonly TestAnswer[]>>(
      async (before) => [...(await before), await entry.ask('/x', {}, body)],
      Promise.resolve([]),
    );
  }

  async function expectBroken(count: number, body?: Buffer): Promise<void> {
    const answers = await askInTurn(count, body);
    expect(answers).to.deep.equal(answers.map(() => BROKEN_OFF));
    expect(target.answers()).to.equal(count);
  }

  (['idempotent', 'atMostOnce'] as const).forEach((repeat) => {
    // Guards against a part of an answer that is delivered as a whole one.
    it(`are not passed on if reset during a long upload: ${repeat}`, async () => {
      await start(
        (socket) => {
          socket.write(`${RAW_HEAD}\r\nPART`);
          socket.resetAndDestroy();
        },
        { repeat },
      );
      await expectBroken(ROUNDS, LONG_UPLOAD);
    });

    // The same, where the system resets the connection.
    it(`are not passed on if closed with unread bytes: ${repeat}`, async () => {
      await start(
        (socket) => {
          socket.write(`${RAW_HEAD}\r\nPART`);
          socket.destroy();
        },
        { repeat },
      );
      await expectBroken(ROUNDS, LONG_UPLOAD);
    });
  });

  // Guards against the same part without an upload, which tells nothing of the reset.
  it('are not passed on if reset after a short request', async () => {
    await start((socket) => {
      socket.write(`${RAW_HEAD}\r\nPART`);
      socket.resetAndDestroy();
    });
    await expectBroken(ROUNDS);
  });

  (['gzip', 'gzip, chunked', 'chunked, gzip', 'odd'] as const).forEach(
    (codings) => {
      // Guards against a body that is passed on as coded, without the field that says so;
      // one that chunks do not end also looks whole when its connection is reset.
      it(`are not passed on with transfer codings that callers do not see: ${codings}`, async () => {
        await start((socket) => {
          const body = '4\r\nPART\r\n0\r\n\r\n';
          socket.end(`${RAW_HEAD}transfer-encoding: ${codings}\r\n\r\n${body}`);
        });
        await expectBroken(1);
      });
    },
  );

  // Guards against a coding that names no length being taken for one that does.
  it('are not passed on if reset with a transfer coding other than chunks', async () => {
    await start((socket) => {
      socket.write(`${RAW_HEAD}transfer-encoding: identity\r\n\r\nPART`);
      socket.resetAndDestroy();
    });
    await expectBroken(ROUNDS);
  });

  // Guards against whole answers that are taken for broken ones.
  it('are told from whole ones that end with their connection', async () => {
    await start((socket) => {
      socket.end(`${RAW_HEAD}\r\nWHOLE`);
      socket.resume();
    });
    const answers = await askInTurn(ROUNDS, Buffer.alloc(64 * 1024));
    const whole = { status: 200, body: 'WHOLE', isWhole: true };
    expect(answers).to.deep.equal(answers.map(() => whole));
  });
});
