import { expect } from 'chai';
import * as E from 'fp-ts/lib/Either.js';
import fc from 'fast-check';
import {
  createEngineModel,
  type CreateEngineModelOptions,
  type EngineModel,
  type ModelSubmission,
} from './index.ts';

const smallEngine: CreateEngineModelOptions = {
  engineId: 'engine-1',
  kvCapacityTokens: 10_000,
  prefillTokensPerSecond: 10_000,
  decodeStepMs: 10,
  decodeStepPerSequenceMs: 0,
  chunkTokens: 1_000,
  loadLagMs: 100,
  cacheEventLossRate: 0,
};

function submissionOf(
  attemptId: string,
  overrides: Partial<ModelSubmission> = {},
): ModelSubmission {
  return {
    attemptId,
    promptTokens: 1_000,
    maxOutputTokens: 3,
    priority: 5,
    timeoutMs: 60_000,
    reservationId: undefined,
    prefixHashes: [],
    ...overrides,
  };
}

function firstTokenAtMs(engine: EngineModel, attemptId: string): number {
  const outputs = engine.advance(120_000);
  const token = outputs.find(
    (one) => one.type === 'token' && one.attemptId === attemptId,
  );
  return token?.atMs ?? Infinity;
}

describe('createEngineModel', () => {
  it('prefills a prompt, then outputs its tokens and an end', () => {
    const engine = createEngineModel(smallEngine);
    engine.submit(submissionOf('a'), 0);
    expect(engine.advance(10_000)).toMatchSnapshot();
    expect(engine.usedKvTokens()).to.equal(0);
  });

  it('takes more than twice as long for a prompt of twice the length', () => {
    const timeOf = (promptTokens: number): number => {
      const engine = createEngineModel({
        ...smallEngine,
        kvCapacityTokens: 1_000_000,
      });
      engine.submit(submissionOf('a', { promptTokens }), 0);
      return firstTokenAtMs(engine, 'a');
    };
    expect(timeOf(200_000)).to.be.greaterThan(2 * timeOf(100_000));
  });

  it('prefills the prompt with the higher priority first', () => {
    const engine = createEngineModel(smallEngine);
    engine.submit(submissionOf('long', { promptTokens: 8_000 }), 0);
    engine.submit(submissionOf('urgent', { priority: 9 }), 1);
    expect(firstTokenAtMs(engine, 'urgent')).to.be.lessThan(400);
  });

  it('queues a prompt that does not fit in KV memory and refuses one that never can', () => {
    const engine = createEngineModel({ ...smallEngine, maxQueue: 1 });
    engine.submit(submissionOf('a', { promptTokens: 9_000 }), 0);
    const results = [
      engine.submit(submissionOf('b', { promptTokens: 2_000 }), 0),
      engine.submit(submissionOf('c'), 0),
      engine.submit(submissionOf('d', { promptTokens: 10_000 }), 0),
    ];
    expect(results.map(E.isRight)).to.deep.equal([true, false, false]);
    expect(engine.report('b').type).to.equal('queued');
    engine.cancel('a', 5);
    engine.advance(150);
    expect(engine.report('b').type).to.equal('prefill');
  });

  it('runs a prompt larger than its memory in a reservation', () => {
    const engine = createEngineModel(smallEngine);
    const reservationId = 'entry-1/1/1';
    const long = submissionOf('a', { promptTokens: 25_000, reservationId });
    expect(E.isLeft(engine.submit(long, 0))).to.equal(true);
    engine.reserve({ reservationId, tokens: 10_000, lifetimeMs: 5_000 }, 0);
    expect(E.isRight(engine.submit(long, 0))).to.equal(true);
    expect(engine.usedKvTokens()).to.equal(10_000);
    engine.advance(60_000);
    expect(engine.listReservations(60_000)).to.deep.equal([]);
    expect(engine.usedKvTokens()).to.equal(0);
  });

  it('starts a queued prompt when a reservation expires', () => {
    const engine = createEngineModel(smallEngine);
    engine.reserve(
      { reservationId: 'entry-1/1/1', tokens: 9_500, lifetimeMs: 5_000 },
      0,
    );
    engine.submit(submissionOf('a'), 10);
    expect(engine.nextChangeAtMs()).to.equal(5_000);
    expect(firstTokenAtMs(engine, 'a')).to.be.within(5_000, 6_000);
  });

  it('skips prefill of a cached prefix and delays cache events', () => {
    const engine = createEngineModel({ ...smallEngine, cacheEventLagMs: 200 });
    const prompt = { promptTokens: 3_000, prefixHashes: ['p1', 'p2'] };
    engine.submit(submissionOf('a', prompt), 0);
    const coldMs = firstTokenAtMs(engine, 'a');
    engine.submit(submissionOf('b', prompt), 120_000);
    const hotMs =
      (engine.advance(125_000).find((o) => o.type === 'token')?.atMs ?? 0) -
      120_000;
    expect(hotMs).to.be.lessThan(coldMs / 2);
    expect(engine.cacheEvents(0, coldMs + 199)).to.deep.equal([]);
    expect(engine.cacheEvents(0, coldMs + 200)).to.have.length(2);
  });

  it('reports the load with a lag', () => {
    const engine = createEngineModel(smallEngine);
    engine.submit(submissionOf('a', { promptTokens: 9_000 }), 1_000);
    expect(engine.load(1_050).runningRequests).to.equal(0);
    expect(engine.load(1_150).runningRequests).to.equal(1);
  });

  it('drops a submission that is past its deadline', () => {
    const engine = createEngineModel(smallEngine);
    engine.submit(submissionOf('a', { promptTokens: 9_000, timeoutMs: 50 }), 0);
    const types = engine.advance(5_000).map((output) => output.type);
    expect(types).to.deep.equal(['started', 'expired']);
    expect(engine.usedKvTokens()).to.equal(0);
  });

  it('resumes an imported attempt from the exported KV cache', () => {
    const source = createEngineModel(smallEngine);
    source.submit(submissionOf('a', { promptTokens: 8_000 }), 0);
    source.advance(500);
    const kv = source.exportKv('a');
    const engine = createEngineModel(smallEngine);
    if (E.isRight(kv)) engine.importKv('a', kv.right);
    engine.submit(submissionOf('a', { promptTokens: 8_000 }), 0);
    expect(firstTokenAtMs(engine, 'a')).to.be.lessThan(600);
  });

  it('loses all state in a crash', () => {
    const engine = createEngineModel(smallEngine);
    engine.submit(submissionOf('a'), 0);
    engine.crash(10);
    expect(engine.report('a')).to.deep.equal({ type: 'absent' });
    expect(engine.advance(10_000)).to.deep.equal([]);
    expect(engine.usedKvTokens()).to.equal(0);
  });

  it('stays within KV memory and ends each accepted attempt once', () => {
    const submissions = fc.array(
      fc.record({
        gapMs: fc.integer({ min: 0, max: 300 }),
        promptTokens: fc.integer({ min: 1, max: 9_000 }),
        maxOutputTokens: fc.integer({ min: 1, max: 20 }),
        timeoutMs: fc.integer({ min: 1, max: 3_000 }),
        priority: fc.integer({ min: 0, max: 9 }),
      }),
      { maxLength: 30 },
    );
    fc.assert(
      fc.property(submissions, (all) => {
        const engine = createEngineModel({ ...smallEngine, maxBatch: 4 });
        let nowMs = 0;
        const accepted = all.flatMap(({ gapMs, ...sizes }, index) => {
          nowMs += gapMs;
          const id = `a${index}`;
          const result = engine.submit(submissionOf(id, sizes), nowMs);
          expect(engine.usedKvTokens()).to.be.at.most(10_000);
          return E.isRight(result) ? [id] : [];
        });
        const ended = engine
          .advance(1_000_000)
          .filter(({ type }) => type === 'end' || type === 'expired')
          .map(({ attemptId }) => attemptId);
        expect(ended.toSorted()).to.deep.equal(accepted.toSorted());
        expect(engine.usedKvTokens()).to.equal(0);
        expect(engine.nextChangeAtMs()).to.equal(undefined);
      }),
      { seed: 1, numRuns: 100 },
    );
  });
});
