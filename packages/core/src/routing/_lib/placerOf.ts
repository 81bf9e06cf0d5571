import { scoreRendezvous } from '../../scoreRendezvous/index.ts';
import type { RoutingState } from './types.ts';

/**
 * Returns the placing entry of a model: the one that assigns its long prompts
 * to engines.
 *
 * @param state - State of routing; `live` includes this entry.
 * @param model - The model.
 * @returns Its id; this entry's own id while no live entry is known.
 */
export function placerOf(
  state: RoutingState,
  model: string,
): string | undefined {
  const [best] = state.live
    .map(({ entryId }) => ({
      entryId,
      score: scoreRendezvous(`placer ${model}`, entryId),
    }))
    .toSorted((a, b) => b.score - a.score);
  return best?.entryId ?? state.self?.entryId;
}
