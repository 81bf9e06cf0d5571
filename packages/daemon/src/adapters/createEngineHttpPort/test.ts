import type {
  EngineStream,
  EngineStreamItem,
  EngineSubmission,
  Target,
  TargetError,
} from '@endivegate/contracts';
import {
  expectedAnswer,
  startEngineStandIn,
  type EngineStandIn,
  type StartEngineStandInOptions,
} from '@endivegate/stand-ins';
import { expect } from 'chai';
import * as E from 'fp-ts/lib/Either.js';
import { createServer, type Server } from 'node:net';
import { once } from 'node:events';
import { createEngineHttpPort, type EngineHttpPort } from './index.ts';

const quick: StartEngineStandInOptions = {
  timeScale: 50,
  faults: { restartAfterMs: 20 },
};

function submissionOf(
  attemptId: string,
  overrides: Partial<EngineSubmission> = {},
): EngineSubmission {
  return {
    attemptId,
    model: 'small-chat',
    prompt: 'When is my turn in the rota?',
    promptTokens: 100,
    maxOutputTokens: 20,
    priority: 5,
    timeoutMs: 10_000,
    reservationId: undefined,
    prefixHashes: [],
    ...overrides,
  };
}

async function collect(stream: EngineStream): Promise<EngineStreamItem[]> {
  const items: EngineStreamItem[] = [];
  for await (const item of stream) items.push(item);
  return items;
}

function textOf(items: readonly EngineStreamItem[]): string {
  return items.map((item) => (item.type === 'token' ? item.text : '')).join('');
}

function right<T>(result: E.Either<TargetError, T>): T {
  if (E.isLeft(result)) throw new Error(JSON.stringify(result.left));
  return result.right;
}

