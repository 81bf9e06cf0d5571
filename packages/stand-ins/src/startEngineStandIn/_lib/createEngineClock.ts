import type {
  EngineModel,
  ModelOutput,
} from '../../createEngineModel/index.ts';

/** Advances an engine model with the wall clock. */
export interface EngineClock {
  /** Current time of the model. */
  readonly nowMs: () => number;
  /** Sets the timer for the model's next change; needed after each call to it. */
  readonly reschedule: () => void;
  readonly stop: () => void;
}

/** Options of {@link createEngineClock}. */
export interface CreateEngineClockOptions {
  readonly model: EngineModel;
  /** Ratio of model time to wall time. */
  readonly timeScale: number;
  readonly onOutputs: (outputs: readonly ModelOutput[]) => void;
}

/**
 * Creates the clock of an engine stand-in.
 *
 * @param options - The model, its time scale and a callback for its outputs.
 * @returns The clock.
 */
export function createEngineClock(
  options: CreateEngineClockOptions,
): EngineClock {
  const { model, timeScale, onOutputs } = options;
  const startedAtMs = performance.now();
  let timer: NodeJS.Timeout | undefined;
  const nowMs = (): number => (performance.now() - startedAtMs) * timeScale;

  function reschedule(): void {
    clearTimeout(timer);
    const nextAtMs = model.nextChangeAtMs();
    if (nextAtMs === undefined || !Number.isFinite(nextAtMs)) return;
    timer = setTimeout(run, Math.max(0, (nextAtMs - nowMs()) / timeScale));
  }

  function run(): void {
    onOutputs(model.advance(nowMs()));
    reschedule();
  }

  return {
    nowMs,
    reschedule,
    stop: () => {
      clearTimeout(timer);
    },
  };
}
