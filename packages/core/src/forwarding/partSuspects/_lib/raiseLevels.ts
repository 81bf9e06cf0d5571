import type { PartSuspectsState } from '../types.ts';
import { tellable } from './blockChanges.ts';
import { effectiveParts, isCovered, openBlocks } from './effectiveParts.ts';
import { holdMsOf } from './holds.ts';
import { withBlock } from './merge.ts';

/** Adds a block of a higher level for each death under a request that was sent as
 * a trial. */
export function raiseLevels(state: PartSuspectsState): PartSuspectsState {
  return openBlocks(state)
    .flatMap((block) => {
      const parts = effectiveParts(state.sounds, block);
      const trialAtMs = block.sinceMs + holdMsOf(block);
      return [...state.deaths.values()]
        .filter(
          (death) =>
            death.service === block.service &&
            death.sentAtMs >= trialAtMs &&
            isCovered(death.parts, parts),
        )
        .map((death) => ({
          ...tellable(block),
          cause: death.process,
          level: block.level + 1,
          sinceMs: death.endedAtMs,
        }));
    })
    .reduce((known, block) => withBlock(known, block, true), state);
}
