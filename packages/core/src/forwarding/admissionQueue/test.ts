import { expect } from 'chai';
import fc from 'fast-check';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import {
  type AdmissionQueueState,
  baselinePolicies,
  costOfDelayPolicy,
  decideQueueOffer,
  initialAdmissionQueue,
  nextQueueStep,
  type QueueCapacity,
  type QueuedRequest,
  type QueuePolicy,
  reduceAdmissionQueue,
} from './index.ts';
import { type LoadOutcome, type LoadRequest, playLoad } from './test.fleet.ts';
import {
  FLEET,
  hugeAmongShort,
  hugeBurst,
  manyReturns,
  retryStorm,
  unevenWorkspaces,
} from './test.loads.ts';

const numbers = (seed: number): (() => number) => {
  const generator = xoroshiro128plus(seed);
  return () => uniformFloat64(generator);
};

const play = (
  load: readonly LoadRequest[],
  policy: QueuePolicy = costOfDelayPolicy,
): LoadOutcome =>
  playLoad(load, {
    policy,
    ...FLEET,
    returns: policy === costOfDelayPolicy ? 'scheduled' : 'random',
    random: numbers(1),
  });

const shareOf = (
  outcome: LoadOutcome,
  load: readonly LoadRequest[],
  prefix: string,
) =>
  outcome.onTime.filter(({ id }) => id.startsWith(prefix)).length /
  load.filter(({ id }) => id.startsWith(prefix)).length;

/** Each load, and what must hold under the policy; it fails without a queue. */
const loads: readonly {
  readonly name: string;
  readonly load: readonly LoadRequest[];
  readonly holds: (outcome: LoadOutcome) => boolean;
}[] = [
  {
    name: 'a burst of huge prompts beyond memory: none rejected, all served',
    load: hugeBurst,
    holds: ({ rejections, unserved }) =>
      rejections === 0 && unserved.length === 0,
  },
  {
    name: 'a retry storm: steady callers served on time as far as slots allow',
    load: retryStorm,
    holds: (outcome) =>
      outcome.rejections === 0 &&
      shareOf(outcome, retryStorm, 'steady') > 0.65 &&
      outcome.onTime.length > 230,
  },
  {
    name: 'one workspace at ten times its share: the others keep theirs',
    load: unevenWorkspaces,
    holds: (outcome) => shareOf(outcome, unevenWorkspaces, 'small') > 0.95,
  },
  {
    name: 'many returns at once: capacity is filled with two calls a caller',
    load: manyReturns,
    holds: (outcome) =>
      outcome.calls < 2 * manyReturns.length &&
      shareOf(outcome, manyReturns, 'crowd') >= 96 / 130,
  },
  {
    name: 'a huge prompt among short prompts: both on time',
    load: hugeAmongShort,
    holds: (outcome) =>
      shareOf(outcome, hugeAmongShort, 'huge') === 1 &&
      shareOf(outcome, hugeAmongShort, 'short') > 0.98,
  },
];

const TOTAL_TOKENS = 1000;

const requestOf = (given: Partial<QueuedRequest>): QueuedRequest => ({
  id: 'a',
  workspace: 'w',
  priority: 0,
  value: 1,
  isShort: false,
  memoryTokens: 100,
  prefillMs: 10,
  bodyBytes: 10,
  queuedAtMs: 0,
  latestOnTimeStartMs: 1000,
  expiresAtMs: 5000,
  ...given,
});

const queueOf = (requests: readonly QueuedRequest[]): AdmissionQueueState =>
  requests.reduce(
    (state, request) =>
      reduceAdmissionQueue(state, { type: 'admissionQueue.queued', request })
        .state,
    initialAdmissionQueue,
  );

const capacityOf = (
  freeMemoryTokens: number,
  given: Partial<QueueCapacity> = {},
): QueueCapacity => ({
  totalMemoryTokens: TOTAL_TOKENS,
  freeMemoryTokens,
  shortMemoryTokens: 0,
  fits: ({ memoryTokens }) => memoryTokens <= freeMemoryTokens,
  expectedAtMs: () => 100,
  ...given,
});

