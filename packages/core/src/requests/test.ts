import type { AttemptReport, Target, TargetError } from '@endivegate/contracts';
import { expect } from 'chai';
import type { AttemptEnd, RequestEvent } from '../events/index.ts';
import type { RequestInfo } from '../request/index.ts';
import { requestsSlice, type RequestsEffect } from './index.ts';

const base = { random: 0.5 };

function requestInfo(changes: Partial<RequestInfo> = {}): RequestInfo {
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
    ...changes,
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

/** Runs events through the slice; returns its effects, raised ones by event. */
function run(inputs: readonly Input[]) {
  const step = inputs.reduce<ReturnType<typeof requestsSlice.reduce>>(
    (done, input) => {
      const next = requestsSlice.reduce(done.state, {
        atMs: 0,
        ...base,
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
  changes: { sent?: boolean; outputTokens?: number; targetId?: string } = {},
): Input {
  return {
    type: 'attempt.ended',
    requestId: 'r1',
    attemptId,
    targetId: 'e1',
    end,
    outputTokens: 0,
    sent: true,
    ...changes,
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
function finishOf(result: ReturnType<typeof run>) {
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
  it('sends, ends and forgets an answered request', () => {
    const result = run([
      received,
      dispatched('e1'),
      ended('r1.1', { type: 'done' }, { outputTokens: 10 }),
    ]);
    expect(result).toMatchSnapshot();
  });

  it('says whether the request ran, by how a call that may not be repeated ended', () => {
    const ends: [AttemptEnd, boolean][] = [
      [{ type: 'done' }, true],
      [{ type: 'failed', reason: 'x' }, true],
      [cut, true],
      [cut, false],
      [{ type: 'timedOut' }, true],
      [{ type: 'crossed', attemptId: 'other' }, true],
    ];
    const service = { targetId: 'e1', targetKind: 'service' } as Target;
    const told = ends.map(([end, sent]) => {
      const result = run([
        { type: 'targets.changed', targets: [service] },
        {
          type: 'request.received',
          request: requestInfo({ repeatable: false }),
        },
        dispatched('e1'),
        ended('r1.1', end, { sent }),
      ]);
      return [end.type, sent, finishOf(result), result.open];
    });
    expect(told).toMatchSnapshot();
  });

  it('moves on from a refusal and from a target that cannot be reached', () => {
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

  it('asks about a cut stream and resumes it at its offset', () => {
    const result = run([
      received,
      dispatched('e1'),
      ended('r1.1', cut, { outputTokens: 4 }),
      reported({ type: 'decoding', outputTokens: 6 }),
      ended('r1.1', { type: 'done' }, { outputTokens: 10 }),
    ]);
    expect(result).toMatchSnapshot();
  });

  it('waits on while a silent engine tells of a long prefill', () => {
    const result = run([
      received,
      dispatched('e1'),
      silent(),
      reported({ type: 'prefill', outputTokens: 0 }),
      silent(),
    ]);
    expect(result).toMatchSnapshot();
  });

  it('restarts elsewhere when the engine has lost an attempt without tokens', () => {
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

  it('never restarts a streamed answer of which tokens were delivered', () => {
    const inputs = (streamed: boolean): Input[] => [
      { type: 'request.received', request: requestInfo({ streamed }) },
      dispatched('e1'),
      ended('r1.1', cut, { outputTokens: 4 }),
      reported({ type: 'absent' }),
    ];
    expect(finishOf(run(inputs(true)))).to.deep.equal([
      'yes {"type":"failed","reason":"attempt lost: absent"}',
    ]);
    expect(finishOf(run(inputs(false)))).to.deep.equal([]);
  });

  it('tells the caller at the deadline, whatever the target does', () => {
    const tick: Input = { type: 'clock.ticked', atMs: 9_950 };
    const flows: Input[][] = [
      [received, tick],
      [received, dispatched('e1'), tick],
      [received, dispatched('e1'), silent(3), tick],
      [
        received,
        dispatched('e1'),
        tick,
        ended('r1.1', { type: 'done' }, { outputTokens: 9 }),
      ],
    ];
    expect(flows.map(run)).toMatchSnapshot();
  });

  it('cancels for a caller who is gone, but not a call that may not be repeated', () => {
    const gone: Input = { type: 'request.callerGone', requestId: 'r1' };
    const flow = (repeatable: boolean): Input[] => [
      { type: 'request.received', request: requestInfo({ repeatable }) },
      dispatched('e1'),
      gone,
    ];
    expect([run(flow(true)), run(flow(false))]).toMatchSnapshot();
  });

  it('retries no more than its budget allows, and tells the others at once', () => {
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
    // The burst of 100, and a tenth of a retry for each of the 149 attempts
    // that come after the first retry.
    expect(retries.length).to.equal(114);
    expect(finishOf(result).length).to.equal(36);
    expect(new Set(finishOf(result))).to.deep.equal(
      new Set(['yes {"type":"failed","reason":"failed"}']),
    );
  });

  it('has a crash judged before it sends a request again', () => {
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
