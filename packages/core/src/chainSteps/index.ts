import type { Step } from '../step/index.ts';

/**
 * Runs steps in sequence, each on the state that the previous one returned.
 *
 * @param state - State to start from.
 * @param steps - Functions from a state to the next state and its effects.
 * @returns The final state and the effects of all steps, in order.
 *
 * @example
 * chainSteps(state, [expireSuspicions, startProbe]);
 */
export function chainSteps<State, Effect>(
  state: State,
  steps: readonly ((state: State) => Step<State, Effect>)[],
): Step<State, Effect> {
  return steps.reduce<Step<State, Effect>>(
    (combined, step) => {
      const next = step(combined.state);
      if (next.effects.length === 0) {
        return { state: next.state, effects: combined.effects };
      }
      return {
        state: next.state,
        effects: [...combined.effects, ...next.effects],
      };
    },
    { state, effects: [] },
  );
}
