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

/** An event without the fields that the runtime adds. */
export type UnstampedEvent = DistributiveOmit<RootEvent, 'atMs' | 'random'>;

/** The event loop that owns the state, reduces events and runs effects. */
export interface Runtime {
  /** Adds time and randomness to an event, reduces it and runs its effects. */
  readonly dispatch: (event: UnstampedEvent) => void;
  readonly state: () => RootState;
  readonly nowMs: () => number;
}

/**
 * Runs one effect. A handler must not throw; it dispatches outcomes as events.
 */
export type EffectHandler = (effect: RootEffect, runtime: Runtime) => void;

/** Options of {@link createRuntime}. */
export interface CreateRuntimeOptions {
  /** Handlers by the prefix of the effect type, which is the slice's name. */
  readonly handlers: Readonly<Record<string, EffectHandler>>;
  readonly nowMs?: () => number;
  readonly random?: () => number;
  /** Called for each event in order, including events raised by slices. */
  readonly onEvent?: (event: RootEvent) => void;
  /** Called when a handler throws; the loop continues. */
  readonly onEffectError?: (slice: string, error: unknown) => void;
}

/**
 * Creates the event loop that owns an entry's state.
 *
 * Events dispatched while another event is processed are queued, so that the
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
  let isProcessing = false;

  const runtime: Runtime = {
    dispatch: (event) => {
      queue.push({ ...event, atMs: nowMs(), random: random() });
      processQueue();
    },
    state: () => state,
    nowMs,
  };

  function processQueue(): void {
    if (isProcessing) return;
    isProcessing = true;
    try {
      for (let event = queue.shift(); event; event = queue.shift()) {
        processEvent(event);
      }
    } finally {
      isProcessing = false;
    }
  }

  function processEvent(event: RootEvent): void {
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
