import type { EngineAssignment, OrdersBody } from '@endivegate/contracts';
import { isSameAssignment, type OrdersState } from '../orders/index.ts';

/**
 * Describes the wanted and the last read assignments for operators.
 *
 * Engines whose model has another placing entry are reported as `unknown`.
 *
 * @param state - State of the orders slice.
 * @returns The wanted models and the planned engines.
 *
 * @example
 * describeOrders(runtime.state().orders);
 */
export function describeOrders(state: OrdersState): OrdersBody {
  const engines = state.plan.map(({ targetId, wanted }) => {
    const engine = state.ordered.get(targetId);
    return {
      targetId,
      wanted: copyAssignment(wanted),
      ...(engine?.seen === undefined
        ? {}
        : { seen: copyAssignment(engine.seen) }),
      state: engineStateOf(state, targetId),
    };
  });
  return {
    models: state.models.map((model) => describeModel(state, model)),
    engines,
  };
}

type Assignment = NonNullable<OrdersBody['engines'][number]['seen']>;

function copyAssignment({ models, role }: EngineAssignment): Assignment {
  const copies = models.map((served) => ({
    ...served,
    adapters: [...served.adapters],
  }));
  return { models: copies, role };
}

function describeModel(
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

function engineStateOf(
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
