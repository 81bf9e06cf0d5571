import { expect } from 'chai';
import fc from 'fast-check';
import type { EngineCost } from '@endivegate/contracts/forwarding';
import {
  type InFlightRequest,
  type LoadByTarget,
  NO_LOAD,
} from '../engineLoad/index.ts';
import type { RosterTarget } from '../targetRoster/index.ts';
import { type EngineView, planPrompt, type PromptDemand } from './index.ts';

const cost: EngineCost = {
  slots: 11,
  memoryTokens: 315_000,
  stepsPerPass: 51,
  stepMs: 0.85,
  stepMsPerWriter: 0.006,
  stepMsPerContextK: 0.00285,
  readTokensPerMs: 177,
  readMsPerMillionPairs: 0.184,
  helperStepMs: 0.05,
};

const targets = Array.from({ length: 20 }, (_, index): RosterTarget => ({
  id: `t${index}`,
  service: 's',
  address: `10.0.0.${index}:80`,
  dataCentre: 'a',
  draining: false,
  slots: 11,
  bornMs: 0,
  removalDueAtMs: undefined,
  avoidUntilMs: 0,
  pausedUntilMs: 0,
  unconfirmedUntilMs: 0,
  failures: 0,
  slowdown: 1,
  idHash: index,
  laneRank: index / 20,
}));

const viewOf = (loads: LoadByTarget = new Map()): EngineView => ({
  cost,
  targets,
  loads,
  nowMs: 0,
});

const short: PromptDemand = {
  promptTokens: 5_000,
  outputTokens: 1_700,
  latencyBudgetMs: 300,
  patienceMs: 2_000,
  gapTargetMs: 250,
};

const long: PromptDemand = {
  promptTokens: 154_000,
  outputTokens: 800,
  latencyBudgetMs: 3_000,
  patienceMs: 12_000,
  gapTargetMs: 1_000,
};

const options = { random: () => 0 };

