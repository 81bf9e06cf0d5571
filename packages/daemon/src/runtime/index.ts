import {
  initialRootState,
  reduce,
  type RootEffect,
  type RootEvent,
  type RootState,
} from '@endivegate/core';

type DistributiveOmit<T, K extends PropertyKey> = T extends unknown
  ? Omit<T, K>
  : never;

/** An event without the fields that the runtime stamps. */
export type UnstampedEvent = DistributiveOmit<RootEvent, 'atMs' | 'random'>;

/** The loop that owns the state: events in, effects out. */
export interface Runtime {
  /** Stamps and reduces an event, then runs its effects in order. */
  readonly dispatch: (event: UnstampedEvent) => void;
  readonly state: () => RootState;
  readonly nowMs: () => number;
}

/**
 * Runs one effect. It must not throw; outcomes return as events.
 */
export type EffectHandler = (effect: RootEffect, runtime: Runtime) => void;

/** Options of {@link createRuntime}. */
export interface CreateRuntimeOptions {
  /** Handlers by effect type prefix (the slice's name). */
  readonly handlers: Readonly<Record<string, EffectHandler>>;
  readonly nowMs?: () => number;
  readonly random?: () => number;
  /** Called for each event, raised ones included, in their order. */
  readonly onEvent?: (event: RootEvent) => void;
  /** Called when a handler throws; the loop goes on. */
  readonly onEffectError?: (slice: string, error: unknown) => void;
}

/**
 * Creates the loop that owns an entry's state.
 *
 * Events dispatched while another is being handled wait their turn, so that
 * effects of one event run before the next event is reduced.
 *
 * @param options - Handlers and the sources of time and randomness.
 * @returns The runtime.
 */
export function createRuntime(options: CreateRuntimeOptions): Runtime {
  const nowMs = options.nowMs ?? (() => performance.now());
  const random = options.random ?? Math.random;
  const queue: RootEvent[] = [];
  let state = initialRootState;
  let draining = false;

  const runtime: Runtime = {
    dispatch: (event) => {
      queue.push({ ...event, atMs: nowMs(), random: random() });
      drain();
    },
    state: () => state,
    nowMs,
  };

  function drain(): void {
    if (draining) return;
    draining = true;
    try {
      for (let event = queue.shift(); event; event = queue.shift()) {
        handle(event);
      }
    } finally {
      draining = false;
    }
  }

  function handle(event: RootEvent): void {
    options.onEvent?.(event);
    const step = reduce(state, event);
    state = step.state;
    step.effects.forEach((effect) => {
      if (effect.type === 'raise') {
        options.onEvent?.(effect.event);
        return;
      }
      const prefix = effect.type.slice(0, effect.type.indexOf('.'));
      runEffect(prefix, effect);
    });
  }

  function runEffect(slice: string, effect: RootEffect): void {
    try {
      options.handlers[slice]?.(effect, runtime);
    } catch (error) {
      options.onEffectError?.(slice, error);
    }
  }

  return runtime;
}
