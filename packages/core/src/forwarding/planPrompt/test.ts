import { expect } from 'chai';
import fc from 'fast-check';
import type { EngineCost } from '@endivegate/contracts/forwarding';
import { type LoadByTarget, NO_LOAD } from '../engineLoad/index.ts';
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
  missingUntilMs: undefined,
  avoidUntilMs: 0,
  failures: 0,
  pace: 1,
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
  aimLeftMs: 300,
  patienceMs: 2_000,
  gapTargetMs: 250,
};

const long: PromptDemand = {
  promptTokens: 154_000,
  outputTokens: 800,
  aimLeftMs: 3_000,
  patienceMs: 12_000,
  gapTargetMs: 1_000,
};

const options = { random: () => 0 };

describe('planPrompt', () => {
  it('gives a short prompt to one engine of the short lane', () => {
    const plan = planPrompt(short, viewOf(), options);
    expect(plan?.helpers).to.have.length(0);
    expect(plan?.target.id).to.equal('t0');
    expect(plan?.isShort).to.equal(true);
  });

  it('splits a long prompt so that it is on time, outside the short lane', () => {
    const plan = planPrompt(long, viewOf(), options);
    expect(plan?.firstEventMs).to.be.below(long.aimLeftMs * 0.6);
    expect(plan?.helpers.length).to.be.above(0);
    const ids = [plan?.target, ...(plan?.helpers ?? [])].map((one) => one?.id);
    expect(ids).not.to.include('t0');
    expect(new Set(ids).size).to.equal(ids.length);
  });

  it('keeps short prompts away from engines that are reading', () => {
    const loads: LoadByTarget = new Map([
      ['t0', { ...NO_LOAD, prefillMs: 500, readersValue: 15 }],
    ]);
    const plan = planPrompt(short, viewOf(loads), options);
    expect(plan?.target.id).not.to.equal('t0');
  });

  it('seats a prompt that no engine can hold, whole and without overlap', () => {
    const huge = { ...long, promptTokens: 700_000 };
    const plan = planPrompt(huge, viewOf(), options);
    const seated = (plan?.seats ?? []).reduce(
      (sum, seat) => sum + seat.tokens,
      0,
    );
    expect(plan?.seats.length).to.be.above(1);
    expect(seated + (plan?.memoryTokens ?? 0)).to.equal(700_800);
    const helperIds = plan?.helpers.map((one) => one.id);
    plan?.seats.forEach((seat) => {
      expect(helperIds).to.include(seat.target.id);
      expect(seat.tokens).to.be.below(cost.memoryTokens);
    });
  });

  it('leaves engines to others when a prompt cannot be on time', () => {
    const decodingRequests = { ...NO_LOAD, writers: 4, writersValue: 4 };
    const dozen = targets.slice(0, 12);
    const loads: LoadByTarget = new Map(
      dozen.map((one) => [one.id, { ...decodingRequests, gapTargetMs: 250 }]),
    );
    const huge = { ...long, promptTokens: 700_000 };
    const view = { ...viewOf(loads), targets: dozen };
    const plan = planPrompt(huge, view, options);
    expect(plan?.helpers.length).to.be.below(9);
    expect(plan?.firstEventMs).to.be.below(huge.patienceMs);
  });

  it('does not trample others for a prompt that is late already', () => {
    const decodingRequests = { ...NO_LOAD, writers: 4, writersValue: 4 };
    const loads: LoadByTarget = new Map(
      targets
        .slice(4)
        .map((one) => [one.id, { ...decodingRequests, gapTargetMs: 250 }]),
    );
    const late = { ...long, aimLeftMs: -500 };
    const plan = planPrompt(late, viewOf(loads), options);
    expect(plan?.helpers.length).to.be.below(4);
  });

  it('keeps a short prompt from an engine at which its caller would leave', () => {
    const busy = {
      ...NO_LOAD,
      requests: 11,
      decodingRequests: 11,
      writersValue: 11,
    };
    const full = { ...busy, shorts: 11, gapTargetMs: 250 };
    const loads: LoadByTarget = new Map(
      targets.map((one, index) => [
        one.id,
        index === 0 ? { ...NO_LOAD, prefillMs: 8000 } : full,
      ]),
    );
    const plan = planPrompt(short, viewOf(loads), options);
    expect(plan?.firstEventMs).to.be.below(short.patienceMs);
  });

  it('takes an avoided engine only when there is no other', () => {
    const avoided = targets.map((one) => ({ ...one, avoidUntilMs: 10 }));
    const [usable] = targets.slice(19);
    const view = { ...viewOf(), targets: [...avoided.slice(0, 19), usable!] };
    expect(planPrompt(short, view, options)?.target.id).to.equal('t19');
    const all = { ...viewOf(), targets: avoided };
    expect(planPrompt(short, all, options)).not.to.equal(undefined);
    const none = { ...viewOf(), targets: [] };
    expect(planPrompt(short, none, options)).to.equal(undefined);
  });

  it('plans each prompt to distinct engines with finite predictions', () => {
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
