import { expect } from 'chai';
import fc from 'fast-check';
import {
  decideNext,
  type SendEnd,
  type SendProgress,
  takeoverObstacle,
} from './index.ts';

const progress: SendProgress = {
  repeat: 'idempotent',
  resumable: false,
  sends: 1,
  unsent: 0,
  maxAttempts: 2,
  mayHaveRun: true,
  answerBegun: false,
  timeLeftMs: 500,
  budgetLeft: true,
  isCrasher: false,
  liveSends: 0,
  silentSends: 0,
};

const broken: SendEnd = { type: 'broken', reason: 'reset' };
const refused: SendEnd = { type: 'refused', status: 503 };

const anyEnd: fc.Arbitrary<SendEnd> = fc.oneof(
  fc.constant<SendEnd>({ type: 'notSent', reason: 'connect' }),
  fc.constant(refused),
  fc.constant(broken),
  fc.constantFrom(200, 404, 500).map((status) => ({
    type: 'answered' as const,
    status,
  })),
);

const anyProgress: fc.Arbitrary<SendProgress> = fc.record({
  repeat: fc.constantFrom('idempotent', 'atMostOnce', 'stream'),
  resumable: fc.boolean(),
  sends: fc.integer({ min: 0, max: 3 }),
  unsent: fc.integer({ min: 0, max: 5 }),
  maxAttempts: fc.integer({ min: 1, max: 3 }),
  mayHaveRun: fc.boolean(),
  answerBegun: fc.boolean(),
  timeLeftMs: fc.integer({ min: -100, max: 1000 }),
  budgetLeft: fc.boolean(),
  isCrasher: fc.boolean(),
  liveSends: fc.integer({ min: 0, max: 1 }),
  silentSends: fc.integer({ min: 0, max: 2 }),
});

describe('decideNext', () => {
  it('sends a broken idempotent request again', () => {
    expect(decideNext(broken, progress).type).to.equal('sendAgain');
  });

  it('fails a broken call that may run at most once', () => {
    const once = { ...progress, repeat: 'atMostOnce' as const };
    expect(decideNext(broken, once).type).to.equal('fail');
  });

  it('resumes a broken stream only if its route allows it', () => {
    const stream = {
      ...progress,
      repeat: 'stream' as const,
      answerBegun: true,
    };
    expect(decideNext(broken, stream).type).to.equal('cutOff');
    const resumable = { ...stream, resumable: true };
    expect(decideNext(broken, resumable).type).to.equal('sendAgain');
  });

  it('sends a refused at-most-once call again, and refuses it after the last attempt', () => {
    const once = {
      ...progress,
      repeat: 'atMostOnce' as const,
      mayHaveRun: false,
    };
    expect(decideNext(refused, once).type).to.equal('sendAgain');
    const last = { ...once, sends: 2 };
    expect(decideNext(refused, last).type).to.equal('refuse');
  });

  it('retries an idempotent request after a server error, then delivers the error', () => {
    const failed: SendEnd = { type: 'answered', status: 500 };
    expect(decideNext(failed, progress).type).to.equal('sendAgain');
    const last = { ...progress, sends: 2 };
    expect(decideNext(failed, last).type).to.equal('deliver');
  });

  it('never sends an at-most-once request again when it may have run', () => {
    fc.assert(
      fc.property(anyEnd, anyProgress, (end, known) => {
        const isOnce =
          known.repeat === 'atMostOnce' ||
          (known.repeat === 'stream' && !known.resumable);
        const ran = end.type === 'broken';
        if (!isOnce || !(known.mayHaveRun || ran)) return true;
        if (end.type === 'notSent') return true;
        const after = { ...known, mayHaveRun: true };
        return decideNext(end, after).type !== 'sendAgain';
      }),
      { seed: 2 },
    );
  });

  it('never refuses a request that may have run', () => {
    fc.assert(
      fc.property(anyEnd, anyProgress, (end, known) => {
        const after = { ...known, mayHaveRun: true };
        return decideNext(end, after).type !== 'refuse';
      }),
      { seed: 3 },
    );
  });

  it('never exceeds the maximum number of sends or the retry budget', () => {
    fc.assert(
      fc.property(anyEnd, anyProgress, (end, known) => {
        if (decideNext(end, known).type !== 'sendAgain') return true;
        const isFree = end.type === 'notSent';
        return known.sends < known.maxAttempts && (known.budgetLeft || isFree);
      }),
      { seed: 4 },
    );
  });

  it('lets the request fail or be refused only after its last open send', () => {
    fc.assert(
      fc.property(anyEnd, anyProgress, (end, known) => {
        const isOpen = known.liveSends + known.silentSends > 0;
        const { type } = decideNext(end, known);
        return !isOpen || ['deliver', 'sendAgain', 'wait'].includes(type);
      }),
      { seed: 5 },
    );
  });

  it('waits for a send that is not silent instead of sending once more', () => {
    const live = { ...progress, maxAttempts: 3, liveSends: 1 };
    expect(decideNext(broken, live).type).to.equal('wait');
    const silent = { ...live, liveSends: 0, silentSends: 1 };
    expect(decideNext(broken, silent).type).to.equal('sendAgain');
  });
});

describe('takeoverObstacle', () => {
  it('lets another target take over a repeatable request from a silent one', () => {
    const silent = { ...progress, silentSends: 1 };
    expect(takeoverObstacle(silent)).to.equal(undefined);
    expect(takeoverObstacle({ ...silent, liveSends: 1 })).to.equal('liveSend');
    expect(takeoverObstacle({ ...silent, sends: 2 })).to.equal('attempts');
    expect(takeoverObstacle({ ...silent, unsent: 4 })).to.equal('attempts');
    expect(takeoverObstacle({ ...silent, timeLeftMs: 5 })).to.equal('deadline');
  });

  it('never repeats a call that may run at most once, and keeps to attempts and budget', () => {
    fc.assert(
      fc.property(anyProgress, (known) => {
        if (takeoverObstacle(known) !== undefined) return true;
        const isOnce =
          known.repeat === 'atMostOnce' ||
          (known.repeat === 'stream' && !known.resumable);
        return (
          !isOnce &&
          !known.isCrasher &&
          known.budgetLeft &&
          known.sends < known.maxAttempts
        );
      }),
      { seed: 6 },
    );
  });
});
