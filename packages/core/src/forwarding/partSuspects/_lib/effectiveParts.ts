import {
  type KnownBlock,
  type PartBlock,
  partKey,
  type PartSuspectsState,
} from '../types.ts';

/** Time at which a part was last found sound; -Infinity if it never was. */
export function soundAtMs(
  sounds: PartSuspectsState['sounds'],
  service: string,
  part: string,
): number {
  return sounds.get(partKey(service, part))?.atMs ?? -Infinity;
}

/** Parts of a block that were not found sound since; none if it is cleared. */
export function effectiveParts(
  sounds: PartSuspectsState['sounds'],
  block: PartBlock,
): readonly string[] {
  return block.parts.filter(
    (part) => soundAtMs(sounds, block.service, part) <= block.sinceMs,
  );
}

/** Blocks with parts that were not found sound since. */
export function openBlocks(state: PartSuspectsState): readonly KnownBlock[] {
  return [...state.blocks.values()].filter(
    (block) => effectiveParts(state.sounds, block).length > 0,
  );
}

/** Whether a request with these parts contains all parts of a block. */
export function isCovered(
  parts: readonly string[],
  blocked: readonly string[],
): boolean {
  return blocked.length > 0 && blocked.every((part) => parts.includes(part));
}
