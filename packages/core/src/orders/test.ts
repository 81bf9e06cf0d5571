import { expect } from 'chai';
import fc from 'fast-check';
import type {
  EngineAssignment,
  EntryAddress,
  Target,
  WantedModel,
} from '@endivegate/contracts';
import { describeOrders } from '../describeOrders/index.ts';
import type { SharedEvent } from '../events/index.ts';
import {
  LEASE_MARGIN_MS,
  ORDER_TIMEOUT_MS,
  ordersSlice,
  PLACING_LEASE_TTL_MS,
  SUCCESSOR_WAIT_MS,
  type OrdersEffect,
  type OrdersEvent,
  type OrdersState,
} from './index.ts';

const addressOf = (entryId: string): EntryAddress => ({
  entryId,
  incarnation: 1,
  region: 'r',
  dataCentre: 'd',
  host: '127.0.0.1',
  httpPort: 1,
  peerPort: 2,
});
const engineOf = (targetId: string): Target => ({
  targetId,
  targetKind: 'engine',
  url: 'http://127.0.0.1:1',
  region: 'r',
  dataCentre: 'd',
  serves: [],
  kvCapacityTokens: 1,
  checksFencing: false,
  hasKeyLookup: false,
  leaving: false,
});
const model: WantedModel = {
  model: 'm',
  version: '1',
  adapters: ['a'],
  mixedEngines: 1,
  longEngines: 0,
  shortEngines: 0,
};
const nothing: EngineAssignment = { models: [], role: 'mixed' };

type Input = OrdersEvent | SharedEvent;

function apply(state: OrdersState, inputs: readonly Input[]) {
  return inputs.reduce<{
    readonly state: OrdersState;
    readonly effects: readonly OrdersEffect[];
  }>(
    (done, input) => {
      const step = ordersSlice.reduce(done.state, input);
      const effects = step.effects.filter((effect) => effect.type !== 'raise');
      return { state: step.state, effects: [...done.effects, ...effects] };
    },
    { state, effects: [] },
  );
}

const at = (atMs: number) => ({ atMs, random: 0.5 });

function setUp(entryId: string, live: readonly string[] = [entryId]) {
  return apply(ordersSlice.initial, [
    { type: 'entry.started', self: addressOf(entryId), ...at(0) },
    {
      type: 'members.changed',
      live: live.map(addressOf),
      leaving: [],
      dead: [],
      ...at(0),
    },
    { type: 'table.installed', number: 1, rows: [], models: [model], ...at(0) },
    { type: 'targets.changed', targets: [engineOf('t1')], ...at(0) },
  ]).state;
}

const tick = (atMs: number): Input => ({ type: 'clock.ticked', ...at(atMs) });
const acquired = (atMs: number): Input => ({
  type: 'orders.leaseAcquired',
  model: 'm',
  leaseId: 'l1',
  fencingNumber: 5,
  askedAtMs: atMs,
  ...at(atMs),
});
const read = (assignment: EngineAssignment, atMs: number): Input => ({
  type: 'orders.assignmentRead',
  targetId: 't1',
  assignment,
  ...at(atMs),
});

describe('ordersSlice', () => {
  it('takes the lease, waits out its predecessor, reads, then orders', () => {
    const { effects, state } = apply(setUp('e1'), [
      tick(0),
      acquired(10),
      tick(20),
      tick(10 + SUCCESSOR_WAIT_MS),
      read(nothing, 4_100),
      tick(4_200),
    ]);
    expect({ effects, orders: describeOrders(state) }).toMatchSnapshot();
  });

  it('gives no order near the end of a lease that is not renewed', () => {
    const { effects } = apply(setUp('e1'), [
      tick(0),
      acquired(0),
      tick(PLACING_LEASE_TTL_MS - ORDER_TIMEOUT_MS - 1_000),
      read(nothing, PLACING_LEASE_TTL_MS - 2_900),
      tick(PLACING_LEASE_TTL_MS - 2_800),
    ]);
    expect(effects.some(({ type }) => type === 'orders.send')).to.equal(false);
  });

  it('reads back after a lost reply and corrects only what differs', () => {
    const begun = apply(setUp('e1'), [
      tick(0),
      acquired(0),
      tick(4_100),
      read(nothing, 4_200),
      tick(4_300),
      {
        type: 'orders.orderEnded',
        targetId: 't1',
        model: 'm',
        outcome: 'unknown',
        ...at(6_300),
      },
      {
        type: 'orders.leaseRenewed',
        model: 'm',
        leaseId: 'l1',
        askedAtMs: 14_000,
        ...at(14_000),
      },
    ]);
    const again = apply(begun.state, [tick(14_300)]);
    const wanted: EngineAssignment = {
      models: [{ model: 'm', version: '1', adapters: ['a'] }],
      role: 'mixed',
    };
    const settled = apply(again.state, [read(wanted, 14_400), tick(14_500)]);
    expect(again.effects).toMatchSnapshot();
    expect(settled.effects).to.deep.equal([]);
  });

  it('gives its lease back when an engine refuses an old number', () => {
    const { effects, state } = apply(setUp('e1'), [
      tick(0),
      acquired(0),
      {
        type: 'orders.orderEnded',
        targetId: 't1',
        model: 'm',
        outcome: 'refused',
        ...at(5_000),
      },
    ]);
    expect(effects.at(-1)).to.deep.equal({
      type: 'orders.release',
      leaseId: 'l1',
    });
    expect(state.placings.get('m')?.lease).to.equal(undefined);
  });

  it('gives its leases back when it leaves', () => {
    const { effects } = apply(setUp('e1'), [
      tick(0),
      acquired(0),
      { type: 'leaving.requested', ...at(100) },
      tick(200),
    ]);
    expect(effects.at(-1)).to.deep.equal({
      type: 'orders.release',
      leaseId: 'l1',
    });
  });

  it('never lets an engine that ignores numbers take an old order after a new one', () => {
    fc.assert(
      fc.property(
        fc.array(
          fc.record({
            entry: fc.constantFrom('e1', 'e2'),
            kind: fc.constantFrom('paused', 'cutOff'),
            atMs: fc.nat(40_000),
            lengthMs: fc.integer({ min: 5_000, max: 40_000 }),
          }),
          { minLength: 1, maxLength: 4 },
        ),
        fc.array(fc.integer({ min: 0, max: LONGEST_DELAY_MS }), {
          minLength: 40,
          maxLength: 40,
        }),
        (troubles, delaysMs) => {
          const numbers = runPlacers(troubles, delaysMs);
          expect(numbers).to.deep.equal(numbers.toSorted((a, b) => a - b));
        },
      ),
      { seed: 1, numRuns: 120 },
    );
  });
});

