import type {
  EngineAssignment,
  Target,
  WantedModel,
} from '@endivegate/contracts';
import { scoreRendezvous } from '../scoreRendezvous/index.ts';

/** The assignment planned for one engine. */
export interface PlannedEngine {
  readonly targetId: string;
  readonly model: string;
  readonly wanted: EngineAssignment;
}

/**
 * Plans which engine serves which model, and in which role.
 *
 * All placing entries that read the same table and engine list compute the same
 * plan, and each sends orders only to the engines of its own model. Engines that
 * already serve a model keep it as long as the model needs them; missing engines
 * are chosen by rendezvous hashing. Engines that no model needs are not changed.
 *
 * @param models - Models and the engine counts that the table requests for them.
 * @param engines - Engines that are not leaving.
 * @returns One assignment for each engine that a model needs.
 *
 * @example
 * planEngines(models, engines).filter(({ model }) => model === 'small');
 */
export function planEngines(
  models: readonly WantedModel[],
  engines: readonly Target[],
): readonly PlannedEngine[] {
  const byName = models.toSorted((a, b) => (a.model < b.model ? -1 : 1));
  const kept = byName.map((model) =>
    selectCurrentEngines(model, engines, byName),
  );
  const keptIds = new Set(kept.flat().map(({ targetId }) => targetId));
  const free = engines.filter(({ targetId }) => !keptIds.has(targetId));
  return byName.reduce<{
    readonly plans: readonly PlannedEngine[];
    readonly free: readonly Target[];
  }>(
    (planned, model, index) => {
      const own = kept[index] ?? [];
      const missing = engineCountOf(model) - own.length;
      const ranked = rankEngines(model, planned.free);
      const added = ranked.slice(0, Math.max(0, missing));
      return {
        plans: [...planned.plans, ...assignRoles(model, [...own, ...added])],
        free: planned.free.filter((engine) => !added.includes(engine)),
      };
    },
    { plans: [], free },
  ).plans;
}

/** Returns the engines that already serve a model, up to the number it needs. */
function selectCurrentEngines(
  model: WantedModel,
  engines: readonly Target[],
  models: readonly WantedModel[],
): readonly Target[] {
  const servedModelOf = (engine: Target): WantedModel | undefined =>
    models.find(({ model: name }) => engine.serves.includes(name));
  const own = engines.filter((engine) => servedModelOf(engine) === model);
  return rankEngines(model, own).slice(0, engineCountOf(model));
}

function rankEngines(
  { model }: WantedModel,
  engines: readonly Target[],
): readonly Target[] {
  return engines
    .map((engine) => ({
      engine,
      score: scoreRendezvous(model, engine.targetId),
    }))
    .sort((a, b) => b.score - a.score)
    .map(({ engine }) => engine);
}

function assignRoles(
  model: WantedModel,
  engines: readonly Target[],
): readonly PlannedEngine[] {
  const { longEngines, shortEngines } = model;
  return rankEngines(model, engines).map(({ targetId }, index) => ({
    targetId,
    model: model.model,
    wanted: {
      models: [
        {
          model: model.model,
          version: model.version,
          adapters: model.adapters,
        },
      ],
      role:
        index < longEngines
          ? 'long'
          : index < longEngines + shortEngines
            ? 'short'
            : 'mixed',
    },
  }));
}

function engineCountOf(model: WantedModel): number {
  return model.longEngines + model.shortEngines + model.mixedEngines;
}
