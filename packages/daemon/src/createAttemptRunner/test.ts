import type {
  EngineStreamItem,
  ServiceAnswer,
  ServicePort,
  Target,
  TargetError,
} from '@endivegate/contracts';
import type { RequestInfo } from '@endivegate/core';
import { expect } from 'chai';
import * as E from 'fp-ts/lib/Either.js';
import { createEngineHttpPort } from '../adapters/index.ts';
import { createMetrics } from '../createMetrics/index.ts';
import { createOpenRequests } from '../createOpenRequests/index.ts';
import type { Runtime, UnstampedEvent } from '../runtime/index.ts';
import { createAttemptRunner } from './index.ts';

const ledger: Target = {
  targetId: 'ledger-1',
  targetKind: 'service',
  url: 'http://127.0.0.1:1',
  region: 'r',
  dataCentre: 'd',
  serves: ['ledger'],
  kvCapacityTokens: 0,
  checksFencing: false,
  hasKeyLookup: true,
  leaving: false,
};

const info: RequestInfo = {
  requestId: 'request-1',
  workspace: 'w',
  service: 'ledger',
  kind: 'call',
  promptTokens: 0,
  maxOutputTokens: 0,
  lengthClass: 'short',
  arrivedAtMs: 0,
  deadlineAtMs: 1_000,
  priority: 5,
  fingerprint: 'f',
  prefixHashes: [],
  idempotencyKey: 'key-1',
  repeatable: false,
};

const attempt = {
  requestId: info.requestId,
  attemptId: 'request-1.1',
  targetId: ledger.targetId,
};

describe('createAttemptRunner', () => {
  it('dispatches the end of a service call that completes after its request', async () => {
    const events: UnstampedEvent[] = [];
    const runtime = {
      dispatch: (event: UnstampedEvent) => events.push(event),
    } as unknown as Runtime;
    let resolveCall: (
      answer: E.Either<TargetError, ServiceAnswer>,
    ) => void = () => undefined;
    const openRequests = createOpenRequests();
    const run = createAttemptRunner({
      engines: createEngineHttpPort(),
      services: {
        call: () => () =>
          new Promise((resolve) => {
            resolveCall = resolve;
          }),
        lookUpKey: () => () => Promise.resolve(E.right({ type: 'absent' })),
      },
      openRequests,
      metrics: createMetrics(),
      findTarget: () => ledger,
    });
    openRequests.add({
      info,
      work: {
        type: 'call',
        method: 'POST',
        path: '/payouts',
        contentType: undefined,
        body: new Uint8Array(),
      },
      sink: {
        writeToken: () => Promise.resolve(),
        restart: () => undefined,
        finish: () => undefined,
      },
    });

    const send = { ...attempt, timeoutMs: 1_000, reservationId: undefined };
    run({ ...send, type: 'requests.send' }, runtime);
    run({ ...attempt, type: 'requests.cancel' }, runtime);
    openRequests.finish(info.requestId, {
      ran: 'unknown',
      end: { type: 'timedOut' },
    });
    resolveCall(E.left({ type: 'timedOut' }));
    await new Promise((resolve) => setImmediate(resolve));

    expect(events).to.have.length(1);
    expect(events[0]).to.deep.include({
      ...attempt,
      type: 'attempt.ended',
      end: { type: 'timedOut' },
      sent: true,
    });
  });

  it('restarts a non-streamed answer when the prompt is sent to another engine', async () => {
    const engine: Target = { ...ledger, targetKind: 'engine', serves: ['m'] };
    const streams: EngineStreamItem[][] = [
      [{ type: 'token', offset: 0, text: 'lost' }],
      [
        { type: 'token', offset: 0, text: 'whole' },
        { type: 'end', finishReason: 'stop', outputTokens: 1 },
      ],
    ];
    const events: UnstampedEvent[] = [];
    const runtime = {
      dispatch: (event: UnstampedEvent) => events.push(event),
    } as unknown as Runtime;
    const openRequests = createOpenRequests();
    const run = createAttemptRunner({
      engines: {
        ...createEngineHttpPort(),
        submit: () => () => Promise.resolve(E.right(streamOf(streams.shift()))),
      },
      services: {} as ServicePort,
      openRequests,
      metrics: createMetrics(),
      findTarget: () => engine,
    });
    let text = '';
    openRequests.add({
      info: { ...info, streamed: false },
      work: { type: 'prompt', prompt: 'Who is next?' },
      sink: {
        writeToken: (token) => {
          text += token;
          return Promise.resolve();
        },
        restart: () => {
          text = '';
        },
        finish: () => undefined,
      },
    });
    const endTypes = () =>
      events.flatMap((event) =>
        event.type === 'attempt.ended' ? [event.end.type] : [],
      );
    const send = async (attemptId: string): Promise<void> => {
      const countBefore = endTypes().length;
      run(
        {
          ...attempt,
          attemptId,
          timeoutMs: 1_000,
          reservationId: undefined,
          type: 'requests.send',
        },
        runtime,
      );
      while (endTypes().length === countBefore) {
        await new Promise((resolve) => setImmediate(resolve));
      }
    };

    await send('request-1.1');
    await send('request-1.2');
    expect(endTypes()).to.deep.equal(['cut', 'done']);
    expect(text).to.equal('whole');
  });

  it('ends or reports an attempt whose target is no longer listed', () => {
    const events: UnstampedEvent[] = [];
    const runtime = {
      dispatch: (event: UnstampedEvent) => events.push(event),
    } as unknown as Runtime;
    const run = createAttemptRunner({
      engines: createEngineHttpPort(),
      services: {} as ServicePort,
      openRequests: createOpenRequests(),
      metrics: createMetrics(),
      findTarget: () => undefined,
    });
    const send = { ...attempt, timeoutMs: 1_000, reservationId: undefined };
    run({ ...send, type: 'requests.send' }, runtime);
    run(
      { ...attempt, type: 'requests.queryAttempt', timeoutMs: 1_000 },
      runtime,
    );
    run({ ...attempt, type: 'requests.resume', fromOffset: 3 }, runtime);
    expect(events).toMatchSnapshot();
  });
});

async function* streamOf(
  items: readonly EngineStreamItem[] = [],
): AsyncGenerator<EngineStreamItem> {
  for (const item of items) yield await Promise.resolve(item);
}
