import type { LoadReport } from '@endivegate/contracts';

/** A load sample; a report adds its age. */
export type LoadSample = Omit<LoadReport, 'ageMs'>;

/** Past load samples of an engine, for delayed reports. */
export interface LoadHistory {
  readonly record: (takeSample: () => LoadSample, nowMs: number) => void;
  readonly read: (nowMs: number) => LoadReport;
}

/** Options of {@link createLoadHistory}. */
export interface CreateLoadHistoryOptions {
  readonly lagMs: number;
  readonly initial: LoadSample;
}

/** Samples kept per `lagMs`. */
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
    record: (takeSample, nowMs) => {
      const last = samples.at(-1);
      if (last && nowMs - last.atMs < intervalMs) samples.pop();
      const firstRetainedIndex = samples.findLastIndex(
        ({ atMs }) => atMs <= nowMs - options.lagMs,
      );
      if (firstRetainedIndex > 0) samples = samples.slice(firstRetainedIndex);
      samples.push({
        atMs: last && nowMs - last.atMs < intervalMs ? last.atMs : nowMs,
        sample: takeSample(),
      });
    },
    read: (nowMs) => {
      const visible = samples.findLast(
        ({ atMs }) => atMs <= nowMs - options.lagMs,
      );
      if (!visible) return { ...options.initial, ageMs: options.lagMs };
      return { ...visible.sample, ageMs: options.lagMs };
    },
  };
}