const requestsArbitrary = fc
  .array(
    fc.record({
      workspace: fc.constantFrom('a', 'b', 'c'),
      isShort: fc.boolean(),
      priority: fc.integer({ min: 0, max: 3 }),
      memoryTokens: fc.integer({ min: 1, max: TOTAL_TOKENS }),
      queuedAtMs: fc.integer({ min: 0, max: 50 }),
      latestOnTimeStartMs: fc.integer({ min: 0, max: 3000 }),
    }),
    { minLength: 1, maxLength: 20 },
  )
  .map((given) =>
    given.map((one, index) => requestOf({ ...one, id: `r${index}` })),
  );

/** Takes all steps at one moment; started requests use up the free memory. */
const drain = (state: AdmissionQueueState, free: number, nowMs: number) => {
  let queue = state;
  let freeTokens = free;
  const started: QueuedRequest[] = [];
  for (;;) {
    const step = nextQueueStep(queue, {
      nowMs,
      capacity: capacityOf(freeTokens),
    });
    if (step === undefined) return { queue, freeTokens, started };
    const { request } = step;
    if (step.type === 'start') {
      freeTokens -= request.memoryTokens;
      started.push(request);
    }
    queue = reduceAdmissionQueue(
      queue,
      step.type === 'start'
        ? { type: 'admissionQueue.started', request }
        : { type: 'admissionQueue.removed', id: request.id },
    ).state;
  }
};

