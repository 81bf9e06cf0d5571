import type {
  EngineModel,
  ModelOutput,
} from '../../createEngineModel/index.ts';

/** Drives an engine model by the wall clock. */
export interface EngineClock {
  /** The present of the model. */
  readonly nowMs: () => number;
  /** Sets the timer for the model's next change, after a call to it. */
  readonly reschedule: () => void;
  readonly stop: () => void;
}

/** Options of {@link createEngineClock}. */
export interface CreateEngineClockOptions {
  readonly model: EngineModel;
  /** Model time that passes in one unit of wall time. */
  readonly timeScale: number;
  readonly onOutputs: (outputs: readonly ModelOutput[]) => void;
}

/**
 * Creates the clock of an engine stand-in.
 *
 * @param options - The model, its speed, and what hears of its outputs.
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
