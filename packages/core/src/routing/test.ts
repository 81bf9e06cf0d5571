import type { Target } from '@endivegate/contracts';
import { expect } from 'chai';
import { initialRootState, reduce, type RootState } from '../reduce/index.ts';
import type { SharedEvent } from '../events/index.ts';
import type { RequestInfo } from '../request/index.ts';
import { routingSlice, type RoutingState } from './index.ts';

const target = (targetId: string, overrides: Partial<Target> = {}): Target => ({
  targetId,
  targetKind: 'engine',
  url: 'http://127.0.0.1:1',
  region: 'r',
  dataCentre: 'dc',
  serves: ['m'],
  kvCapacityTokens: 100_000,
  checksFencing: true,
  hasKeyLookup: false,
  leaving: false,
  ...overrides,
});

const request = (requestId: string, service = 'm'): RequestInfo => ({
  requestId,
  workspace: 'w',
  service,
  kind: 'chat',
  promptTokens: 1_000,
  maxOutputTokens: 100,
  lengthClass: 'short',
  arrivedAtMs: 0,
  deadlineAtMs: 60_000,
  priority: 5,
  fingerprint: requestId,
  prefixHashes: [],
  idempotencyKey: undefined,
  repeatable: true,
});

const eventBase = { atMs: 1, random: 0.5 };
const targetsChanged: SharedEvent & { readonly type: 'targets.changed' } = {
  ...eventBase,
  type: 'targets.changed',
  targets: [
    target('e1'),
    target('e2'),
    target('e3', { leaving: true }),
    target('e4', { serves: ['other'] }),
    target('s1', { targetKind: 'service', serves: ['ledger'] }),
  ],
};

const run = (events: readonly SharedEvent[]) =>
  events.reduce<{ state: RoutingState; raised: unknown[] }>(
    (done, event) => {
      const step = routingSlice.reduce(done.state, event);
      return { state: step.state, raised: [...done.raised, ...step.effects] };
    },
    { state: routingSlice.initial, raised: [] },
  );

const arrived = (id: string, service?: string): SharedEvent => ({
  ...eventBase,
  type: 'request.arrived',
  request: request(id, service),
});

describe('routing', () => {
  it('spreads requests over serving targets and refuses without one', () => {
    const { raised } = run([
      targetsChanged,
      arrived('r1'),
      arrived('r2'),
      arrived('r3', 'ledger'),
      arrived('r4', 'unknown'),
    ]);
    expect(raised).toMatchSnapshot();
  });

  it('does not retry on excluded targets and refuses when none is left', () => {
    const retryWanted = (
      excludedTargetIds: readonly string[],
    ): SharedEvent => ({
      ...eventBase,
      type: 'request.retryWanted',
      requestId: 'r1',
      excludedTargetIds,
      isolated: false,
    });
    const { raised, state } = run([
      targetsChanged,
      arrived('r1'),
      retryWanted(['e1']),
      retryWanted(['e1', 'e2']),
    ]);
    expect(raised).toMatchSnapshot();
    expect(state.requests.size).to.equal(0);
  });

  it('runs isolated requests on different targets without blocking other requests', () => {
    const isolated = (requestId: string): SharedEvent => ({
      ...eventBase,
      type: 'request.retryWanted',
      requestId,
      excludedTargetIds: [],
      isolated: true,
    });
    const ids = ['r1', 'r2', 'r3'];
    const before = run([targetsChanged, ...ids.map((id) => arrived(id))]);
    const { raised } = [...ids.map(isolated), arrived('r4')].reduce(
      (done, event) => {
        const step = routingSlice.reduce(done.state, event);
        return { state: step.state, raised: [...done.raised, ...step.effects] };
      },
      { state: before.state, raised: [] as unknown[] },
    );
    expect(raised).toMatchSnapshot();
  });

  it('removes a request that ended', () => {
    const { state } = run([
      targetsChanged,
      arrived('r1'),
      {
        ...eventBase,
        type: 'request.ended',
        requestId: 'r1',
        ran: 'yes',
        end: { type: 'answered' },
      },
    ]);
    expect(state.requests.size).to.equal(0);
  });

  it('is registered in the root reducer', () => {
    const state: RootState = reduce(initialRootState, targetsChanged).state;
    expect(state.routing.targets).to.have.length(5);
  });

  it('applies the concurrency limit of a row and admits the next request when one ends', () => {
    const limited = (concurrency: number): SharedEvent => ({
      ...eventBase,
      type: 'table.installed',
      number: 1,
      rows: [{ workspace: 'w', service: 'm', kind: 'chat', concurrency }],
    });
    const started: SharedEvent = {
      ...eventBase,
      type: 'entry.started',
      self: {
        entryId: 'a',
        incarnation: 1,
        region: 'r',
        dataCentre: 'dc',
        host: '127.0.0.1',
        httpPort: 0,
        peerPort: 0,
      },
    };
    const { state, raised } = run([
      started,
      targetsChanged,
      limited(2),
      arrived('r1'),
      arrived('r2'),
      arrived('r3'),
    ]);
    const phases = [...state.requests.values()].map((one) => one.phase);
    expect(phases).to.deep.equal(['prefill', 'prefill', 'limited']);
    expect(raised).to.have.length(2);
    const ended = routingSlice.reduce(state, {
      ...eventBase,
      atMs: 500,
      type: 'request.ended',
      requestId: 'r1',
      ran: 'yes',
      end: { type: 'answered' },
    });
    expect(ended.state.requests.get('r3')?.phase).to.equal('prefill');
    const late = routingSlice.reduce(state, {
      ...eventBase,
      atMs: 1_500,
      type: 'clock.ticked',
    });
    expect(late.effects).toMatchSnapshot();
  });

  it('ejects failing engines, but no more than the allowed fraction of them', () => {
    const ids = ['e1', 'e2', 'e3', 'e4', 'e5', 'e6', 'e7'];
    const failed = (targetId: string, n: number): readonly SharedEvent[] => {
      const requestId = `${targetId}-${n}`;
      return [
        arrived(requestId),
        {
          ...eventBase,
          type: 'attempt.ended',
          requestId,
          attemptId: `${requestId}.1`,
          targetId,
          end: { type: 'cut', reason: 'reset' },
          outputTokens: 0,
          sent: true,
        },
      ];
    };
    const { state } = run([
      { ...targetsChanged, targets: ids.map((id) => target(id)) },
      ...ids.flatMap((id) => [1, 2, 3].flatMap((n) => failed(id, n))),
    ]);
    const out = ids.filter(
      (id) => (state.engines.get(id)?.ejectedUntilMs ?? 0) > eventBase.atMs,
    );
    expect(out).to.deep.equal(['e1', 'e2']);
  });

  it('refuses a request that cannot meet its deadline immediately, with a retry delay', () => {
    const tooLate: SharedEvent = {
      ...eventBase,
      type: 'request.arrived',
      request: { ...request('r1'), deadlineAtMs: eventBase.atMs + 50 },
    };
    expect(run([targetsChanged, tooLate]).raised).toMatchSnapshot();
  });
});
