import type { Measures } from './measure/index.ts';

/** Result of one policy with one request mix at one load. */
export interface BenchRow {
  readonly mix: string;
  readonly loadPercent: number;
  readonly policy: string;
  readonly measures: Measures;
  /**
   * p95 time to first token of short prompts in the full trace, divided by the
   * same without long prompts: the slowdown that long prompts cause.
   */
  readonly blocking: number | undefined;
}
