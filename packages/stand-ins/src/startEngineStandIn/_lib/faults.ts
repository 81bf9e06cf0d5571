import { z } from 'zod';

const rate = z.number().min(0).max(1);

/** Faults of an engine stand-in; `PUT /faults` changes the given ones. */
export const engineFaultsSchema = z.strictObject({
  /** A prompt that contains this text crashes the engine when it starts. */
  crashOnText: z.string().min(1).nullable(),
  /** Time from a crash until the engine listens again. */
  restartAfterMs: z.number().nonnegative(),
  /** Whether every submission is refused before it starts. */
  refusesAll: z.boolean(),
  /** Time by which the head of every answer is late. */
  delayMs: z.number().nonnegative(),
  /** Share of streams that carry items of another attempt. */
  crossedRate: rate,
  /** Share of streams whose connection is cut half-way. */
  cutRate: rate,
  /** Share of streams that end without their end mark. */
  unendedRate: rate,
  /** Share of streams whose items are sent twice. */
  doubledRate: rate,
  /** Share of streams whose connection goes silent for good. */
  silentRate: rate,
});

/** Faults of an engine stand-in. */
export type EngineFaults = z.infer<typeof engineFaultsSchema>;

/** Time from a crash until an engine listens again. */
const RESTART_AFTER_MS = 2_000;

/** An engine without faults. */
export const NO_ENGINE_FAULTS: EngineFaults = {
  crashOnText: null,
  restartAfterMs: RESTART_AFTER_MS,
  refusesAll: false,
  delayMs: 0,
  crossedRate: 0,
  cutRate: 0,
  unendedRate: 0,
  doubledRate: 0,
  silentRate: 0,
};

/** What goes wrong with one stream, after how many items of it. */
export interface StreamFault {
  readonly type: 'crossed' | 'cut' | 'unended' | 'doubled' | 'silent';
  readonly afterItems: number;
}

/** Items after which the fault of a stream sets in, at most. */
const MAX_ITEMS_BEFORE_FAULT = 8;

/**
 * Draws the fault of a new stream.
 *
 * @param faults - The engine's faults.
 * @param random - Uniform in [0, 1).
 * @returns The fault, or `undefined` for a sound stream.
 */
export function drawStreamFault(
  faults: EngineFaults,
  random: () => number,
): StreamFault | undefined {
  const afterItems = Math.floor(random() * MAX_ITEMS_BEFORE_FAULT);
  const draws = [
    { type: 'crossed', rate: faults.crossedRate },
    { type: 'cut', rate: faults.cutRate },
    { type: 'unended', rate: faults.unendedRate },
    { type: 'doubled', rate: faults.doubledRate },
    { type: 'silent', rate: faults.silentRate },
  ] as const;
  const drawn = draws.find((draw) => random() < draw.rate);
  return drawn && { type: drawn.type, afterItems };
}
