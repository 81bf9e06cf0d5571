import type { GraceQuery } from '../fitsGrace/index.ts';
import type { ShutdownBudget } from '../shutdownBudget/index.ts';
import type { TrafficKind } from './_lib/traffic.ts';
import type { Outcome } from './_lib/virtualEntry.ts';

/** What happens to targets and callers, in ms from the first SIGTERM. */
export type LoadChange = {
  readonly fromMs: number;
  readonly forMs: number;
} & (
  | {
      /** A part of the targets takes `factor` times as long; below 1, they are quicker. */
      readonly type: 'pace';
      readonly factor: number;
      readonly part: number;
    }
  /** A part of the targets gets no requests. */
  | { readonly type: 'release'; readonly part: number }
  /** More callers. */
  | { readonly type: 'burst'; readonly callers: number }
  /** Long prompts, one for each caller. */
  | { readonly type: 'longPrompts'; readonly callers: number }
);

/** Planned stops of entries, and what happens around them. */
export interface ShutdownSchedule {
  readonly seed: number;
  readonly graceMs: number;
  /** Time of the SIGTERM of each entry; undefined for those that stay. */
  readonly signalsMs: readonly (number | undefined)[];
  /** Time for which requests are served before the first SIGTERM. */
  readonly warmUpMs: number;
  /** Callers of each entry at the start. */
  readonly callers: number;
  /** Timeout of all routes. */
  readonly timeoutMs: number;
  readonly changes: readonly LoadChange[];
  /** Time from a SIGTERM until the entry handles it; 0 by default. */
  readonly signalLagMs?: number;
  /** Longest time for which callers read the end of an answer; 0 by default. */
  readonly deliveryMs?: number;
}

/** One request at an entry that got a SIGTERM before it had ended. */
export interface Attempt {
  readonly entry: number;
  readonly kind: TrafficKind;
  /** Time of its last byte, from the SIGTERM of the entry. */
  readonly sentMs: number;
  readonly endedMs: number;
  readonly outcome: Outcome;
  /** Whether it was cut off without an excuse. */
  readonly isLost: boolean;
  /** Time from its last byte to the end. */
  readonly tookMs: number;
}

/** What callers saw. */
export interface ShutdownReport {
  readonly attempts: readonly Attempt[];
  /** How requests ended that an entry had refused and that their callers sent again at once. */
  readonly retries: readonly Outcome[];
}

/** What decides, in place of the product's own functions. */
export interface PlayShutdownOptions {
  readonly fits?: (query: GraceQuery) => boolean;
  readonly budget?: (graceMs: number) => ShutdownBudget;
}
