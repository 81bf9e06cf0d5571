import { expect } from 'chai';
import * as fc from 'fast-check';
import { checkHistory } from '../checkHistory/index.ts';
import { ACTIONS, createFleet, SETTLED_MS, type Action } from './test.fleet.ts';

/** Any action; those that make calls progress are more frequent than faults. */
const action = fc.tuple(
  fc.oneof(
    { weight: 2, arbitrary: fc.constant('call' as const) },
    { weight: 4, arbitrary: fc.constant('storeServes' as const) },
    { weight: 2, arbitrary: fc.constant('wait100' as const) },
    { weight: 8, arbitrary: fc.constantFrom(...ACTIONS) },
  ),
  fc.nat({ max: 5 }),
);

/** Runs the actions, lets every call end, and returns the observed outcome. */
function play(actions: readonly Action[], hasKeyLookup = false) {
  const fleet = createFleet({ hasKeyLookup });
  actions.forEach((next) => {
    fleet.act(next);
  });
  fleet.settle();
  const told = fleet.history
    .filter((event) => event.type === 'caller.ended')
    .map((end) => `${end.callId}: ${end.ran} ${end.outcome}`);
  const runs = fleet.history.filter((event) => event.type === 'target.started');
  return {
    told,
    runs: runs.length,
    claim: fleet.claim()?.state.type,
    violations: checkHistory(fleet.history, {
      toleranceMs: SETTLED_MS / 2,
    }),
    open: fleet.open(),
  };
}

/** Steps of an undisturbed call, in order; a fault is injected after each. */
const steps: readonly Action[] = [
  ['call', 0],
  ['storeServes', 0],
  ['serviceAnswers', 0],
  ['storeServes', 0],
];

describe('onceSlice', () => {
  const faults: Readonly<Record<string, readonly Action[]>> = {
    'the entry crashes': [['crash', 0]],
    'the entry pauses for longer than every lease': [
      ['pause', 0],
      ['declareDead', 0],
      ['wait15000', 0],
    ],
    'the store goes down': [
      ['storeRefuses', 0],
      ['wait100', 0],
      ['storeRefuses', 0],
      ['wait3000', 0],
    ],
    'the reply is lost': [['storeLosesReply', 0]],
    'a write takes effect after its reply was lost': [
      ['storeDelays', 0],
      ['storeServes', 0],
    ],
    'the service crashes after running it': [['serviceCrashesAfterRun', 0]],
    'the caller disconnects': [['callerGone', 0]],
    'another entry receives the call again': [['call', 1]],
    'the key is reused with another body': [['callOtherBody', 1]],
  };

  Object.entries(faults).forEach(([name, fault]) => {
    [false, true].forEach((hasKeyLookup) => {
      it(`runs a call once when ${name}${hasKeyLookup ? ', with look-up' : ''}`, () => {
        const outcomes = steps.map((_, index) => {
          const actions: Action[] = [
            ...steps.slice(0, index + 1),
            ...fault,
            ...steps.slice(index + 1),
            ['call', 2],
          ];
          const { violations, ...outcome } = play(actions, hasKeyLookup);
          expect(violations).to.deep.equal([]);
          return [`after ${steps[index]?.[0]}`, outcome];
        });
        expect(outcomes).toMatchSnapshot();
      });
    });
  });

  it('does not send with a claim that was settled during a pause', () => {
    const outcome = play(
      [
        ['call', 0],
        ['pause', 0],
        ['storeServes', 0],
        ['declareDead', 0],
        ...Array.from({ length: 5 }, (): Action => ['wait15000', 0]),
        ['call', 1],
        ['storeServes', 0],
        ['lookupServes', 0],
        ['storeServes', 0],
        ['serviceAnswers', 0],
        ['pause', 0],
      ],
      true,
    );
    expect(outcome).toMatchSnapshot();
  });

  it('answers a repeated call by look-up while the first waits on a silent connection', () => {
    const outcome = play(
      [
        ['call', 0],
        ['storeServes', 0],
        ['serviceGoesSilent', 0],
        ['wait3000', 0],
        ['call', 1],
        ['storeServes', 0],
        ['lookupServes', 0],
        ['storeServes', 0],
      ],
      true,
    );
    expect(outcome.runs).to.equal(1);
    expect(outcome.violations).to.deep.equal([]);
    expect(outcome.told).to.include('b2: yes answered');
  });

  it('keeps a call in doubt while its request may still be in transit', () => {
    const outcome = play(
      [
        ['call', 0],
        ['storeServes', 0],
        ['connectionCut', 0],
        ['storeServes', 0],
        ['call', 1],
        ['storeServes', 0],
        ['lookupServes', 0],
        ['storeServes', 0],
        ['serviceAnswers', 0],
        ['serviceAnswers', 0],
      ],
      true,
    );
    expect(outcome).toMatchSnapshot();
  });

  it('reports "unknown" when the store fails while another entry runs the call', () => {
    const outcome = play([
      ['call', 0],
      ['storeServes', 0],
      ['call', 1],
      ['storeServes', 0],
      ['storeRefuses', 0],
      ['wait15000', 0],
    ]);
    expect(outcome).toMatchSnapshot();
  });

  it('keeps every history rule under any sequence of actions', () => {
    fc.assert(
      fc.property(
        fc.array(action, { maxLength: 60 }),
        fc.boolean(),
        (actions, hasKeyLookup) => {
          const { violations, open } = play(actions, hasKeyLookup);
          expect(violations).to.deep.equal([]);
          expect(open).to.deep.equal([0, 0, 0]);
        },
      ),
      { seed: 1, numRuns: 2_000 },
    );
  });
});
