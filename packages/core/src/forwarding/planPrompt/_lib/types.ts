import type { EngineCost } from '@endivegate/contracts/forwarding';
import type { LoadByTarget, TargetLoad } from '../../engineLoad/index.ts';
import type { RosterTarget } from '../../targetRoster/index.ts';

/** Size and timing requirements of a prompt. */
export interface PromptDemand {
  readonly promptTokens: number;
  /** Expected number of generated tokens. */
  readonly outputTokens: number;
  /** Time left until the first event misses the latency target. */
  readonly latencyBudgetMs: number;
  /** Time until the caller gives up. */
  readonly patienceMs: number;
  readonly gapTargetMs: number;
}

/** Engines that a prompt may be sent to, and their current load. */
export interface EngineView {
  readonly cost: EngineCost;
  readonly targets: readonly RosterTarget[];
  readonly loads: LoadByTarget;
  readonly nowMs: number;
  /** Fraction of an engine's memory available to the planner. If given, prompts
   * that do not fit at the engines of least cost are placed by free memory. */
  readonly memoryUtilisation?: number | undefined;
}

/** Memory to reserve at a helper for a part of a prompt. */
export interface PlannedReservation {
  readonly target: RosterTarget;
  readonly tokens: number;
}

/** A part of a prompt to place at an engine. */
export interface PromptPart {
  readonly prefillMs: number;
  /** Whether the prompt belongs in the short lane. */
  readonly isShort: boolean;
  /** Whether other engines prefill parts of the prompt as well. */
  readonly isSplit: boolean;
  /** Time left until the prompt's first event misses the latency target. */
  readonly latencyBudgetMs: number;
  /** Time until the caller gives up. */
  readonly patienceMs: number;
  /** Value of serving the prompt on time; see `valueOfPrompt`. */
  readonly value: number;
}

/** An engine with its current load and the duration of its passes. */
export interface EngineCandidate {
  readonly target: RosterTarget;
  readonly load: TargetLoad;
  readonly passMs: number;
  readonly isShortLane: boolean;
}
