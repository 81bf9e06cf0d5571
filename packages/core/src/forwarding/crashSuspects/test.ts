import { expect } from 'chai';
import {
  initialSuspects,
  isCrasher,
  reduceSuspects,
  type SuspectsEvent,
} from './index.ts';

const crash = (targetId: string): SuspectsEvent => ({
  type: 'suspects.crashed',
  atMs: 0,
  fingerprint: 'f',
  targetId,
});

const run = (events: readonly SuspectsEvent[]) =>
  events.reduce(
    (state, event) => reduceSuspects(state, event).state,
    initialSuspects,
  );

describe('crashSuspects', () => {
  it('identifies a request that crashed three distinct targets', () => {
    const two = run([crash('a'), crash('b'), crash('a')]);
    expect(isCrasher(two, 'f')).to.equal(false);
    const three = run([crash('a'), crash('b'), crash('c')]);
    expect(isCrasher(three, 'f')).to.equal(true);
    expect(isCrasher(three, 'g')).to.equal(false);
  });

  it('clears a request that succeeded, and removes old crashes', () => {
    const crashes = [crash('a'), crash('b'), crash('c')];
    const cleared = run([
      ...crashes,
      { type: 'suspects.cleared', fingerprint: 'f' },
    ]);
    expect(isCrasher(cleared, 'f')).to.equal(false);
    const old = run([...crashes, { type: 'suspects.ticked', atMs: 120_000 }]);
    expect(isCrasher(old, 'f')).to.equal(false);
  });
});
