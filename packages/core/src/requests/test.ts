import type { AttemptReport, Target, TargetError } from '@endivegate/contracts';
import { expect } from 'chai';
import type { AttemptEnd, RequestEvent } from '../events/index.ts';
import type { RequestInfo } from '../request/index.ts';
import { requestsSlice, type RequestsEffect } from './index.ts';

const eventBase = { random: 0.5 };

function requestInfo(overrides: Partial<RequestInfo> = {}): RequestInfo {
  return {
    requestId: 'r1',
    workspace: 'w',
    service: 'm',
    kind: 'chat',
    promptTokens: 1_000,
    maxOutputTokens: 10,
    lengthClass: 'short',
    arrivedAtMs: 0,
    deadlineAtMs: 10_000,
    priority: 5,
    fingerprint: 'f1',
    prefixHashes: [],
    idempotencyKey: undefined,
    repeatable: true,
    ...overrides,
  };
}

type Input =
  | (RequestEvent & { readonly atMs?: number })
  | { readonly type: 'clock.ticked'; readonly atMs: number }
  | {
      readonly type: 'targets.changed';
      readonly atMs?: number;
      readonly targets: readonly Target[];
    };

/**
 * Reduces events; returns the open requests and the effects or raised events.
 */
function run(inputs: readonly Input[]) {
  const step = inputs.reduce<ReturnType<typeof requestsSlice.reduce>>(
    (done, input) => {
      const next = requestsSlice.reduce(done.state, {
        atMs: 0,
        ...eventBase,
        ...input,
      });
      return { state: next.state, effects: [...done.effects, ...next.effects] };
    },
    { state: requestsSlice.initial, effects: [] },
  );
  return {
    open: step.state.open.size,
    log: step.effects.map((effect) =>
      effect.type === 'raise' ? describeRaised(effect.event) : effect,
    ),
  };
}

function describeRaised(event: object): object {
  return Object.fromEntries(
    Object.entries(event).filter(([name]) => name !== 'random'),
  );
}

const received: Input = { type: 'request.received', request: requestInfo() };
function dispatched(targetId: string): Input {
  return {
    type: 'request.dispatched',
    requestId: 'r1',
    targetId,
    reservationId: undefined,
  };
}
function ended(
  attemptId: string,
  end: AttemptEnd,
  overrides: { sent?: boolean; outputTokens?: number; targetId?: string } = {},
): Input {
  return {
    type: 'attempt.ended',
    requestId: 'r1',
    attemptId,
    targetId: 'e1',
    end,
    outputTokens: 0,
    sent: true,
    ...overrides,
  };
}
function silent(outputTokens = 0): Input {
  return {
    type: 'attempt.silent',
    requestId: 'r1',
    attemptId: 'r1.1',
    outputTokens,
  };
}
function reported(report: AttemptReport | TargetError): Input {
  return {
    type: 'attempt.reported',
    requestId: 'r1',
    attemptId: 'r1.1',
    report,
  };
}
function finishEffectsOf(result: ReturnType<typeof run>) {
  return result.log
    .filter((item) => (item as RequestsEffect).type === 'requests.finish')
    .map((item) => {
      const { ran, end } = item as Extract<
        RequestsEffect,
        { type: 'requests.finish' }
      >;
      return `${ran} ${JSON.stringify(end)}`;
    });
}

const cut: AttemptEnd = { type: 'cut', reason: 'reset' };

