import type { Step } from '../../step/index.ts';
import {
  effectiveParts,
  isCovered,
  openBlocks,
  soundAtMs,
} from './_lib/effectiveParts.ts';
import { findBlocks } from './_lib/findBlocks.ts';
import { blockEffects, clearEffects } from './_lib/blockChanges.ts';
import { findSpread } from './_lib/findSpread.ts';
import { endMsOf, holdMsOf } from './_lib/holds.ts';
import { withBlock, withDeath, withSound } from './_lib/merge.ts';
import { raiseLevels } from './_lib/raiseLevels.ts';
import { pruneRecords } from './_lib/pruneRecords.ts';
import {
  type PartBlock,
  partKey,
  type PartReport,
  partsKey,
  type PartSuspectsEffect,
  type PartSuspectsEvent,
  type PartSuspectsState,
} from './types.ts';

export type * from './types.ts';
export { partsKey } from './types.ts';
export { isRequestPart, requestPart } from './_lib/requestPart.ts';

type PartStep = Step<PartSuspectsState, PartSuspectsEffect>;

/** Answers are recorded, and blocks looked for, this long after a death. */
const ANSWERS_RECORDED_MS = 30_000;

/** Answers kept for each service. */
const MAX_ANSWERS = 16;

/** Records of this entry are reported for this long, as datagrams may be lost. */
const REPORTED_MS = 3500;

/** Rows of each kind that are reported. */
const MAX_REPORT_ROWS = 8;

/** State before the first death. */
export const initialPartSuspects: PartSuspectsState = {
  deaths: new Map(),
  sounds: new Map(),
  answers: new Map(),
  blocks: new Map(),
};

/**
 * Finds out which part of a prompt, or which request as a whole, crashes the targets
 * that run it. Answers the load patterns "poison request" and, as no two requests with
 * such a part are alike, "poison prompt part".
 *
 * Deaths, answers and blocks are facts whose merge does not depend on their order:
 * entries that know the same facts come to the same blocks.
 *
 * @param state - Current records.
 * @param event - The event to apply.
 * @returns The new records, and what to log and to tell.
 *
 * @example
 * reducePartSuspects(state, { type: 'partSuspects.ticked', atMs });
 */
export function reducePartSuspects(
  state: PartSuspectsState,
  event: PartSuspectsEvent,
): PartStep {
  switch (event.type) {
    case 'partSuspects.died': {
      const { death, crash } = event;
      const known = withDeath(state, { ...death, isOwn: true, crash });
      const step = establish(known, event.atMs);
      return {
        state: step.state,
        effects: [{ type: 'partSuspects.reportDue' }, ...step.effects],
      };
    }
    case 'partSuspects.answered':
      return recordAnswer(state, event);
    case 'partSuspects.reportReceived':
      return mergeNews(state, event);
    case 'partSuspects.tried':
      return {
        state: {
          ...state,
          blocks: new Map(
            [...state.blocks].map(([key, block]) => [
              key,
              partsKey(block) === event.key
                ? { ...block, triedAtMs: event.atMs }
                : block,
            ]),
          ),
        },
        effects: [],
      };
    case 'partSuspects.ticked':
      return hasRecords(state)
        ? tick(state, event.atMs)
        : { state, effects: [] };
  }
}

/**
 * Checks whether there is anything on record, so that answers have to be
 * recorded.
 *
 * @param state - Current records.
 * @returns Whether a target died, or a part is blocked.
 *
 * @example
 * hasRecords(initialPartSuspects); // false
 */
export function hasRecords(state: PartSuspectsState): boolean {
  return state.deaths.size > 0 || state.blocks.size > 0;
}

/** What happens to a request with blocked parts. */
export type PartVerdict =
  | {
      readonly type: 'refuse';
      readonly block: PartBlock;
      readonly endMs: number;
    }
  /** The block has lasted its time: one such request may be sent as a trial. */
  | { readonly type: 'try'; readonly block: PartBlock; readonly key: string };

/** A request to check for blocked parts. */
export interface PartQuery {
  readonly service: string;
  readonly parts: readonly string[];
  readonly nowMs: number;
}

/**
 * Checks a request for blocked parts.
 *
 * @param state - Current records.
 * @param query - The request.
 * @returns What to do with it; undefined if it contains none. The end of a block
 * is the monotonic time of its next trial.
 *
 * @example
 * findBlockedParts(state, { service, parts, nowMs });
 */
export function findBlockedParts(
  state: PartSuspectsState,
  query: PartQuery,
): PartVerdict | undefined {
  const { service, parts, nowMs } = query;
  if (state.blocks.size === 0 || parts.length === 0) return undefined;
  const verdicts = openBlocks(state)
    .filter(
      (block) =>
        block.service === service &&
        isCovered(parts, effectiveParts(state.sounds, block)),
    )
    .map((block): PartVerdict => {
      const endMs = endMsOf(block);
      return nowMs >= endMs
        ? { type: 'try', block, key: partsKey(block) }
        : { type: 'refuse', block, endMs };
    });
  return verdicts.find(({ type }) => type === 'refuse') ?? verdicts[0];
}

/**
 * Lists what this entry has to tell its peers.
 *
 * @param state - Current records.
 * @param options - Current time, and whether this entry tells all blocks, also
 * those of others, so that entries that start later learn them.
 * @returns Facts of this entry, the newest ones first; undefined if there are none.
 *
 * @example
 * partReport(state, { nowMs, includeAllBlocks: false });
 */
