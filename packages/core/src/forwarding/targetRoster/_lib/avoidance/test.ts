import { expect } from 'chai';
import fc from 'fast-check';
import type { ListedTarget } from '@endivegate/contracts/forwarding';
import { availableTargets } from '../../../availableTargets/index.ts';
import { cellTargets } from '../../../engineCell/index.ts';
import { initialGatewayState } from '../../../gatewayReduce/index.ts';
import { pickTarget } from '../../../pickTarget/index.ts';
import { planPrompt } from '../../../planPrompt/index.ts';
import {
  initialRoster,
  reduceRoster,
  type RosterEvent,
  type RosterState,
} from '../../index.ts';

const DATA_CENTRES = ['a', 'b', 'c'];
const TARGETS = 9;
const FAST_CHECK = { seed: 24, numRuns: 200 };

const listed = Array.from({ length: TARGETS }, (_, index): ListedTarget => ({
  id: `t${index}`,
  service: 's',
  address: `10.0.0.${index}:80`,
  dataCentre: DATA_CENTRES[index % DATA_CENTRES.length] ?? '',
  draining: false,
  slots: 8,
  bornMs: 1,
}));

const cost = {
  slots: 8,
  memoryTokens: 315_000,
  stepsPerPass: 51,
  stepMs: 0.85,
  stepMsPerWriter: 0.006,
  stepMsPerContextK: 0.00285,
  readTokensPerMs: 177,
  readMsPerMillionPairs: 0.184,
  helperStepMs: 0.05,
};

const demand = {
  promptTokens: 5000,
  outputTokens: 100,
  latencyBudgetMs: 300,
  patienceMs: 2000,
  gapTargetMs: 250,
};

const failed = (
  atMs: number,
  index: number,
  cause: 'broken' | 'slow' | 'replaced',
): RosterEvent => ({
  type: 'roster.failed',
  atMs,
  id: `t${index}`,
  reason: 'test',
  cause,
});

const apply = (events: readonly RosterEvent[]): RosterState =>
  events.reduce((state, event) => reduceRoster(state, event).state, {
    ...reduceRoster(initialRoster, {
      type: 'roster.listed',
      atMs: 0,
      targets: listed,
    }).state,
  });

/** Data centres in which a request still finds a target, and whether the planners
 * choose one. */
function reach(roster: RosterState, nowMs: number) {
  const view = { ...initialGatewayState, roster };
  const targets = availableTargets(view, 's', nowMs);
  const loads = new Map();
  return {
    dataCentres: [...new Set(targets.map((one) => one.dataCentre))].toSorted(),
    picked: DATA_CENTRES.every(
      (dataCentre) =>
        pickTarget({ targets, loads, nowMs, dataCentre }) !== undefined,
    ),
    planned: DATA_CENTRES.every((dataCentre) => {
      const cell = cellTargets(targets, { dataCentre, nowMs });
      const plan = planPrompt(demand, { cost, targets: cell, loads, nowMs });
      return plan !== undefined;
    }),
  };
}

const all = { dataCentres: DATA_CENTRES, picked: true, planned: true };

const failure = fc.record({
  afterMs: fc.integer({ min: 0, max: 200 }),
  index: fc.integer({ min: 0, max: TARGETS - 1 }),
  cause: fc.constantFrom('broken', 'slow', 'replaced'),
});

// Avoidance is a cost and no condition. Guards against a change by which failures
// leave a service or a data centre without targets.
describe('avoidance after failures', () => {
  it('leaves every data centre its targets: grey targets', () => {
    fc.assert(
      fc.property(fc.array(failure, { maxLength: 200 }), (failures) => {
        let atMs = 0;
        const events = failures.map(({ afterMs, index, cause }) => {
          atMs += afterMs;
          return failed(atMs, index, cause);
        });
        expect(reach(apply(events), atMs)).to.deep.equal(all);
      }),
      FAST_CHECK,
    );
  });

  it('leaves every data centre its targets: flapping targets', () => {
    const events = Array.from({ length: 20 }, (_, round) =>
      listed.flatMap((one, index): readonly RosterEvent[] => [
        failed(round * 1000, index, 'broken'),
        ...(round % 2 === 0
          ? [
              {
                type: 'roster.succeeded',
                atMs: round * 1000 + 500,
                id: one.id,
                ratio: undefined,
              } as const,
            ]
          : []),
      ]),
    ).flat();
    expect(reach(apply(events), 19_000)).to.deep.equal(all);
  });

  it('leaves every data centre its targets: release beside crashes', () => {
    const isReleased = (index: number) => index < 2 * DATA_CENTRES.length;
    const events = listed.flatMap((one, index): readonly RosterEvent[] => [
      ...(isReleased(index)
        ? [
            {
              type: 'roster.put',
              atMs: 1000,
              target: { ...one, draining: true },
            } as const,
          ]
        : []),
      failed(1000, index, 'broken'),
      failed(1000, index, 'replaced'),
    ]);
    expect(reach(apply(events), 1000)).to.deep.equal(all);
  });
});
