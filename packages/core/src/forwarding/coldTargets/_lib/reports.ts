import type {
  ColdReport,
  ColdSource,
  ColdTargetsState,
  ColdTargetsStep,
} from '../types.ts';

/** Longest warm-up that is believed. */
export const MAX_WARM_UP_MS = 600_000;

/** A target counts as cold for this much longer than it said, as clocks and timers
 * differ by some ms. */
export const WARM_UP_MARGIN_MS = 50;

/**
 * Records a report unless a newer one, or one on a later process, is known. A target
 * that becomes cold starts without permits. A report that a target is warm is kept
 * until the margin has passed.
 */
export function withReport(
  state: ColdTargetsState,
  report: ColdReport,
  source: ColdSource,
): ColdTargetsStep {
  const known = state.cold.get(report.id);
  const isOlder =
    known !== undefined &&
    (known.bornMs > report.bornMs ||
      (known.bornMs === report.bornMs && known.atMs >= report.atMs));
  const leftMs = Math.min(Math.max(report.leftMs, 0), MAX_WARM_UP_MS);
  if (isOlder || !Number.isFinite(leftMs)) return { state, effects: [] };
  const isSame = known?.bornMs === report.bornMs;
  const wasCold = isSame && known.atMs + known.leftMs > report.atMs;
  const isCold = leftMs > 0;
  const next = {
    ...report,
    leftMs,
    source,
    spacingMs: isSame ? known.spacingMs : Infinity,
    isDivided: isSame && known.isDivided,
    pacedFromMs:
      wasCold || known === undefined
        ? (known?.pacedFromMs ?? report.atMs)
        : Math.max(known.pacedFromMs, report.atMs),
  };
  return {
    state: { ...state, cold: new Map(state.cold).set(report.id, next) },
    effects:
      wasCold === isCold
        ? []
        : [
            {
              type: 'coldTargets.changed',
              id: report.id,
              isCold,
              leftMs,
              source,
              isClamped: report.leftMs > MAX_WARM_UP_MS,
            },
          ],
  };
}
