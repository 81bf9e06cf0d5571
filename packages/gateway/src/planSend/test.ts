import { expect } from 'chai';
import type {
  ForwardingRoute,
  ListedTarget,
} from '@endivegate/contracts/forwarding';
import {
  gatewayReduce,
  initialGatewayState,
} from '@endivegate/core/forwarding';
import { planSend, type SendQuery } from './index.ts';

const targets = Array.from({ length: 20 }, (_, index): ListedTarget => ({
  id: `t${index}`,
  service: 's',
  address: `10.0.0.${index}:80`,
  dataCentre: 'a',
  draining: false,
  slots: 11,
  bornMs: 0,
}));

const { state } = gatewayReduce(initialGatewayState, {
  type: 'roster.listed',
  atMs: 0,
  targets,
});

const query: SendQuery = {
  service: {
    name: 's',
    healthPath: '/h',
    maxConnections: 100,
    engine: {
      slots: 11,
      memoryTokens: 315_000,
      stepsPerPass: 51,
      stepMs: 0.85,
      stepMsPerWriter: 0.006,
      stepMsPerContextK: 0.00285,
      readTokensPerMs: 177,
      readMsPerMillionPairs: 0.184,
      helperStepMs: 0.05,
    },
  },
  route: { gapTargetMs: 1000 } as ForwardingRoute,
  prompt: {
    promptTokens: 300_000,
    maxOutputTokens: 800,
    hintedOutputTokens: undefined,
  },
  excludedIds: new Set(),
  latencyBudgetMs: 3000,
  patienceMs: 12_000,
  nowMs: 0,
  dataCentre: 'a',
};

describe('planSend', () => {
  it('splits a prompt across fewer engines when it is sent again', () => {
    const first = planSend(state, query);
    expect(first?.helpers.length).to.be.above(3);
    const again = planSend(state, { ...query, excludedIds: new Set(['t0']) });
    expect(again?.helpers.length).to.be.at.most(3);
    expect(again?.target.id).not.to.equal('t0');
  });

  it('plans a plain call without helpers', () => {
    const plan = planSend(state, { ...query, prompt: undefined });
    expect(plan?.helpers).to.have.length(0);
    expect(plan?.firstEventMs).to.equal(undefined);
  });

  it('returns undefined without a usable target', () => {
    expect(planSend(initialGatewayState, query)).to.equal(undefined);
  });

  // Guards against parts of a split prompt at targets that take few requests, each of
  // which costs several.
  it('splits a prompt over no cold target', () => {
    const ticked = (atMs: number) =>
      ({
        type: 'coldTargets.ticked',
        atMs,
        rules: new Map([['s', { warmUpMs: 3000, requestsPerS: 14 }]]),
        bound: { overrun: 1.5, slack: 5 },
        targets: [...state.roster.targets.values()],
        members: [],
        own: {
          ...{ address: 'e', dataCentre: 'a' },
          ...{ startedAtMs: -9000, isServing: true },
        },
      }) as const;
    const reports = targets
      .slice(0, 15)
      .map(({ id, bornMs }) => ({ id, bornMs, leftMs: 9000, atMs: 0 }));
    const events = [
      ticked(0),
      { type: 'coldTargets.received', reports } as const,
      ...[1, 2, 3, 4, 5].map((step) => ticked(step * 800)),
    ];
    const cold = events.reduce(
      (now, event) => gatewayReduce(now, event).state,
      state,
    );
    const plan = planSend(cold, { ...query, nowMs: 4100 });
    const used = [plan?.target, ...(plan?.helpers ?? [])].map((one) => one?.id);
    expect(used.length).to.be.above(1);
    const coldIds: readonly (string | undefined)[] = reports.map(
      ({ id }) => id,
    );
    expect(used.filter((id) => coldIds.includes(id))).to.deep.equal([]);
  });
});
