import { expect } from 'chai';
import { initialGatewayState } from '../gatewayReduce/index.ts';
import {
  initialTargetLimits,
  reduceTargetLimits,
} from '../targetLimits/index.ts';
import { initialRoster, reduceRoster } from '../targetRoster/index.ts';
import {
  availableTargets,
  mainObstacle,
  soonestAvailableAtMs,
  type TargetsView,
} from './index.ts';

const { state: roster } = reduceRoster(initialRoster, {
  type: 'roster.listed',
  atMs: 0,
  targets: ['t0', 't1'].map((id) => ({
    ...{ id, service: 's', address: '', dataCentre: 'a' },
    ...{ draining: false, slots: 1, bornMs: 1 },
  })),
});

/** Targets of which some have named a limit of 2 a second. */
function viewWithLimits(ids: readonly string[]): TargetsView {
  const targetLimits = ids.reduce(
    (state, id) =>
      reduceTargetLimits(state, {
        type: 'targetLimits.responded',
        report: { id, bornMs: 1, requestsPerS: 2, atMs: 0 },
        sentAtMs: 0,
      }).state,
    initialTargetLimits,
  );
  return { ...initialGatewayState, roster, targetLimits };
}

describe('availableTargets', () => {
  it('leaves out targets to whose limit this entry has no share', () => {
    const idsOf = (view: TargetsView) =>
      availableTargets(view, 's', 100).map(({ id }) => id);
    expect(idsOf(viewWithLimits([]))).to.deep.equal(['t0', 't1']);
    expect(idsOf(viewWithLimits(['t0']))).to.deep.equal(['t1']);
  });
});

describe('soonestAvailableAtMs', () => {
  it('is now while a target is available, and else the next permit of any entry', () => {
    const at = (ids: readonly string[]) =>
      soonestAvailableAtMs(viewWithLimits(ids), 's', 100);
    expect(at(['t0'])).to.equal(0);
    expect(at(['t0', 't1'])).to.equal(350);
    expect(soonestAvailableAtMs(viewWithLimits([]), 'other', 100)).to.equal(
      undefined,
    );
  });
});

describe('mainObstacle', () => {
  it('names the condition that applies to most targets', () => {
    const of = (ids: readonly string[]) =>
      mainObstacle(viewWithLimits(ids), 's', 100);
    expect(of([])).to.equal(undefined);
    expect(of(['t0'])).to.equal('limited');
  });
});
