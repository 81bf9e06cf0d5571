import {
  type KnownBlock,
  type PartBlock,
  partsKey,
  type PartSuspectsEffect,
  type PartSuspectsState,
} from '../types.ts';
import { openBlocks } from './effectiveParts.ts';
import { holdMsOf } from './holds.ts';

/** Blocks that are in force now and were not, or at a lower level. */
export function blockEffects(
  before: PartSuspectsState,
  after: PartSuspectsState,
  source: 'own' | 'peer',
): readonly PartSuspectsEffect[] {
  if (before.blocks === after.blocks) return [];
  const levels = levelsOf(before);
  return [...levelsOf(after).values()]
    .filter((block) => block.level > (levels.get(partsKey(block))?.level ?? -1))
    .map((block) => ({
      type: 'partSuspects.blocked',
      block: tellable(block),
      source,
      holdMs: holdMsOf(block),
    }));
}

/** Blocks that were in force and no longer are. */
export function clearEffects(
  before: PartSuspectsState,
  after: PartSuspectsState,
): readonly PartSuspectsEffect[] {
  if (before.sounds === after.sounds || before.blocks.size === 0) return [];
  const levels = levelsOf(after);
  return [...levelsOf(before)]
    .filter(([key]) => !levels.has(key))
    .map(([, block]) => ({
      type: 'partSuspects.cleared',
      block: tellable(block),
    }));
}

/** The block of the highest level for each set of parts. */
function levelsOf(state: PartSuspectsState): ReadonlyMap<string, KnownBlock> {
  return new Map(
    openBlocks(state)
      .toSorted((a, b) => a.level - b.level)
      .map((block) => [partsKey(block), block]),
  );
}

/** A block as it is reported to peers. */
export function tellable(block: PartBlock): PartBlock {
  const { service, parts, cause, level, sinceMs } = block;
  return { service, parts, cause, level, sinceMs };
}