/** An order's time-out, after a pause between the last check and the send. */
const LONGEST_DELAY_MS =
  ORDER_TIMEOUT_MS + LEASE_MARGIN_MS + SUCCESSOR_WAIT_MS - 200;

/** Time between two changes of what the table wants of the engine. */
const TABLE_CHANGE_MS = 1_500;

/** Time between two ticks of the model. */
const TICK_MS = 250;

interface Trouble {
  readonly entry: string;
  /** The process stands still, or it does not reach the store. */
  readonly kind: 'paused' | 'cutOff';
  readonly atMs: number;
  readonly lengthMs: number;
}

/**
 * Two entries that pause at any time, one lease, a table that keeps changing,
 * and one engine that ignores fencing numbers.
 *
 * @param troubles - What happens to which entry, and when.
 * @param delaysMs - Time from the last check of each order to its effect.
 * @returns Fencing numbers in the order in which the engine took them.
 */
function runPlacers(
  troubles: readonly Trouble[],
  delaysMs: readonly number[],
): readonly number[] {
  const states = new Map(
    ['e1', 'e2'].map((id) => [id, setUp(id, [id])] as const),
  );
  const taken: { readonly atMs: number; readonly number: number }[] = [];
  let lease: { holder: string; id: string; endsAtMs: number } | undefined;
  let fencingNumber = 0;
  let orders = 0;
  for (let nowMs = 0; nowMs < 60_000; nowMs += TICK_MS) {
    if (lease !== undefined && nowMs >= lease.endsAtMs) lease = undefined;
    for (const [entry, state] of states) {
      if (isIn('paused', entry, nowMs)) continue;
      const step = apply(state, [wantedAt(nowMs), tick(nowMs)]);
      const replies = step.effects.flatMap((effect) =>
        answer(entry, effect, nowMs),
      );
      states.set(entry, apply(step.state, replies).state);
    }
  }
  return taken.toSorted((a, b) => a.atMs - b.atMs).map(({ number }) => number);

  function wantedAt(nowMs: number): Input {
    const version = String(Math.floor(nowMs / TABLE_CHANGE_MS));
    const models = [{ ...model, version }];
    return {
      type: 'table.installed',
      number: 1,
      rows: [],
      models,
      ...at(nowMs),
    };
  }

  function isIn(kind: Trouble['kind'], entry: string, nowMs: number): boolean {
    return troubles.some(
      (trouble) =>
        trouble.kind === kind &&
        trouble.entry === entry &&
        nowMs >= trouble.atMs &&
        nowMs < trouble.atMs + trouble.lengthMs,
    );
  }

  function answer(
    entry: string,
    effect: OrdersEffect,
    nowMs: number,
  ): readonly Input[] {
    switch (effect.type) {
      case 'orders.acquire': {
        if (lease !== undefined || isIn('cutOff', entry, nowMs)) {
          return [
            { type: 'orders.leaseNotAcquired', model: 'm', ...at(nowMs) },
          ];
        }
        fencingNumber += 1;
        const id = `l${fencingNumber}`;
        lease = { holder: entry, id, endsAtMs: nowMs + PLACING_LEASE_TTL_MS };
        return [
          {
            type: 'orders.leaseAcquired',
            model: 'm',
            leaseId: id,
            fencingNumber,
            askedAtMs: nowMs,
            ...at(nowMs),
          },
        ];
      }
      case 'orders.renew': {
        const { leaseId } = effect;
        const isCutOff = isIn('cutOff', entry, nowMs);
        if (isCutOff || lease?.id !== leaseId) {
          const isLapsed = !isCutOff;
          return [
            {
              type: 'orders.leaseNotRenewed',
              model: 'm',
              leaseId,
              isLapsed,
              ...at(nowMs),
            },
          ];
        }
        lease.endsAtMs = nowMs + PLACING_LEASE_TTL_MS;
        return [
          {
            type: 'orders.leaseRenewed',
            model: 'm',
            leaseId,
            askedAtMs: nowMs,
            ...at(nowMs),
          },
        ];
      }
      case 'orders.readBack':
        return [read(nothing, nowMs)];
      case 'orders.send': {
        const delayMs = delaysMs[orders % delaysMs.length] ?? 0;
        orders += 1;
        taken.push({
          atMs: nowMs + delayMs,
          number: effect.order.fencingNumber,
        });
        return [
          {
            type: 'orders.orderEnded',
            targetId: 't1',
            model: 'm',
            outcome: 'unknown',
            ...at(nowMs),
          },
        ];
      }
      case 'orders.release':
        return [];
    }
  }
}
