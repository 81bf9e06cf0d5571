import type { EngineAssignment, OrdersBody } from '@endivegate/contracts';
import { isSameAssignment, type OrdersState } from '../orders/index.ts';

/**
 * Describes wanted and seen assignments for operators.
 *
 * Engines of models that another entry places are `unknown` here.
 *
 * @param state - State of the orders slice.
 * @returns Models and planned engines.
 *
 * @example
 * describeOrders(runtime.state().orders);
 */
export function describeOrders(state: OrdersState): OrdersBody {
  const engines = state.plan.map(({ targetId, wanted }) => {
    const engine = state.ordered.get(targetId);
    return {
      targetId,
      wanted: copyOf(wanted),
      ...(engine?.seen === undefined ? {} : { seen: copyOf(engine.seen) }),
      state: engineState(state, targetId),
    };
  });
  return {
    models: state.models.map((model) => modelOf(state, model)),
    engines,
  };
}

type Assignment = NonNullable<OrdersBody['engines'][number]['seen']>;

function copyOf({ models, role }: EngineAssignment): Assignment {
  const copies = models.map((served) => ({
    ...served,
    adapters: [...served.adapters],
  }));
  return { models: copies, role };
}

function modelOf(
  state: OrdersState,
  wanted: OrdersState['models'][number],
): OrdersBody['models'][number] {
  const { model, version } = wanted;
  const lease = state.placers.get(model)?.lease;
  const serving = state.engines.filter(({ serves }) => serves.includes(model));
  return {
    model,
    version,
    wantedEngines:
      wanted.longEngines + wanted.shortEngines + wanted.mixedEngines,
    servingEngines: serving.length,
    ...(lease === undefined
      ? {}
      : { placer: state.selfId, fencingNumber: lease.fencingNumber }),
  };
}

function engineState(
  state: OrdersState,
  targetId: string,
): OrdersBody['engines'][number]['state'] {
  const engine = state.ordered.get(targetId);
  const planned = state.plan.find((plan) => plan.targetId === targetId);
  if (engine === undefined || planned === undefined) return 'unknown';
  if (
    engine.seen !== undefined &&
    isSameAssignment(engine.seen, planned.wanted)
  ) {
    return 'settled';
  }
  return engine.orderedAtMs === undefined ? 'waiting' : 'ordered';
}
