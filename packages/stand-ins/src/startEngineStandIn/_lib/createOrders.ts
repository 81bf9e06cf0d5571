import type {
  EngineAssignment,
  EngineOrder,
  TargetError,
} from '@endivegate/contracts';
import * as E from 'fp-ts/lib/Either.js';

/** Orders accepted by an engine, and the resulting assignment. */
export interface Orders {
  readonly accept: (order: EngineOrder) => E.Either<TargetError, void>;
  readonly assignment: () => EngineAssignment;
  readonly serves: (model: string) => boolean;
  readonly taken: () => readonly EngineOrder[];
}

/** Options of {@link createOrders}. */
export interface CreateOrdersOptions {
  readonly models: readonly string[];
  /** Whether an order with an old fencing number is refused. */
  readonly checksFencing: boolean;
  /** Time to load a model that is not loaded yet. */
  readonly loadModelMs: number;
  readonly schedule: (run: () => void, delayMs: number) => void;
}

/**
 * Creates the order handling of an engine stand-in.
 *
 * @param options - Initial models, fencing check and model load time.
 * @returns The orders, initially none.
 */
export function createOrders(options: CreateOrdersOptions): Orders {
  let highestFencingNumber = -1;
  let taken: readonly EngineOrder[] = [];
  let current: EngineAssignment = {
    models: options.models.map((model) => ({
      model,
      version: '1',
      adapters: [],
    })),
    role: 'mixed',
  };

  function isLoaded(wanted: EngineAssignment): boolean {
    const loaded = new Set(current.models.map(modelKey));
    return wanted.models.every((model) => loaded.has(modelKey(model)));
  }

  return {
    accept: (order) => {
      if (options.checksFencing && order.fencingNumber < highestFencingNumber) {
        return E.left({
          type: 'refused',
          reason: `fencing number ${order.fencingNumber} is older than ${highestFencingNumber}`,
          retryAfterMs: undefined,
        });
      }
      highestFencingNumber = Math.max(
        highestFencingNumber,
        order.fencingNumber,
      );
      taken = [...taken, order];
      options.schedule(
        () => {
          if (taken.at(-1) === order) current = order.wanted;
        },
        isLoaded(order.wanted) ? 0 : options.loadModelMs,
      );
      return E.right(undefined);
    },
    assignment: () => current,
    serves: (model) => current.models.some((one) => one.model === model),
    taken: () => taken,
  };
}

function modelKey(model: EngineAssignment['models'][number]): string {
  return JSON.stringify(model);
}