describe('requestsSlice', () => {
  it('sends a request and removes it once it is answered', () => {
    const result = run([
      received,
      dispatched('e1'),
      ended('r1.1', { type: 'done' }, { outputTokens: 10 }),
    ]);
    expect(result).toMatchSnapshot();
  });

  it('reports whether a non-repeatable call ran, by how its attempt ended', () => {
    const ends: [AttemptEnd, boolean][] = [
      [{ type: 'done' }, true],
      [{ type: 'failed', reason: 'x' }, true],
      [cut, true],
      [cut, false],
      [{ type: 'timedOut' }, true],
      [{ type: 'crossed', attemptId: 'other' }, true],
    ];
    const service = { targetId: 'e1', targetKind: 'service' } as Target;
    const results = ends.map(([end, sent]) => {
      const result = run([
        { type: 'targets.changed', targets: [service] },
        {
          type: 'request.received',
          request: requestInfo({ repeatable: false }),
        },
        dispatched('e1'),
        ended('r1.1', end, { sent }),
      ]);
      return [end.type, sent, finishEffectsOf(result), result.open];
    });
    expect(results).toMatchSnapshot();
  });

  it('retries on another target after a refusal or an unreachable target', () => {
    const result = run([
      received,
      dispatched('e1'),
      ended('r1.1', {
        type: 'refused',
        reason: 'full',
        retryAfterMs: undefined,
      }),
      dispatched('e2'),
      ended(
        'r1.2',
        { type: 'notSent', reason: 'refused' },
        { sent: false, targetId: 'e2' },
      ),
      {
        type: 'request.refused',
        requestId: 'r1',
        reason: 'noTarget',
        retryAfterMs: 500,
      },
    ]);
    expect(result).toMatchSnapshot();
  });

  it('queries an attempt whose stream was cut and resumes it at its offset', () => {
    const result = run([
      received,
      dispatched('e1'),
      ended('r1.1', cut, { outputTokens: 4 }),
      reported({ type: 'decoding', outputTokens: 6 }),
      ended('r1.1', { type: 'done' }, { outputTokens: 10 }),
    ]);
    expect(result).toMatchSnapshot();
  });

  it('keeps waiting while a silent engine reports a long prefill', () => {
    const result = run([
      received,
      dispatched('e1'),
      silent(),
      reported({ type: 'prefill', outputTokens: 0 }),
      silent(),
    ]);
    expect(result).toMatchSnapshot();
  });

  // Each silence of a sound engine used up one of the resumes of its attempt, and
  // the last one ended the stream.
  it('keeps a stream whose engine falls silent again and again and goes on each time', () => {
    const silences = Array.from({ length: 12 }, (_, index): Input[] => [
      silent(10 * (index + 1)),
      reported({ type: 'decoding', outputTokens: 10 * (index + 1) + 1 }),
    ]);
    const result = run([
      received,
      dispatched('e1'),
      ...silences.flat(),
      ended('r1.1', { type: 'done' }, { outputTokens: 200 }),
    ]);
    expect(finishEffectsOf(result)).to.deep.equal(['yes {"type":"answered"}']);
  });

  // A connection that is not accepted says nothing about a stream that is open.
  const unanswered: TargetError[] = [
    { type: 'notSent', reason: 'reset' },
    { type: 'timedOut' },
  ];
  unanswered.forEach((error) => {
    it(`keeps a silent stream when one status query ends with ${error.type}`, () => {
      const result = run([
        ...[received, dispatched('e1'), silent(4), reported(error), silent(4)],
        reported({ type: 'decoding', outputTokens: 4 }),
        ended('r1.1', { type: 'done' }, { outputTokens: 10 }),
      ]);
      expect(finishEffectsOf(result)).to.deep.equal([
        'yes {"type":"answered"}',
      ]);
    });
  });

  it('gives up a stream that its engine resumes again and again without a token', () => {
    const cuts = Array.from({ length: 12 }, (): Input[] => [
      ended('r1.1', cut, { outputTokens: 4 }),
      reported({ type: 'decoding', outputTokens: 4 }),
    ]);
    const result = run([received, dispatched('e1'), ...cuts.flat()]);
    expect(finishEffectsOf(result)).to.deep.equal([
      'yes {"type":"failed","reason":"attempt lost: decoding"}',
    ]);
  });

  it('restarts on another engine when an attempt is lost before its first token', () => {
    const result = run([
      received,
      dispatched('e1'),
      silent(),
      reported({ type: 'timedOut' }),
      reported({ type: 'timedOut' }),
      dispatched('e2'),
      ended('r1.1', { type: 'done' }, { outputTokens: 10 }),
      ended('r1.2', { type: 'done' }, { outputTokens: 10 }),
    ]);
    expect(result).toMatchSnapshot();
  });

  it('never restarts a streamed answer after tokens were delivered', () => {
    const inputs = (streamed: boolean): Input[] => [
      { type: 'request.received', request: requestInfo({ streamed }) },
      dispatched('e1'),
      ended('r1.1', cut, { outputTokens: 4 }),
      reported({ type: 'absent' }),
    ];
    expect(finishEffectsOf(run(inputs(true)))).to.deep.equal([
      'yes {"type":"failed","reason":"attempt lost: absent"}',
    ]);
    expect(finishEffectsOf(run(inputs(false)))).to.deep.equal([]);
  });

  it('ends the request at the deadline in any state of its attempt', () => {
    const deadlineTick: Input = { type: 'clock.ticked', atMs: 9_950 };
    const flows: Input[][] = [
      [received, deadlineTick],
      [received, dispatched('e1'), deadlineTick],
      [received, dispatched('e1'), silent(3), deadlineTick],
      [
        received,
        dispatched('e1'),
        deadlineTick,
        ended('r1.1', { type: 'done' }, { outputTokens: 9 }),
      ],
    ];
    expect(flows.map(run)).toMatchSnapshot();
  });

  it('cancels when the caller disconnects, except a non-repeatable call', () => {
    const callerGone: Input = { type: 'request.callerGone', requestId: 'r1' };
    const flow = (repeatable: boolean): Input[] => [
      { type: 'request.received', request: requestInfo({ repeatable }) },
      dispatched('e1'),
      callerGone,
    ];
    expect([run(flow(true)), run(flow(false))]).toMatchSnapshot();
  });

  it('retries no more than the budget allows and fails the other requests immediately', () => {
    const requests = Array.from({ length: 150 }, (_, i) => `q${i}`);
    const inputs = requests.flatMap((requestId): Input[] => [
      { type: 'request.received', request: requestInfo({ requestId }) },
      { ...dispatched('e1'), requestId } as Input,
      {
        ...ended(`${requestId}.1`, { type: 'failed', reason: 'sick' }),
        requestId,
      } as Input,
    ]);
    const result = run(inputs);
    const retries = result.log.filter(
      (item) => (item as { type: string }).type === 'request.retryWanted',
    );
    // The burst of 100, plus 0.1 retries for each of the 149 first attempts after
    // the first retry.
    expect(retries.length).to.equal(114);
    expect(finishEffectsOf(result).length).to.equal(36);
    expect(new Set(finishEffectsOf(result))).to.deep.equal(
      new Set(['yes {"type":"failed","reason":"failed"}']),
    );
  });

  it('waits for permission to retry after a target crash', () => {
    const service = { targetId: 's1', targetKind: 'service' } as Target;
    const result = run([
      { type: 'targets.changed', targets: [service] },
      received,
      dispatched('s1'),
      ended('r1.1', cut, { targetId: 's1' }),
      {
        type: 'request.retryAllowed',
        requestId: 'r1',
        avoidedTargetIds: ['s2'],
      },
      {
        type: 'request.refused',
        requestId: 'r1',
        reason: 'targetsRefused',
        retryAfterMs: undefined,
      },
      { type: 'clock.ticked', atMs: 1_000 },
    ]);
    expect(result).toMatchSnapshot();
  });
});
