import {
  blockKey,
  type KnownBlock,
  type KnownDeath,
  type KnownSound,
  type PartBlock,
  partKey,
  type PartSound,
  type PartSuspectsState,
} from '../types.ts';
import { MAX_DEATHS } from './pruneRecords.ts';

/** Adds a death; the earlier times of two reports are nearer to the truth. */
export function withDeath(
  state: PartSuspectsState,
  death: KnownDeath,
): PartSuspectsState {
  const known = state.deaths.get(death.id);
  const merged =
    known === undefined
      ? death
      : {
          ...known,
          isOwn: known.isOwn || death.isOwn,
          sentAtMs: Math.min(known.sentAtMs, death.sentAtMs),
          endedAtMs: Math.min(known.endedAtMs, death.endedAtMs),
          ...(death.crash === undefined ? {} : { crash: death.crash }),
        };
  const deaths = new Map(state.deaths).set(death.id, merged);
  if (deaths.size <= MAX_DEATHS) return { ...state, deaths };
  const [oldest] = [...deaths.values()].toSorted(
    (a, b) => a.endedAtMs - b.endedAtMs || (a.id < b.id ? -1 : 1),
  );
  if (oldest !== undefined) deaths.delete(oldest.id);
  return { ...state, deaths };
}

/** Adds the soundness of a part; `ownAtMs` is set if peers have to learn it. */
export function withSound(
  sounds: PartSuspectsState['sounds'],
  sound: PartSound,
  ownAtMs: number | undefined,
): PartSuspectsState['sounds'] {
  const key = partKey(sound.service, sound.part);
  const known = sounds.get(key);
  const merged: KnownSound = {
    service: sound.service,
    part: sound.part,
    atMs: Math.max(known?.atMs ?? -Infinity, sound.atMs),
    ownAtMs: ownAtMs ?? known?.ownAtMs,
  };
  return new Map(sounds).set(key, merged);
}

/** Merges a block: its higher level and its earlier time. */
export function withBlock(
  state: PartSuspectsState,
  block: PartBlock,
  isOwn: boolean,
): PartSuspectsState {
  const key = blockKey(block);
  const known = state.blocks.get(key);
  const merged: KnownBlock =
    known === undefined
      ? { ...block, isOwn, triedAtMs: undefined }
      : {
          ...known,
          level: Math.max(known.level, block.level),
          sinceMs: Math.min(known.sinceMs, block.sinceMs),
        };
  return { ...state, blocks: new Map(state.blocks).set(key, merged) };
}
