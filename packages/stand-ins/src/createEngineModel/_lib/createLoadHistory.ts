import type { LoadReport } from '@endivegate/contracts';

/** Load without the age that a report adds. */
export type LoadSample = Omit<LoadReport, 'ageMs'>;

/** Past loads of an engine, for reports that lag. */
export interface LoadHistory {
  readonly record: (sample: () => LoadSample, nowMs: number) => void;
  readonly read: (nowMs: number) => LoadReport;
}

/** Options of {@link createLoadHistory}. */
export interface CreateLoadHistoryOptions {
  readonly lagMs: number;
  readonly initial: LoadSample;
}

/** Samples taken within one lag. */
const SAMPLES_PER_LAG = 10;

/**
 * Creates a history that reports the load as it was `lagMs` ago.
 *
 * @param options - The lag, and the load before the first sample.
 * @returns The history.
 */
export function createLoadHistory(
  options: CreateLoadHistoryOptions,
): LoadHistory {
  const intervalMs = options.lagMs / SAMPLES_PER_LAG;
  let samples: { readonly atMs: number; readonly sample: LoadSample }[] = [];

  return {
    record: (sample, nowMs) => {
      const last = samples.at(-1);
      if (last && nowMs - last.atMs < intervalMs) samples.pop();
      const keepFrom = samples.findLastIndex(
        ({ atMs }) => atMs <= nowMs - options.lagMs,
      );
      if (keepFrom > 0) samples = samples.slice(keepFrom);
      samples.push({
        atMs: last && nowMs - last.atMs < intervalMs ? last.atMs : nowMs,
        sample: sample(),
      });
    },
    read: (nowMs) => {
      const shown = samples.findLast(
        ({ atMs }) => atMs <= nowMs - options.lagMs,
      );
      if (!shown) return { ...options.initial, ageMs: options.lagMs };
      return { ...shown.sample, ageMs: options.lagMs };
    },
  };
}