describe('planPrompt', () => {
  it('places a short prompt at one engine of the short lane', () => {
    const plan = planPrompt(short, viewOf(), options);
    expect(plan?.helpers).to.have.length(0);
    expect(plan?.target.id).to.equal('t0');
    expect(plan?.isShort).to.equal(true);
  });

  it('splits a long prompt so that it is on time, outside the short lane', () => {
    const plan = planPrompt(long, viewOf(), options);
    expect(plan?.firstEventMs).to.be.below(long.latencyBudgetMs * 0.6);
    expect(plan?.helpers.length).to.be.above(0);
    const ids = [plan?.target, ...(plan?.helpers ?? [])].map((one) => one?.id);
    expect(ids).not.to.include('t0');
    expect(new Set(ids).size).to.equal(ids.length);
  });

  // With the queue, a prompt may wait only if no engine has memory for it.
  it('says that a prompt does not fit, and finds the one engine that has memory', () => {
    const loads = (free: number): LoadByTarget =>
      new Map(
        targets.map(({ id }, index) => [
          id,
          {
            ...NO_LOAD,
            memoryTokens: index === 7 ? cost.memoryTokens - free : 315_000,
            // Makes the engine with memory the dearest one.
            prefillMs: index === 7 ? 5_000 : 0,
          },
        ]),
      );
    const withQueue = { memoryUtilisation: 0.92 };
    const fits = (free: number) =>
      planPrompt(short, { ...viewOf(loads(free)), ...withQueue }, options);
    expect(fits(0)?.fits).to.equal(false);
    expect(fits(315_000)).to.deep.include({ fits: true });
    expect(fits(315_000)?.target.id).to.equal('t7');
    const wider = { ...viewOf(loads(30_000)), memoryUtilisation: 0.98 };
    expect(planPrompt(short, wider, options)?.fits).to.equal(true);
    expect(fits(30_000)?.fits).to.equal(false);
  });

  it('keeps short prompts away from engines that are busy with prefill', () => {
    const loads: LoadByTarget = new Map([
      ['t0', { ...NO_LOAD, prefillMs: 500, prefillingValue: 15 }],
    ]);
    const plan = planPrompt(short, viewOf(loads), options);
    expect(plan?.target.id).not.to.equal('t0');
  });

  it('splits the memory of a prompt that no single engine can hold', () => {
    const huge = { ...long, promptTokens: 700_000 };
    const plan = planPrompt(huge, viewOf(), options);
    const reservedTokens = (plan?.reservations ?? []).reduce(
      (sum, reservation) => sum + reservation.tokens,
      0,
    );
    expect(plan?.reservations.length).to.be.above(1);
    expect(reservedTokens + (plan?.memoryTokens ?? 0)).to.equal(700_800);
    const helperIds = plan?.helpers.map((one) => one.id);
    plan?.reservations.forEach((reservation) => {
      expect(helperIds).to.include(reservation.target.id);
      expect(reservation.tokens).to.be.below(cost.memoryTokens);
    });
  });

  it('uses few engines for a prompt that cannot be on time', () => {
    const decodingLoad = { ...NO_LOAD, decodingRequests: 4, decodingValue: 4 };
    const twelveTargets = targets.slice(0, 12);
    const loads: LoadByTarget = new Map(
      twelveTargets.map((one) => [
        one.id,
        { ...decodingLoad, gapTargetMs: 250 },
      ]),
    );
    const huge = { ...long, promptTokens: 700_000 };
    const view = { ...viewOf(loads), targets: twelveTargets };
    const plan = planPrompt(huge, view, options);
    expect(plan?.helpers.length).to.be.below(9);
    expect(plan?.firstEventMs).to.be.below(huge.patienceMs);
  });

  it('does not delay other streams for a prompt that is already late', () => {
    const decodingLoad = { ...NO_LOAD, decodingRequests: 4, decodingValue: 4 };
    const loads: LoadByTarget = new Map(
      targets
        .slice(4)
        .map((one) => [one.id, { ...decodingLoad, gapTargetMs: 250 }]),
    );
    const late = { ...long, latencyBudgetMs: -500 };
    const plan = planPrompt(late, viewOf(loads), options);
    expect(plan?.helpers.length).to.be.below(4);
  });

  it('avoids an engine at which the caller of a short prompt would give up', () => {
    const busy = {
      ...NO_LOAD,
      requests: 11,
      decodingRequests: 11,
      decodingValue: 11,
    };
    const full = { ...busy, shortRequests: 11, gapTargetMs: 250 };
    const loads: LoadByTarget = new Map(
      targets.map((one, index) => [
        one.id,
        index === 0 ? { ...NO_LOAD, prefillMs: 8000 } : full,
      ]),
    );
    const plan = planPrompt(short, viewOf(loads), options);
    expect(plan?.firstEventMs).to.be.below(short.patienceMs);
  });

  it('uses an avoided engine only when there is no other', () => {
    const avoided = targets.map((one) => ({ ...one, avoidUntilMs: 10 }));
    const [usable] = targets.slice(19);
    const view = { ...viewOf(), targets: [...avoided.slice(0, 19), usable!] };
    expect(planPrompt(short, view, options)?.target.id).to.equal('t19');
    const all = { ...viewOf(), targets: avoided };
    expect(planPrompt(short, all, options)).not.to.equal(undefined);
    const none = { ...viewOf(), targets: [] };
    expect(planPrompt(short, none, options)).to.equal(undefined);
  });

  describe('with other split prompts (parts of the newest one are read first)', () => {
    const flight: InFlightRequest = {
      flightId: 'other',
      targetId: 't19',
      helperIds: ['t18'],
      partPrefillMs: 1000,
      memoryTokens: 154_000,
      contextTokens: 154_000,
      value: 16,
      isShort: false,
      reservations: [],
      gapTargetMs: 1000,
      startedAtMs: 0,
      isDecoding: false,
    };
    const busy = { ...NO_LOAD, prefillMs: 1000, waiting: [flight] };
    const idsOf = (loads: LoadByTarget): readonly string[] => {
      const plan = planPrompt(long, viewOf(loads), options);
      return [plan!.target, ...plan!.helpers].map(({ id }) => id);
    };

    it('leaves engines that read for another one alone', () => {
      const busyIds = ['t16', 't17', 't18', 't19'];
      const ids = idsOf(new Map(busyIds.map((id) => [id, busy])));
      expect(ids.filter((id) => busyIds.includes(id))).to.deep.equal([]);
    });

    it('does not expect its parts to queue behind those of another one', () => {
      const all = new Map(targets.map(({ id }) => [id, busy]));
      const plan = planPrompt(long, viewOf(all), options);
      const idle = planPrompt(long, viewOf(), options);
      expect(plan!.firstEventMs * plan!.helpers.length).to.be.closeTo(
        idle!.firstEventMs * idle!.helpers.length,
        1000,
      );
    });

    it('counts the loss of a prompt once, however many of its engines it uses', () => {
      const all = new Map(targets.map(({ id }) => [id, busy]));
      const plan = planPrompt(long, viewOf(all), {
        ...options,
        partCounts: [10],
      });
      expect(plan?.delayCost).to.be.below(flight.value);
    });

    it('queues a whole prompt behind all parts', () => {
      const all = new Map(targets.map(({ id }) => [id, busy]));
      const plan = planPrompt(short, viewOf(all), options);
      expect(plan?.firstEventMs).to.be.above(1000);
    });
  });

  it('plans distinct engines and finite predictions for any load', () => {
    const anyLoads = fc
      .array(
        fc.record({
          index: fc.integer({ min: 0, max: 19 }),
          requests: fc.integer({ min: 0, max: 20 }),
          prefillMs: fc.integer({ min: 0, max: 5_000 }),
          memoryTokens: fc.integer({ min: 0, max: 400_000 }),
        }),
      )
      .map(
        (rows): LoadByTarget =>
          new Map(
            rows.map(({ index, ...load }) => [
              `t${index}`,
              { ...NO_LOAD, ...load },
            ]),
          ),
      );
    fc.assert(
      fc.property(
        anyLoads,
        fc.integer({ min: 1, max: 700_000 }),
        (loads, promptTokens) => {
          const plan = planPrompt({ ...long, promptTokens }, viewOf(loads));
          const ids = [plan?.target, ...(plan?.helpers ?? [])].map(
            (one) => one?.id,
          );
          return (
            ids.length <= 17 &&
            new Set(ids).size === ids.length &&
            Number.isFinite(plan?.firstEventMs)
          );
        },
      ),
      { seed: 6, numRuns: 60 },
    );
  });
});
