import { type KnownBlock, partKey, type PartSuspectsState } from '../types.ts';
import { effectiveParts } from './effectiveParts.ts';

const MS_PER_MINUTE = 60_000;

const DEATH_RETENTION_MS = 10 * MS_PER_MINUTE;

/** Longer than deaths are kept, so that peers that still tell of them do not bring
 * them back. */
const SOUND_RETENTION_MS = 20 * MS_PER_MINUTE;

/** Blocks whose parts never come again are dropped this long after the time of
 * their trial. */
const UNTRIED_RETENTION_MS = 24 * 60 * MS_PER_MINUTE;

/** Blocks that are over are dropped before the soundness that ended them. */
const OVER_RETENTION_MS = 15 * MS_PER_MINUTE;

/** Also the most that are kept while no time passes. */
export const MAX_DEATHS = 256;
const MAX_SOUNDS = 128;
const MAX_BLOCKS = 32;

/** Removes old records, and the oldest ones above the limits. */
export function pruneRecords(
  state: PartSuspectsState,
  nowMs: number,
  holdMsOf: (block: KnownBlock) => number,
): PartSuspectsState {
  const deaths = keepNewest(state.deaths, {
    max: MAX_DEATHS,
    atMs: (death) => death.endedAtMs,
    sinceMs: () => nowMs - DEATH_RETENTION_MS,
  });
  const blocks = keepNewest(state.blocks, {
    max: MAX_BLOCKS,
    atMs: (block) => block.sinceMs,
    sinceMs: (block) =>
      effectiveParts(state.sounds, block).length === 0
        ? nowMs - OVER_RETENTION_MS
        : nowMs - holdMsOf(block) - UNTRIED_RETENTION_MS,
  });
  const blockedKeys = new Set(
    [...blocks.values()].flatMap(({ service, parts }) =>
      parts.map((part) => partKey(service, part)),
    ),
  );
  const sounds = keepNewest(state.sounds, {
    max: MAX_SOUNDS,
    atMs: (sound) => sound.atMs,
    sinceMs: ({ service, part }) =>
      blockedKeys.has(partKey(service, part))
        ? -Infinity
        : nowMs - SOUND_RETENTION_MS,
  });
  const services = new Set([...deaths.values()].map((death) => death.service));
  const answers = [...state.answers.keys()].every((one) => services.has(one))
    ? state.answers
    : new Map([...state.answers].filter(([one]) => services.has(one)));
  const isSame =
    deaths === state.deaths &&
    sounds === state.sounds &&
    blocks === state.blocks &&
    answers === state.answers;
  return isSame ? state : { deaths, sounds, answers, blocks };
}

function keepNewest<T>(
  records: ReadonlyMap<string, T>,
  limits: {
    readonly max: number;
    readonly atMs: (record: T) => number;
    readonly sinceMs: (record: T) => number;
  },
): ReadonlyMap<string, T> {
  const { max, atMs, sinceMs } = limits;
  const kept = [...records]
    .filter(([, record]) => atMs(record) > sinceMs(record))
    .toSorted(([, a], [, b]) => atMs(b) - atMs(a))
    .slice(0, max);
  return kept.length === records.size ? records : new Map(kept);
}
