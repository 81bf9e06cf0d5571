import { expect } from 'chai';
import {
  initialTargetLimits,
  reduceTargetLimits,
  type TargetLimitsState,
} from './index.ts';

/** Applies a response that arrives 300 ms after its request was sent. */
function respond(
  state: TargetLimitsState,
  requestsPerS: number | undefined,
  atMs: number,
  bornMs = 1,
): TargetLimitsState {
  const report = { id: 't', bornMs, requestsPerS, atMs };
  const sentAtMs = atMs - 300;
  const event = { type: 'targetLimits.responded', report, sentAtMs } as const;
  return reduceTargetLimits(state, event).state;
}

describe('reduceTargetLimits', () => {
  it('keeps a limit until a later request is answered without it', () => {
    const named = respond(initialTargetLimits, 2, 1000);
    expect(respond(named, undefined, 1200).get('t')?.requestsPerS).to.equal(2);
    const ended = respond(named, undefined, 1300);
    expect(ended.get('t')?.requestsPerS).to.equal(undefined);
  });

  it('replaces the limit of an earlier process of the target', () => {
    const named = respond(initialTargetLimits, 2, 1000, 7);
    expect(respond(named, 5, 2000, 6).get('t')?.requestsPerS).to.equal(2);
    expect(respond(named, undefined, 2000, 8).get('t')?.bornMs).to.equal(8);
  });

  it('forgets a limit that no response confirms', () => {
    const named = respond(initialTargetLimits, 2, 1000);
    const tick = (atMs: number) =>
      reduceTargetLimits(named, { type: 'targetLimits.ticked', atMs });
    expect(tick(10_999).state).to.equal(named);
    expect(tick(11_000).state.size).to.equal(0);
    expect(tick(11_000).effects).to.deep.equal([
      {
        type: 'targetLimits.changed',
        id: 't',
        requestsPerS: undefined,
        beforePerS: 2,
        reason: 'expired',
      },
    ]);
  });
});
