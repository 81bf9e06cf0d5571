import type { RootState } from '@endivegate/core';

/**
 * Lists the reasons why an entry is not ready.
 *
 * @param state - State of the entry.
 * @returns Human-readable reasons; empty when the entry is ready.
 */
export function listUnreadyReasons(state: RootState): readonly string[] {
  const checks: readonly (readonly [isMet: boolean, reason: string])[] = [
    [state.table.document !== undefined, 'no table is in force'],
    [state.targets.byId.size > 0, 'no target is known'],
    [state.leaving.phase === 'running', 'the entry is leaving'],
  ];
  return checks.filter(([isMet]) => !isMet).map(([, reason]) => reason);
}
