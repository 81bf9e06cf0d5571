import { expect } from 'chai';
import type { EngineCost } from '@endivegate/contracts/forwarding';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { RosterTarget } from '../../targetRoster/index.ts';
import { type LoadPrompt, type PromptOutcome, runLoad } from './testFleet.ts';

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
  ...{ id: `t${index}`, service: 's', address: `10.0.0.${index}:80` },
  ...{ dataCentre: 'a', draining: false, slots: 11, bornMs: 0 },
  ...{ removalDueAtMs: undefined, avoidUntilMs: 0, pausedUntilMs: 0 },
  ...{ unconfirmedUntilMs: 0, failures: 0, slowdown: 1 },
  ...{ idHash: index, laneRank: index / 20 },
}));

const ENTRIES = 6;

const short = {
  ...{ promptTokens: 5000, outputEvents: 33 },
  ...{ objectiveMs: 300, gapTargetMs: 250, deadlineMs: 10_000 },
};

const long = {
  ...{ promptTokens: 154_000, outputEvents: 16 },
  ...{ objectiveMs: 3000, gapTargetMs: 1000, deadlineMs: 15_000 },
};

const createRandom = (seed: number): (() => number) => {
  const generator = xoroshiro128plus(seed);
  return () => uniformFloat64(generator);
};

/** Prompts that arrive at random times of a span, at random entries. */
const arrivals = (
  kind: Omit<LoadPrompt, 'arrivesAtMs' | 'entry'>,
  span: {
    readonly fromMs: number;
    readonly toMs: number;
    readonly perS: number;
  },
  random: () => number,
): readonly LoadPrompt[] => {
  const spanMs = span.toMs - span.fromMs;
  return Array.from({ length: (span.perS * spanMs) / 1000 }, () => ({
    ...kind,
    arrivesAtMs: span.fromMs + spanMs * random(),
    entry: Math.floor(ENTRIES * random()),
  }));
};

const onTimeShare = (
  outcomes: readonly PromptOutcome[],
  isCounted: (prompt: LoadPrompt) => boolean,
): number => {
  const counted = outcomes.filter(({ prompt }) => isCounted(prompt));
  return counted.filter(({ isOnTime }) => isOnTime).length / counted.length;
};

const isShort = ({ promptTokens }: LoadPrompt): boolean =>
  promptTokens === short.promptTokens;

const play = (
  seed: number,
  loadOf: (random: () => number) => readonly LoadPrompt[],
): readonly PromptOutcome[] => {
  const random = createRandom(seed);
  const load = loadOf(random);
  return runLoad(load, { cost, targets, reportAgeMs: 50, random });
};

const SEEDS = [1, 2, 3];

describe('planPrompt under load', () => {
  it('keeps short prompts on time beside a burst of long ones', () => {
    const shares = SEEDS.map((seed) =>
      onTimeShare(
        play(seed, (random) => [
          ...arrivals(short, { fromMs: 0, toMs: 6000, perS: 10 }, random),
          ...arrivals(long, { fromMs: 1000, toMs: 4000, perS: 3 }, random),
        ]),
        isShort,
      ),
    );
    shares.forEach((share) => expect(share).to.be.at.least(0.85));
  });

  it('keeps short prompts on time after callers of long ones have left', () => {
    const left = { ...long, promptTokens: 300_000, deadlineMs: 1200 };
    const shares = SEEDS.map((seed) =>
      onTimeShare(
        play(seed, (random) => [
          ...arrivals(short, { fromMs: 0, toMs: 6000, perS: 10 }, random),
          ...arrivals(left, { fromMs: 1000, toMs: 4000, perS: 1 }, random),
        ]),
        isShort,
      ),
    );
    shares.forEach((share) => expect(share).to.be.at.least(0.85));
  });

  it('serves long prompts beside a burst of short ones', () => {
    const shares = SEEDS.map((seed) => {
      const outcomes = play(seed, (random) => [
        ...arrivals(short, { fromMs: 0, toMs: 5000, perS: 70 }, random),
        ...arrivals(long, { fromMs: 1000, toMs: 4000, perS: 1 }, random),
      ]);
      return [
        onTimeShare(outcomes, isShort),
        onTimeShare(outcomes, (prompt) => !isShort(prompt)),
      ] as const;
    });
    shares.forEach(([shorts, longs]) => {
      expect(shorts).to.be.at.least(0.85);
      expect(longs).to.be.at.least(0.85);
    });
  });
});