describe('createEngineHttpPort', () => {
  let engine: EngineStandIn;
  let port: EngineHttpPort;
  const { signal } = new AbortController();

  beforeEach(async () => {
    engine = await startEngineStandIn(quick);
    port = createEngineHttpPort({ headTimeoutMs: 150, callTimeoutMs: 1_000 });
  });
  afterEach(async () => {
    await port.close();
    await engine.close();
  });

  async function submit(
    submission: EngineSubmission,
    target: Target = engine.target,
  ): Promise<readonly EngineStreamItem[]> {
    return collect(right(await port.submit(target, submission, signal)()));
  }

  it('streams a whole answer', async () => {
    const submission = submissionOf('a');
    const items = await submit(submission);
    expect(textOf(items)).to.equal(expectedAnswer(submission.prompt, 20));
    expect(items.at(-1)?.type).to.equal('end');
  });

  it('reports a refusal as not run', async () => {
    engine.setFaults({ refusesAll: true });
    const result = await port.submit(
      engine.target,
      submissionOf('a'),
      signal,
    )();
    expect(result).to.deep.include({
      left: {
        type: 'refused',
        reason: 'refuses everything',
        retryAfterMs: undefined,
      },
    });
  });

  it('reports a repeated attempt id as failed, not as refused', async () => {
    await submit(submissionOf('a'));
    const result = await port.submit(
      engine.target,
      submissionOf('a'),
      signal,
    )();
    expect(result).to.deep.include({
      left: { type: 'failed', reason: 'status 409' },
    });
  });

  it('reports a refused connection as not sent', async () => {
    engine.crash();
    const result = await port.submit(
      engine.target,
      submissionOf('a'),
      signal,
    )();
    expect(result).to.have.nested.property('left.type', 'notSent');
  });

  it('reports truncated, unterminated and mismatched streams', async () => {
    const endOf = async (
      faults: Parameters<EngineStandIn['setFaults']>[0],
      attemptId: string,
    ): Promise<EngineStreamItem | undefined> => {
      engine.setFaults({ ...faults });
      const items = await submit(submissionOf(attemptId));
      engine.setFaults({ cutRate: 0, unendedRate: 0, crossedRate: 0 });
      return items.at(-1);
    };
    // The mismatched stream comes first, while no other attempt is running whose
    // id the engine could send instead.
    const ends = [
      await endOf({ crossedRate: 1 }, 'a'),
      await endOf({ cutRate: 1 }, 'b'),
      await endOf({ unendedRate: 1 }, 'c'),
    ];
    expect(ends).to.deep.equal([
      { type: 'error', error: { type: 'crossed', attemptId: 'a-other' } },
      { type: 'error', error: { type: 'cut', reason: 'UND_ERR_SOCKET' } },
      { type: 'error', error: { type: 'cut', reason: 'no end mark' } },
    ]);
  });

  it('drops duplicate tokens', async () => {
    engine.setFaults({ doubledRate: 1 });
    const submission = submissionOf('a');
    const items = await submit(submission);
    expect(textOf(items)).to.equal(expectedAnswer(submission.prompt, 20));
  });

  it('resumes a broken stream from its offset', async () => {
    engine.setFaults({ cutRate: 1 });
    const submission = submissionOf('a');
    const first = await submit(submission);
    engine.setFaults({ cutRate: 0 });
    const offset = first.length - 1;
    const resumed = await port.resume(engine.target, 'a', offset, signal)();
    const items = [...first.slice(0, -1), ...(await collect(right(resumed)))];
    expect(textOf(items)).to.equal(expectedAnswer(submission.prompt, 20));
  });

  it('asks about a silent attempt on a fresh connection', async () => {
    engine.setFaults({ silentRate: 1 });
    const stream = right(
      await port.submit(engine.target, submissionOf('a'), signal)(),
    );
    const reading = collect(stream);
    const report = await port.queryAttempt(engine.target, 'a', 500)();
    expect(E.isRight(report)).to.equal(true);
    engine.crash();
    expect((await reading).at(-1)?.type).to.equal('error');
  });

  it('times out when the response headers are late', async () => {
    engine.setFaults({ delayMs: 5_000 });
    const result = await port.submit(
      engine.target,
      submissionOf('a'),
      signal,
    )();
    expect(result).to.deep.include({ left: { type: 'timedOut' } });
  });

  it('survives the abort of an unread stream', async () => {
    const abort = new AbortController();
    const submission = submissionOf('a', { promptTokens: 200_000 });
    right(await port.submit(engine.target, submission, abort.signal)());
    abort.abort();
    const asked = right(await port.queryAttempt(engine.target, 'a', 500)());
    expect(asked.type).to.equal('prefill');
  });

  it('cancels an attempt and frees its memory', async () => {
    const long = submissionOf('a', { promptTokens: 200_000 });
    right(await port.submit(engine.target, long, signal)());
    expect(engine.model.usedKvTokens()).to.equal(200_020);
    right(await port.cancel(engine.target, 'a')());
    expect(engine.model.usedKvTokens()).to.equal(0);
  });

  it('reserves, lists and frees memory; freeing is idempotent', async () => {
    const reservation = {
      reservationId: 'entry-1/7/1',
      tokens: 1_000,
      lifetimeMs: 60_000,
    };
    right(await port.reserve(engine.target, reservation)());
    const listed = right(await port.listReservations(engine.target)());
    expect(listed.map((one) => one.reservationId)).to.deep.equal([
      reservation.reservationId,
    ]);
    right(
      await port.freeReservation(engine.target, reservation.reservationId)(),
    );
    right(
      await port.freeReservation(engine.target, reservation.reservationId)(),
    );
    expect(engine.model.usedKvTokens()).to.equal(0);
  });

  it('transfers a KV cache, and reads load and cache events', async () => {
    const prompt = { promptTokens: 300_000, prefixHashes: ['p1'] };
    right(
      await port.submit(engine.target, submissionOf('a', prompt), signal)(),
    );
    const kv = right(await port.exportKv(engine.target, 'a')());
    right(await port.importKv(engine.target, 'b', kv)());
    expect(right(await port.load(engine.target)()).kvCapacityTokens).to.equal(
      400_000,
    );
    expect(E.isRight(await port.cacheEvents(engine.target, 0)())).to.equal(
      true,
    );
  });

  it('refuses an order with an old fencing number', async () => {
    const order = {
      orderId: 'o1',
      fencingNumber: 2,
      wanted: {
        models: [{ model: 'large-chat', version: '3', adapters: [] }],
        role: 'long' as const,
      },
      timeoutMs: 1_000,
    };
    right(await port.order(engine.target, order)());
    const old = await port.order(engine.target, {
      ...order,
      fencingNumber: 1,
    })();
    expect(old).to.have.nested.property('left.type', 'refused');
  });

  describe('with a target that closes connections', () => {
    let server: Server;
    let target: Target;
    let received: number;

    beforeEach(async () => {
      received = 0;
      server = createServer((socket) => {
        socket.on('error', () => undefined);
        socket.once('data', () => {
          received += 1;
          socket.destroy();
        });
      });
      server.listen(0, '127.0.0.1');
      await once(server, 'listening');
      const address = server.address();
      const localPort = typeof address === 'object' ? address?.port : undefined;
      target = { ...engine.target, url: `http://127.0.0.1:${localPort}` };
    });
    afterEach(() => server.close());

    it('reports a broken connection, and sends a submission only once', async () => {
      const result = await port.submit(target, submissionOf('a'), signal)();
      expect(result).to.have.nested.property('left.type', 'cut');
      expect(received).to.equal(1);
    });
  });
});
