import type { Step } from '../step/index.ts';

/**
 * Runs steps one after another, each on the state the one before it left.
 *
 * @param state - State to start from.
 * @param steps - Functions from a state to a step.
 * @returns The last state and the effects of all steps, in order.
 *
 * @example
 * chainSteps(state, [expireSuspicions, startProbe]);
 */
export function chainSteps<State, Effect>(
  state: State,
  steps: readonly ((state: State) => Step<State, Effect>)[],
): Step<State, Effect> {
  return steps.reduce<Step<State, Effect>>(
    (done, step) => {
      const next = step(done.state);
      if (next.effects.length === 0) {
        return { state: next.state, effects: done.effects };
      }
      return {
        state: next.state,
        effects: [...done.effects, ...next.effects],
      };
    },
    { state, effects: [] },
  );
}
