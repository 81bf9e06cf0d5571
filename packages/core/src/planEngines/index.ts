import type {
  EngineAssignment,
  Target,
  WantedModel,
} from '@endivegate/contracts';
import { scoreRendezvous } from '../scoreRendezvous/index.ts';

/** What one engine is wanted to serve, and for which model. */
export interface PlannedEngine {
  readonly targetId: string;
  readonly model: string;
  readonly wanted: EngineAssignment;
}

/**
 * Plans which engine serves which model in which role.
 *
 * Every placing entry that reads the same table and engine list makes the same
 * plan, and orders only the engines of its own model. Engines that serve a
 * model already keep it while it wants them; the rest is filled by rendezvous
 * hashing. Engines that no model wants are left as they are.
 *
 * @param models - Models as the table wants them.
 * @param engines - Engines that are not leaving.
 * @returns One plan for each engine that a model wants.
 *
 * @example
 * planEngines(models, engines).filter(({ model }) => model === 'small');
 */
export function planEngines(
  models: readonly WantedModel[],
  engines: readonly Target[],
): readonly PlannedEngine[] {
  const ordered = models.toSorted((a, b) => (a.model < b.model ? -1 : 1));
  const kept = ordered.map((model) => keepEngines(model, engines, ordered));
  const taken = new Set(kept.flat().map(({ targetId }) => targetId));
  const free = engines.filter(({ targetId }) => !taken.has(targetId));
  return ordered.reduce<{
    readonly plans: readonly PlannedEngine[];
    readonly free: readonly Target[];
  }>(
    (done, model, index) => {
      const own = kept[index] ?? [];
      const missing = countOf(model) - own.length;
      const ranked = rankEngines(model, done.free);
      const chosen = ranked.slice(0, Math.max(0, missing));
      return {
        plans: [...done.plans, ...assignRoles(model, [...own, ...chosen])],
        free: done.free.filter((engine) => !chosen.includes(engine)),
      };
    },
    { plans: [], free },
  ).plans;
}

/** Engines that serve a model already, up to the number it wants. */
function keepEngines(
  model: WantedModel,
  engines: readonly Target[],
  models: readonly WantedModel[],
): readonly Target[] {
  const owners = (engine: Target): WantedModel | undefined =>
    models.find(({ model: name }) => engine.serves.includes(name));
  const own = engines.filter((engine) => owners(engine) === model);
  return rankEngines(model, own).slice(0, countOf(model));
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

function countOf(model: WantedModel): number {
  return model.longEngines + model.shortEngines + model.mixedEngines;
}
