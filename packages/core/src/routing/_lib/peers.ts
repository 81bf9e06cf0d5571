import { scoreRendezvous } from '../../scoreRendezvous/index.ts';
import type { RoutingState } from './types.ts';

/**
 * Returns the entry that places the long prompts of a model.
 *
 * @param state - State of routing; `live` holds this entry too.
 * @param model - The model.
 * @returns Its id; this entry's own while no other is known.
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
