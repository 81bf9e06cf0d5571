import { expect } from 'chai';
import fc from 'fast-check';
import {
  sharedWatchMs,
  TAKEOVER_SPREAD_MS,
  type WatcherBeat,
  watchesStore,
} from './index.ts';

const beat = (name: string, more: Partial<WatcherBeat> = {}): WatcherBeat => ({
  name,
  weight: 1,
  heardAtMs: 1000,
  overdueMs: 0,
  ...more,
});

const watches = (
  beats: readonly WatcherBeat[],
  more: { readonly nowMs?: number; readonly groupSize?: number } = {},
) =>
  watchesStore({
    name: 'm',
    weight: 1,
    groupSize: 39,
    nowMs: 1000,
    beats,
    ...more,
  });

describe('storeWatchers', () => {
  it('leaves the store to two sound watchers that come first', () => {
    const two = [beat('a'), beat('b')];
    expect(watches(two)).to.equal(false);
    expect(watches(two.slice(1))).to.equal(true);
    expect(watches([beat('a'), beat('z')])).to.equal(true);
    expect(watches([beat('a'), beat('z', { weight: 2 })])).to.equal(false);
  });

  it('takes over from watchers that are silent or that the store does not answer', () => {
    const two = [beat('a'), beat('b')];
    expect(watches(two, { nowMs: 2300 })).to.equal(true);
    const cut = [beat('b'), beat('a', { overdueMs: 200 })];
    expect(watches(cut)).to.equal(true);
  });

  it('has every entry of a small group watch', () => {
    const two = [beat('a'), beat('b')];
    expect(watches(two, { groupSize: 16 })).to.equal(true);
  });

  it('always leaves some watcher, whichever entries fail and whoever hears whom', () => {
    const names = Array.from({ length: 20 }, (_, index) => `e${index + 10}`);
    const weights = fc.array(fc.integer({ min: 1, max: 2 }), {
      minLength: 20,
      maxLength: 20,
    });
    const failed = fc.uniqueArray(fc.integer({ min: 0, max: 19 }), {
      maxLength: 19,
    });
    fc.assert(
      fc.property(
        weights,
        failed,
        fc.array(fc.boolean(), { minLength: 400, maxLength: 400 }),
        (weight, down, heard) => {
          const alive = names.map((_, index) => !down.includes(index));
          let watching = alive;
          // Each round, all entries decide from the beats of the last one.
          Array.from({ length: 30 }).forEach(() => {
            watching = names.map((name, self) => {
              const beats = names.flatMap((other, index) =>
                index !== self &&
                watching[index] === true &&
                heard[self * 20 + index] === true
                  ? [beat(other, { weight: weight[index] ?? 1 })]
                  : [],
              );
              return (
                alive[self] === true &&
                watchesStore({
                  name,
                  weight: weight[self] ?? 1,
                  groupSize: 20,
                  beats,
                  nowMs: 1000,
                })
              );
            });
          });
          return watching.some(Boolean);
        },
      ),
      { seed: 1, numRuns: 200 },
    );
  });

  // Guards against times that each keep the bound of a change, and together exceed it.
  it('leaves time for a takeover and the fetches after it', () => {
    const storeTimeoutMs = 900;
    const waitMs = sharedWatchMs({ applyMs: 3000, storeTimeoutMs });
    const fetchMs = 400;
    const spentMs =
      waitMs + storeTimeoutMs + 200 + TAKEOVER_SPREAD_MS + fetchMs;
    expect(3000 - spentMs).to.be.at.least(300);
    expect(sharedWatchMs({ applyMs: 1000, storeTimeoutMs })).to.equal(500);
  });
});