export function partReport(
  state: PartSuspectsState,
  options: { readonly nowMs: number; readonly includeAllBlocks: boolean },
): PartReport | undefined {
  if (!hasRecords(state)) return undefined;
  const sinceMs = options.nowMs - REPORTED_MS;
  const deaths = newest(
    [...state.deaths.values()].filter(
      (death) => death.isOwn && death.endedAtMs > sinceMs,
    ),
    (death) => death.endedAtMs,
  );
  const sounds = newest(
    [...state.sounds.values()].flatMap(({ service, part, ownAtMs }) =>
      ownAtMs !== undefined && ownAtMs > sinceMs
        ? [{ service, part, atMs: ownAtMs }]
        : [],
    ),
    (sound) => sound.atMs,
  );
  const blocks = newest(
    openBlocks(state).filter(
      (block) =>
        options.includeAllBlocks || (block.isOwn && block.sinceMs > sinceMs),
    ),
    (block) => block.sinceMs,
  );
  return deaths.length + sounds.length + blocks.length === 0
    ? undefined
    : { deaths, sounds, blocks };
}

function newest<T>(rows: readonly T[], atMs: (row: T) => number): readonly T[] {
  return rows.toSorted((a, b) => atMs(b) - atMs(a)).slice(0, MAX_REPORT_ROWS);
}

function tick(state: PartSuspectsState, atMs: number): PartStep {
  const pruned = pruneRecords(state, atMs, holdMsOf);
  const isOpen = [...pruned.deaths.values()].some(
    (death) => atMs - death.endedAtMs < ANSWERS_RECORDED_MS,
  );
  return isOpen ? establish(pruned, atMs) : { state: pruned, effects: [] };
}

function recordAnswer(
  state: PartSuspectsState,
  event: Extract<PartSuspectsEvent, { type: 'partSuspects.answered' }>,
): PartStep {
  const { atMs, service, parts, soundParts = parts } = event;
  const deaths = [...state.deaths.values()].filter(
    (death) => death.service === service,
  );
  const blocks = [...state.blocks.values()].filter(
    (block) => block.service === service,
  );
  const isRecorded = deaths.some(
    (death) => atMs - death.endedAtMs < ANSWERS_RECORDED_MS,
  );
  const answers = isRecorded
    ? new Map(state.answers).set(
        service,
        [...(state.answers.get(service) ?? []), { atMs, parts }].slice(
          -MAX_ANSWERS,
        ),
      )
    : state.answers;
  const accused = soundParts.filter((part) => {
    const sinceMs = soundAtMs(state.sounds, service, part);
    return (
      deaths.some(
        (one) => one.parts.includes(part) && one.sentAtMs > sinceMs,
      ) ||
      blocks.some((one) => one.parts.includes(part) && one.sinceMs >= sinceMs)
    );
  });
  if (!isRecorded && accused.length === 0) return { state, effects: [] };
  const onRecord = soundParts.filter(
    (part) =>
      accused.includes(part) || state.sounds.has(partKey(service, part)),
  );
  const sounds = onRecord.reduce(
    (known, part) =>
      withSound(
        known,
        { service, part, atMs },
        accused.includes(part) ? atMs : undefined,
      ),
    state.sounds,
  );
  const answeredState = { ...state, answers, sounds };
  const step = establish(answeredState, atMs);
  const cleared = clearEffects(state, answeredState);
  const report: readonly PartSuspectsEffect[] =
    accused.length === 0 ? [] : [{ type: 'partSuspects.reportDue' }];
  return {
    state: step.state,
    effects: [...report, ...cleared, ...step.effects],
  };
}

function mergeNews(
  state: PartSuspectsState,
  event: Extract<PartSuspectsEvent, { type: 'partSuspects.reportReceived' }>,
): PartStep {
  const withDeaths = event.deaths.reduce(
    (known, death) => withDeath(known, { ...death, isOwn: false }),
    state,
  );
  const sounds = event.sounds.reduce(
    (known, sound) => withSound(known, sound, undefined),
    withDeaths.sounds,
  );
  const withSounds = { ...withDeaths, sounds };
  const merged = event.blocks.reduce(
    (known, block) => withBlock(known, block, false),
    withSounds,
  );
  const step = establish(merged, event.atMs);
  const learned = blockEffects(state, merged, 'peer');
  const cleared = clearEffects(state, merged);
  return {
    state: step.state,
    effects: [...learned, ...cleared, ...step.effects],
  };
}

/** Adds the blocks that the records call for. */
function establish(state: PartSuspectsState, atMs: number): PartStep {
  const raised = raiseLevels(state);
  const services = new Set(
    [...raised.deaths.values()].map((death) => death.service),
  );
  const withFound = [...services]
    .flatMap((service) => findBlocks(raised, service, atMs))
    .reduce((known, block) => withBlock(known, block, true), raised);
  const next = findSpread(withFound).reduce(
    (known, block) => withBlock(known, block, true),
    withFound,
  );
  const changes = blockEffects(state, next, 'own');
  return {
    state: next,
    effects:
      changes.length === 0
        ? []
        : [{ type: 'partSuspects.reportDue' }, ...changes],
  };
}
