import { expect } from 'chai';
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

/** What a caller gets of a connection that is closed without an answer. */
const CLOSED: TestAnswer = { status: 0, body: '', isWhole: false };

/** What callers get for an answer that is broken, after the only attempt. */
const BROKEN_OFF = {
  status: 502,
  body: '{"error":"the target broke off; the request may have run"}',
  isWhole: true,
};

/** Returns where the body of a request begins. */
function bodyStart(request: Buffer): number {
  const blankLine = '\r\n\r\n';
  return request.indexOf(blankLine) + blankLine.length;
}

describe('broken answers', () => {
  let target: RawTarget;
  let entry: TestGateway;

  afterEach(async () => {
    await entry.stop();
    target.stop();
  });

  async function start(
    answer: Parameters<typeof startRawTarget>[0],
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

  // Guards against a stream that looks complete although its target was reset. A reset that
  // is seen before the first event is answered with 502.
  it('are truncated for callers of streams if reset during a long upload', async () => {
    const route = { repeat: 'stream', resumable: false } as const;
    await start((socket) => {
      socket.write(`${RAW_HEAD}\r\nid: 1\ndata: a\n\n`);
      socket.resetAndDestroy();
    }, route);
    const kinds = await Array.from({ length: ROUNDS }).reduce<
      Promise<readonly string[]>
    >(async (before) => {
      const done = await before;
      const answer = await entry.ask('/x', {}, LONG_UPLOAD).catch(() => CLOSED);
      return [...done, answer.isWhole ? `whole ${answer.status}` : 'truncated'];
    }, Promise.resolve([]));
    expect(['truncated', 'whole 502']).to.include.members(kinds);
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

  const oddHeads: Readonly<Record<string, string>> = {
    'status 000': RAW_HEAD.replace('200', '000'),
    'status 099': RAW_HEAD.replace('200', '099'),
    'a status of letters': RAW_HEAD.replace('200', 'abc'),
    'a status of four digits': RAW_HEAD.replace('200', '2000'),
    'a blank in the name of a field': `${RAW_HEAD}x odd: 1\r\n`,
    'a blank after the name of a field': `${RAW_HEAD}x-odd : 1\r\n`,
    'a blank in the name of the first field': RAW_HEAD.replace(
      'x-',
      'x odd: 1\r\nx-',
    ),
    'a tab in the name of a field': `${RAW_HEAD}x\todd: 1\r\n`,
    'a control byte in the name of a field': `${RAW_HEAD}x-\x01odd: 1\r\n`,
    'a NUL in the name of a field': `${RAW_HEAD}x-\0odd: 1\r\n`,
    'DEL in the name of a field': `${RAW_HEAD}x-\x7fodd: 1\r\n`,
    'a byte above ASCII in the name of a field': `${RAW_HEAD}x-\xe9odd: 1\r\n`,
    'a field without a name': `${RAW_HEAD}: 1\r\n`,
    'a line without a colon': `${RAW_HEAD}x-odd\r\n`,
    'a control byte in a value': `${RAW_HEAD}x-odd: \x01\r\n`,
    'a folded line': `${RAW_HEAD}x-odd: 1\r\n two\r\n`,
    'a bare CR': `${RAW_HEAD}x-odd: 1\rx-two: 2\r\n`,
  };

  Object.entries(oddHeads).forEach(([what, head]) => {
    (
      [
        ['a length', 'content-length: 4\r\n\r\nPART'],
        ['chunks', 'transfer-encoding: chunked\r\n\r\n4\r\nPART\r\n0\r\n\r\n'],
      ] as const
    ).forEach(([framing, rest]) => {
      // Guards against a head of a server in trouble that is passed on, and against a
      // request without any answer because the head cannot be written.
      it(`are not passed on with ${what}, with ${framing}`, async () => {
        await start((socket) => {
          socket.write(head + rest, 'latin1');
        });
        await expectBroken(1);
      });
    });
  });

  // Guards against a stream whose head cannot be written.
  it('are not passed on as streams with a blank in the name of a field', async () => {
    const route = { repeat: 'stream', resumable: true } as const;
    await start((socket) => {
      socket.end(`${RAW_HEAD}x odd: 1\r\n\r\nid: 1\ndata: a\n\n`);
    }, route);
    await expectBroken(1);
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

  // Guards against the same after a long upload that the target has read.
  it('are told from whole ones that end with their connection after a long upload', async () => {
    await start((socket, received) => {
      let missingBytes =
        LONG_UPLOAD.length - received.length + bodyStart(received);
      socket.on('data', (chunk) => {
        missingBytes -= chunk.length;
        if (missingBytes === 0) socket.end(`${RAW_HEAD}\r\nWHOLE`);
      });
      socket.resume();
    });
    const answers = await askInTurn(ROUNDS, LONG_UPLOAD);
    const whole = { status: 200, body: 'WHOLE', isWhole: true };
    expect(answers).to.deep.equal(answers.map(() => whole));
  });
});
