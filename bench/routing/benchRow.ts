import type { Measures } from './measure/index.ts';

/** One cell of the printed table. */
export interface BenchRow {
  readonly mix: string;
  readonly loadPercent: number;
  readonly policy: string;
  readonly measures: Measures;
  /** p95 first token of short prompts beside long ones ÷ without them. */
  readonly blocking: number | undefined;
}
