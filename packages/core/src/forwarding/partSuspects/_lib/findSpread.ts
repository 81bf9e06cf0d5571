import type { PartBlock, PartSuspectsState } from '../types.ts';
import { effectiveParts, isCovered, openBlocks } from './effectiveParts.ts';

/**
 * Finds parts that are blocked for one service and now crashed a target of
 * another, for example because a route moved. One death is enough there.
 *
 * @param state - Deaths and blocks on record.
 * @returns New blocks, by the first such death of each service.
 */
export function findSpread(state: PartSuspectsState): readonly PartBlock[] {
  const open = openBlocks(state).map(({ service, ...block }) => ({
    service,
    parts: effectiveParts(state.sounds, { ...block, service }),
  }));
  const deaths = [...state.deaths.values()].toSorted(
    (a, b) => a.endedAtMs - b.endedAtMs || (a.id < b.id ? -1 : 1),
  );
  return deaths.reduce<readonly PartBlock[]>((found, death) => {
    const { service } = death;
    const isBlocked = [...open, ...found].some(
      (block) =>
        block.service === service && isCovered(death.parts, block.parts),
    );
    if (isBlocked) return found;
    const spread = open.find(
      (block) =>
        block.service !== service && isCovered(death.parts, block.parts),
    );
    if (spread === undefined) return found;
    const block = {
      service,
      parts: spread.parts,
      cause: death.process,
      level: 0,
      sinceMs: death.endedAtMs,
    };
    const isSound = effectiveParts(state.sounds, block).length === 0;
    return isSound ? found : [...found, block];
  }, []);
}
