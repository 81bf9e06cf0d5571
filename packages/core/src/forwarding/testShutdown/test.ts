import { expect } from 'chai';
import fc from 'fast-check';
import type { GraceQuery } from '../fitsGrace/index.ts';
import {
  type Attempt,
  type PlayShutdownOptions,
  playShutdown,
  type ShutdownSchedule,
} from './index.ts';
import { calmSchedules, changingSchedules } from './test.arbitraries.ts';

const SEED = 56;

/** Callers may hold an address list from before the signal for so long. */
const ADDRESS_LIFETIME_MS = 3000;

/** Resolution of the model. */
const STEP_MS = 20;

/** Takes every request whose kind was quick enough before, whatever bounds it. */
const byEstimate = (query: GraceQuery): boolean => {
  const { elapsedMs, leftMs, boundMs, longestMs } = query;
  if (boundMs + 150 <= leftMs) return true;
  return longestMs === undefined
    ? elapsedMs < 0.4 * (elapsedMs + leftMs)
    : longestMs * 1.25 + 150 <= leftMs;
};

const lost = (
  schedule: ShutdownSchedule,
  options?: PlayShutdownOptions,
): readonly Attempt[] =>
  playShutdown(schedule, options).attempts.filter(({ isLost }) => isLost);

const sample = (
  schedules: fc.Arbitrary<ShutdownSchedule>,
  numRuns: number,
): readonly ShutdownSchedule[] => fc.sample(schedules, { seed: SEED, numRuns });

describe('a planned stop of entries', function () {
  // The schedules take 2 s each on an idle machine.
  this.timeout(60_000);

  // Guards against a request that is taken because others were quick, and cut off as its targets
  // became slower.
  (
    [
      [3000, 100],
      [8000, 100],
      [30_000, 40],
    ] as const
  ).forEach(([graceMs, numRuns]) => {
    it(`cuts off nothing without an excuse, whatever targets and callers do: ${graceMs} ms`, () => {
      fc.assert(
        fc.property(changingSchedules(graceMs), (schedule) => {
          expect(lost(schedule)).to.deep.equal([]);
        }),
        { seed: SEED, numRuns },
      );
    });
  });

  // Guards against a model that cannot show the fault.
  it('cuts off streams when late requests are taken on an estimate', () => {
    const cut = sample(changingSchedules(8000), 100).flatMap((schedule) =>
      lost(schedule, { fits: byEstimate }),
    );
    expect(cut).to.not.deep.equal([]);
    expect(cut.filter(({ sentMs }) => sentMs < 2900)).to.deep.equal([]);
    expect(new Set(cut.map(({ kind }) => kind))).to.deep.equal(
      new Set(['stream']),
    );
  });

  // Guards against an entry that refuses what callers still send to it in good faith.
  [8000, 30_000].forEach((graceMs) => {
    it(`serves what is sent before callers have other addresses: ${graceMs} ms`, () => {
      const sent = sample(calmSchedules(graceMs), 40)
        .flatMap((schedule) => playShutdown(schedule).attempts)
        .filter(({ sentMs }) => sentMs >= 0 && sentMs <= ADDRESS_LIFETIME_MS);
      const served = sent.filter(({ outcome }) => outcome === 'served');
      expect(served.length / sent.length).to.be.at.least(0.9);
    });
  });

  // Guards against refusals that come late, and against callers that are refused again.
  [3000, 8000, 30_000].forEach((graceMs) => {
    it(`refuses at once, and another entry serves what was refused: ${graceMs} ms`, () => {
      const reports = sample(calmSchedules(graceMs), 40).map((schedule) =>
        playShutdown(schedule),
      );
      const refused = reports
        .flatMap(({ attempts }) => attempts)
        .filter(({ outcome }) => outcome === 'refused');
      expect(refused).to.not.deep.equal([]);
      refused.forEach(({ tookMs }) => {
        expect(tookMs).to.be.at.most(STEP_MS);
      });
      // A caller whose own deadline is too short would not be served elsewhere either.
      const outcomes = new Set(reports.flatMap(({ retries }) => retries));
      outcomes.delete('timedOut');
      expect(outcomes).to.deep.equal(new Set(['served']));
    });
  });
});
