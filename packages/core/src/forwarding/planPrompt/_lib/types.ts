import type { EngineCost } from '@endivegate/contracts/forwarding';
import type { LoadByTarget, TargetLoad } from '../../engineLoad/index.ts';
import type { RosterTarget } from '../../targetRoster/index.ts';

/** What a prompt asks of engines. */
export interface PromptDemand {
  readonly promptTokens: number;
  /** Tokens that it is expected to write. */
  readonly outputTokens: number;
  /** Time that is left until its first event is late. */
  readonly aimLeftMs: number;
  /** Time until its caller leaves. */
  readonly patienceMs: number;
  readonly gapTargetMs: number;
}

/** Engines that a prompt may be sent to, and what they have to do. */
export interface EngineView {
  readonly cost: EngineCost;
  readonly targets: readonly RosterTarget[];
  readonly loads: LoadByTarget;
  readonly nowMs: number;
}

/** Memory that a part of a prompt is stored in at a helper. */
export interface MemorySeat {
  readonly target: RosterTarget;
  readonly tokens: number;
}

/** A part of a prompt that is to be placed. */
export interface PromptPart {
  readonly readMs: number;
  /** Whether a prompt belongs to the short lane. */
  readonly isShort: boolean;
  /** Whether other engines read parts of the prompt as well. */
  readonly isHelped: boolean;
  /** Time until the prompt's first event is late. */
  readonly aimMs: number;
  /** Time until its caller leaves. */
  readonly patienceMs: number;
  /** What its being on time is worth. */
  readonly value: number;
}

/** An engine, what it has to do, and the length of its passes. */
export interface EngineCandidate {
  readonly target: RosterTarget;
  readonly load: TargetLoad;
  readonly passMs: number;
  readonly isShortLane: boolean;
}
