import type { Slice } from '../slice/index.ts';
import { unchanged } from '../step/index.ts';

/** What the entry knows of requests that were in flight at crashes. */
export type SuspectsState = Readonly<Record<string, never>>;

/** Lets requests in that are not suspected of crashing targets. */
export const suspectsSlice: Slice<SuspectsState, never, never> = {
  initial: {},
  reduce: (state, event) => {
    if (event.type !== 'request.received') return unchanged(state);
    return {
      state,
      effects: [
        { type: 'raise', event: { ...event, type: 'request.arrived' } },
      ],
    };
  },
};
