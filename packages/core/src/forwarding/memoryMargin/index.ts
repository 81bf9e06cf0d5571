/** Fraction of memory that a planner leaves to what others place meanwhile. */
export interface MemoryMarginState {
  readonly share: number;
}

/** Options of {@link reduceMemoryMargin}. */
export interface MemoryMarginOptions {
  readonly minShare: number;
  readonly maxShare: number;
  /** Fraction of arrivals that targets may reject for lack of memory or slots. */
  readonly rejectedShare: number;
  /** Increase of the margin by one rejection. */
  readonly increase: number;
}

/** The constant margin of an entry without a queue is the first value. */
export const initialMemoryMargin: MemoryMarginState = { share: 0.08 };

const DEFAULT_OPTIONS: MemoryMarginOptions = {
  minShare: 0.02,
  maxShare: 0.15,
  rejectedShare: 0.01,
  increase: 0.01,
};

/**
 * Adapts the margin to the rate at which targets reject arrivals. A rejection widens
 * it, an arrival that is taken narrows it, so that it settles where the intended
 * share of arrivals is rejected.
 *
 * @param state - Current margin.
 * @param isRejected - Whether the target rejected the request without running it.
 * @param options - Limits and the intended share.
 * @returns The new margin.
 *
 * @example
 * reduceMemoryMargin({ share: 0.08 }, true).share; // 0.09
 */
export function reduceMemoryMargin(
  state: MemoryMarginState,
  isRejected: boolean,
  options: Partial<MemoryMarginOptions> = {},
): MemoryMarginState {
  const { minShare, maxShare, rejectedShare, increase } = {
    ...DEFAULT_OPTIONS,
    ...options,
  };
  const decrease = (increase * rejectedShare) / (1 - rejectedShare);
  const share = state.share + (isRejected ? increase : -decrease);
  return { share: Math.min(Math.max(share, minShare), maxShare) };
}
