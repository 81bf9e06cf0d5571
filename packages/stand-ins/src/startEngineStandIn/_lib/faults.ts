import { z } from 'zod';

const rate = z.number().min(0).max(1);

/** Faults of an engine stand-in; `PUT /faults` changes only the fields it gets. */
export const engineFaultsSchema = z.strictObject({
  /** A prompt that contains this text crashes the engine when the prompt starts. */
  crashOnText: z.string().min(1).nullable(),
  /** Time from a crash until the engine listens again. */
  restartAfterMs: z.number().nonnegative(),
  /** Whether every submission is refused before it starts. */
  refusesAll: z.boolean(),
  /** Delay of the response head of every stream. */
  delayMs: z.number().nonnegative(),
  /** Fraction of streams that carry items of another attempt. */
  crossedRate: rate,
  /** Fraction of streams whose connection is closed before the end. */
  cutRate: rate,
  /** Fraction of streams that end without an end item. */
  unendedRate: rate,
  /** Fraction of streams whose items are sent twice. */
  doubledRate: rate,
  /** Fraction of streams whose connection stays open but silent for good. */
  silentRate: rate,
});

/** Faults of an engine stand-in. */
export type EngineFaults = z.infer<typeof engineFaultsSchema>;

/** Default of `restartAfterMs`. */
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

/** The fault of one stream, and the number of items sent before it. */
export interface StreamFault {
  readonly type: 'crossed' | 'cut' | 'unended' | 'doubled' | 'silent';
  readonly afterItems: number;
}

/** Exclusive upper bound of the items sent before a stream's fault. */
const MAX_ITEMS_BEFORE_FAULT = 8;

/**
 * Selects the fault of a new stream at random.
 *
 * @param faults - The engine's faults.
 * @param random - Returns a uniform random number in [0, 1).
 * @returns The fault, or `undefined` for a stream without one.
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