describe('admissionQueue', () => {
  loads.forEach(({ name, load, holds }) => {
    it(`${name}; not without a queue`, () => {
      expect(holds(play(load))).to.equal(true);
      expect(holds(play(load, baselinePolicies.noQueue))).to.equal(false);
    }).timeout(20_000);
  });

  it('refuses at once what no capacity is expected for in time', () => {
    const offer = decideQueueOffer(initialAdmissionQueue, requestOf({}), {
      nowMs: 0,
      capacity: capacityOf(0, { expectedAtMs: () => 6000 }),
    });
    expect(offer).to.deep.include({ type: 'refuse', reason: 'tooLate' });
  });

  it('refuses a huge prompt that waits once its capacity will come too late', () => {
    const state = queueOf([requestOf({ memoryTokens: 900 })]);
    const capacity = capacityOf(500, { expectedAtMs: () => 6000 });
    const step = nextQueueStep(state, { nowMs: 10, capacity });
    expect(step).to.deep.include({ type: 'refuse', reason: 'tooLate' });
  });

  it('keeps memory free for a huge prompt, but not from the short lane', () => {
    const huge = requestOf({ id: 'huge', memoryTokens: 900, value: 90 });
    const long = requestOf({ id: 'long', memoryTokens: 200, value: 0.1 });
    const short = requestOf({ id: 'short', memoryTokens: 60, isShort: true });
    const { started } = drain(queueOf([huge, long, short]), 600, 10);
    expect(started.map(({ id }) => id)).to.deep.equal(['short']);
  });

  it('keeps the better request when the queue is full', () => {
    const policy = { ...costOfDelayPolicy, maxRequests: 1 };
    const state = queueOf([requestOf({ id: 'worse', value: 0.1 })]);
    const view = { nowMs: 10, capacity: capacityOf(0) };
    const better = requestOf({ id: 'better', value: 10 });
    const worse = requestOf({ id: 'worst', value: 0.01 });
    expect(decideQueueOffer(state, better, view, policy)).to.deep.equal({
      type: 'wait',
      evicted: state.waiting,
    });
    expect(decideQueueOffer(state, worse, view, policy)).to.deep.include({
      type: 'refuse',
      reason: 'queueFull',
    });
  });

  it('bounds the bytes that wait', () => {
    const state = queueOf([requestOf({ id: 'first', value: 100 })]);
    const large = requestOf({ bodyBytes: costOfDelayPolicy.maxBytes });
    const view = { nowMs: 0, capacity: capacityOf(0) };
    const offer = decideQueueOffer(state, large, view);
    expect(offer).to.deep.include({ type: 'refuse', reason: 'queueFull' });
  });

  it('orders by slack and value within the tolerance of shares', () => {
    const urgent = requestOf({ id: 'urgent', latestOnTimeStartMs: 100 });
    const later = requestOf({ id: 'later', latestOnTimeStartMs: 4000 });
    const valued = requestOf({ id: 'valued', value: 20 });
    const { started } = drain(queueOf([later, urgent, valued]), 300, 0);
    expect(started.map(({ id }) => id)).to.deep.equal([
      'valued',
      'urgent',
      'later',
    ]);
  });

  it('conserves work: what still waits does not fit, or memory is kept free for a long prompt', () => {
    fc.assert(
      fc.property(
        requestsArbitrary,
        fc.integer({ min: 0, max: TOTAL_TOKENS }),
        (requests, free) => {
          const { queue, freeTokens } = drain(queueOf(requests), free, 100);
          const hasLongWaiting = queue.waiting.some(({ isShort }) => !isShort);
          const couldStart = queue.waiting.filter(
            (one) => one.memoryTokens <= freeTokens,
          );
          expect(couldStart.length === 0 || hasLongWaiting).to.equal(true);
          // With all memory free, something always starts.
          if (free === TOTAL_TOKENS) {
            expect(freeTokens).to.be.below(TOTAL_TOKENS);
          }
        },
      ),
      { seed: 1 },
    );
  });

  it('loses no request and no capacity, and starts nothing beyond free memory', () => {
    fc.assert(
      fc.property(
        requestsArbitrary,
        fc.integer({ min: 0, max: TOTAL_TOKENS }),
        (requests, free) => {
          const { queue, freeTokens, started } = drain(
            queueOf(requests),
            free,
            100,
          );
          expect(freeTokens).to.be.at.least(0);
          expect(started.length + queue.waiting.length).to.equal(
            requests.length,
          );
        },
      ),
      { seed: 2 },
    );
  });

  it('starves none: each request starts while capacity comes back, whatever else arrives', () => {
    // Short prompts may hold 30% of the memory and 50% is kept free for one long
    // prompt, so this holds for prompts of up to half of the memory.
    const maxTokens = TOTAL_TOKENS * costOfDelayPolicy.reservedShare;
    const expiresAtMs = 60_000;
    fc.assert(
      fc.property(requestsArbitrary, (requests) => {
        let state = queueOf(
          requests.map((one) => ({
            ...one,
            memoryTokens: Math.min(one.memoryTokens, maxTokens),
            expiresAtMs,
          })),
        );
        const waitingIds = new Set(requests.map(({ id }) => id));
        // Each round frees all memory, and brings a fresh urgent request.
        for (let round = 0; round < 120 && waitingIds.size > 0; round += 1) {
          const nowMs = 100 + round * 100;
          const fresh = requestOf({
            id: `fresh${round}`,
            workspace: 'fresh',
            isShort: true,
            value: 5,
            queuedAtMs: nowMs,
            latestOnTimeStartMs: nowMs + 10,
            expiresAtMs,
          });
          const withFresh = reduceAdmissionQueue(state, {
            type: 'admissionQueue.queued',
            request: fresh,
          }).state;
          const { queue, started } = drain(withFresh, TOTAL_TOKENS, nowMs);
          started.forEach(({ id }) => waitingIds.delete(id));
          state = queue;
        }
        expect([...waitingIds]).to.deep.equal([]);
      }),
      { seed: 3, numRuns: 50 },
    );
  });

  it('gives workspaces that all wait equal service, whatever they ask for', () => {
    fc.assert(
      fc.property(fc.integer({ min: 2, max: 10 }), (factor) => {
        const of = (workspace: string, count: number) =>
          Array.from({ length: count }, (_, index) =>
            requestOf({
              id: `${workspace}${index}`,
              workspace,
              prefillMs: 300,
            }),
          );
        const state = queueOf([
          ...of('large', 10 * factor),
          ...of('small', 10),
        ]);
        const { started } = drain(state, 10 * 100, 0);
        const small = started.filter((one) => one.workspace === 'small').length;
        expect(small).to.be.within(4, 6);
      }),
      { seed: 4 },
    );
  });
});
