import { expect } from 'chai';
import { createServer, type Server, type Socket } from 'node:net';
import type { ServiceCall, Target } from '@endivegate/contracts';
import * as E from 'fp-ts/lib/Either.js';
import { createEngineHttpPort } from '../adapters/createEngineHttpPort/index.ts';
import { createServiceHttpPort } from '../adapters/createServiceHttpPort/index.ts';

const OK = 'HTTP/1.1 200 OK\r\nx-attempt-id: a1\r\n';

const CALL: ServiceCall = {
  attemptId: 'a1',
  method: 'POST',
  path: '/payouts',
  contentType: 'application/json',
  body: Buffer.from('{}'),
  idempotencyKey: undefined,
  timeoutMs: 1000,
};

/** Ways in which a server ends the connection after its last byte. */
const ENDS: Readonly<Record<string, (socket: Socket) => void>> = {
  close: (socket) => {
    socket.end();
  },
  reset: (socket) => {
    socket.resetAndDestroy();
  },
};

describe('broken answers of targets', () => {
  const engines = createEngineHttpPort();
  const services = createServiceHttpPort();
  let server: Server | undefined;

  afterEach(() => {
    server?.close();
  });

  after(async () => {
    await engines.close();
    await services.close();
  });

  /** Starts a target that writes bytes to each connection, and then ends it. */
  async function startTarget(
    bytes: string,
    end: (socket: Socket) => void,
  ): Promise<Target> {
    const started = createServer((socket) => {
      socket.on('error', () => undefined);
      socket.once('data', () => {
        socket.write(bytes);
        end(socket);
      });
    });
    server = started;
    await new Promise<void>((resolve) => {
      started.listen(0, '127.0.0.1', resolve);
    });
    const bound = started.address();
    if (bound === null || typeof bound === 'string') throw new Error('no port');
    return {
      targetId: 't1',
      targetKind: 'service',
      url: `http://127.0.0.1:${bound.port}`,
      region: 'r1',
      dataCentre: 'a',
      serves: ['payouts'],
      kvCapacityTokens: 0,
      checksFencing: false,
      hasKeyLookup: false,
      leaving: false,
    };
  }

  /** Returns how a call and the read of a cache end. */
  async function endsOf(
    bytes: string,
    end: (socket: Socket) => void,
  ): Promise<readonly string[]> {
    const target = await startTarget(bytes, end);
    const answers = [
      await services.call(target, CALL)(),
      await engines.exportKv(target, 'a1')(),
    ];
    return answers.map((answer) =>
      E.isLeft(answer) ? answer.left.type : 'answered',
    );
  }

  /** Heads that name no end of a body which the parser knows. */
  const unframed: Readonly<Record<string, string>> = {
    'no length': `${OK}\r\n`,
    'a transfer coding without chunks': `${OK}transfer-encoding: gzip\r\n\r\n`,
    'chunks that come first': `${OK}transfer-encoding: chunked, gzip\r\n\r\n`,
  };

  Object.entries(unframed).forEach(([what, head]) => {
    Object.entries(ENDS).forEach(([how, end]) => {
      // Guards against a part of an answer, or of a cache, that passes for all of it.
      it(`count as cut with ${what}: ${how}`, async () => {
        expect(await endsOf(`${head}PART`, end)).to.deep.equal(['cut', 'cut']);
      });
    });
  });

  // Guards against a coded body that is passed on without the field that says so.
  it('count as cut with a transfer coding beside chunks', async () => {
    const bytes = `${OK}transfer-encoding: gzip, chunked\r\n\r\n4\r\nPART\r\n0\r\n\r\n`;
    expect(await endsOf(bytes, () => undefined)).to.deep.equal(['cut', 'cut']);
  });

  const odd: Readonly<Record<string, string>> = {
    'status 000': 'HTTP/1.1 000 Odd\r\nx-attempt-id: a1\r\n',
    'status 099': 'HTTP/1.1 099 Odd\r\nx-attempt-id: a1\r\n',
    'a blank in the name of a field': `${OK}x odd: 1\r\n`,
    'a blank after the name of a field': `${OK}x-odd : 1\r\n`,
    'a field without a name': `${OK}: 1\r\n`,
    'a control byte in the name of a field': `${OK}x-\x01odd: 1\r\n`,
  };

  Object.entries(odd).forEach(([what, head]) => {
    // Guards against an answer of a server in trouble that is taken for one.
    it(`count as cut with ${what}`, async () => {
      const bytes = `${head}content-length: 4\r\n\r\nPART`;
      expect(await endsOf(bytes, () => undefined)).to.deep.equal([
        'cut',
        'cut',
      ]);
    });
  });

  // Guards against whole answers that are taken for broken ones.
  it('are told from whole ones', async () => {
    const seen = [
      await endsOf(`${OK}content-length: 4\r\n\r\nfull`, () => undefined),
      await endsOf(
        `${OK}transfer-encoding: chunked\r\n\r\n4\r\nfull\r\n0\r\n\r\n`,
        () => undefined,
      ),
    ];
    expect(seen).to.deep.equal(seen.map(() => ['answered', 'answered']));
  });
});
