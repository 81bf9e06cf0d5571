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
  TAKEOVER_DELAY_MS,
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
const emptyAssignment: EngineAssignment = { models: [], role: 'mixed' };

type InputEvent = OrdersEvent | SharedEvent;

function applyEvents(state: OrdersState, inputs: readonly InputEvent[]) {
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
  return applyEvents(ordersSlice.initial, [
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

const tick = (atMs: number): InputEvent => ({
  type: 'clock.ticked',
  ...at(atMs),
});
const leaseAcquired = (atMs: number): InputEvent => ({
  type: 'orders.leaseAcquired',
  model: 'm',
  leaseId: 'l1',
  fencingNumber: 5,
  askedAtMs: atMs,
  ...at(atMs),
});
const assignmentRead = (
  assignment: EngineAssignment,
  atMs: number,
): InputEvent => ({
  type: 'orders.assignmentRead',
  targetId: 't1',
  assignment,
  ...at(atMs),
});

describe('ordersSlice', () => {
  it('acquires the lease, waits for the previous holder, reads back, then orders', () => {
    const { effects, state } = applyEvents(setUp('e1'), [
      tick(0),
      leaseAcquired(10),
      tick(20),
      tick(10 + TAKEOVER_DELAY_MS),
      assignmentRead(emptyAssignment, 4_100),
      tick(4_200),
    ]);
    expect({ effects, orders: describeOrders(state) }).toMatchSnapshot();
  });

  it('sends no order near the expiry of a lease that is not renewed', () => {
    const { effects } = applyEvents(setUp('e1'), [
      tick(0),
      leaseAcquired(0),
      tick(PLACING_LEASE_TTL_MS - ORDER_TIMEOUT_MS - 1_000),
      assignmentRead(emptyAssignment, PLACING_LEASE_TTL_MS - 2_900),
      tick(PLACING_LEASE_TTL_MS - 2_800),
    ]);
    expect(effects.some(({ type }) => type === 'orders.send')).to.equal(false);
  });

  it('reads back after a lost reply and orders again only if the engine differs', () => {
    const ordered = applyEvents(setUp('e1'), [
      tick(0),
      leaseAcquired(0),
      tick(4_100),
      assignmentRead(emptyAssignment, 4_200),
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
    const readBackDue = applyEvents(ordered.state, [tick(14_300)]);
    const wanted: EngineAssignment = {
      models: [{ model: 'm', version: '1', adapters: ['a'] }],
      role: 'mixed',
    };
    const afterReadBack = applyEvents(readBackDue.state, [
      assignmentRead(wanted, 14_400),
      tick(14_500),
    ]);
    expect(readBackDue.effects).toMatchSnapshot();
    expect(afterReadBack.effects).to.deep.equal([]);
  });

  it('releases its lease when an engine refuses an outdated fencing number', () => {
    const { effects, state } = applyEvents(setUp('e1'), [
      tick(0),
      leaseAcquired(0),
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
    expect(state.placers.get('m')?.lease).to.equal(undefined);
  });

  it('releases its leases when the entry is leaving', () => {
    const { effects } = applyEvents(setUp('e1'), [
      tick(0),
      leaseAcquired(0),
      { type: 'leaving.requested', ...at(100) },
      tick(200),
    ]);
    expect(effects.at(-1)).to.deep.equal({
      type: 'orders.release',
      leaseId: 'l1',
    });
  });

  it('never sends an engine that ignores fencing numbers an older order after a newer one', () => {
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
        fc.array(fc.integer({ min: 0, max: MAX_ORDER_DELAY_MS }), {
          minLength: 40,
          maxLength: 40,
        }),
        (faults, delaysMs) => {
          const numbers = simulatePlacers(faults, delaysMs);
          expect(numbers).to.deep.equal(numbers.toSorted((a, b) => a - b));
        },
      ),
      { seed: 1, numRuns: 120 },
    );
  });
});

/**
 * Maximum time from the last check of an order to its effect on the engine: a
 * pause between check and send, plus the order timeout.
 */
const MAX_ORDER_DELAY_MS =
  ORDER_TIMEOUT_MS + LEASE_MARGIN_MS + TAKEOVER_DELAY_MS - 200;

/** Interval between changes of the wanted version in the table. */
const TABLE_CHANGE_PERIOD_MS = 1_500;

/** Interval between simulated clock ticks. */
const TICK_MS = 250;

interface Fault {
  readonly entry: string;
  /** `paused`: the process is suspended. `cutOff`: it cannot reach the store. */
  readonly kind: 'paused' | 'cutOff';
  readonly atMs: number;
  readonly lengthMs: number;
}

/**
 * Simulates two entries that are paused or cut off from the store, one lease, a
 * table that keeps changing, and one engine that ignores fencing numbers.
 *
 * @param faults - Faults by entry and time.
 * @param delaysMs - Time from the last check of each order to its effect.
 * @returns Fencing numbers in the order in which the engine applied them.
 */
function simulatePlacers(
  faults: readonly Fault[],
  delaysMs: readonly number[],
): readonly number[] {
  const states = new Map(
    ['e1', 'e2'].map((id) => [id, setUp(id, [id])] as const),
  );
  const received: { readonly atMs: number; readonly number: number }[] = [];
  let lease: { holder: string; id: string; endsAtMs: number } | undefined;
  let fencingNumber = 0;
  let orderCount = 0;
  for (let nowMs = 0; nowMs < 60_000; nowMs += TICK_MS) {
    if (lease !== undefined && nowMs >= lease.endsAtMs) lease = undefined;
    for (const [entry, state] of states) {
      if (isAffected('paused', entry, nowMs)) continue;
      const step = applyEvents(state, [tableAt(nowMs), tick(nowMs)]);
      const replies = step.effects.flatMap((effect) =>
        simulateReply(entry, effect, nowMs),
      );
      states.set(entry, applyEvents(step.state, replies).state);
    }
  }
  return received
    .toSorted((a, b) => a.atMs - b.atMs)
    .map(({ number }) => number);

  function tableAt(nowMs: number): InputEvent {
    const version = String(Math.floor(nowMs / TABLE_CHANGE_PERIOD_MS));
    const models = [{ ...model, version }];
    return {
      type: 'table.installed',
      number: 1,
      rows: [],
      models,
      ...at(nowMs),
    };
  }

  function isAffected(
    kind: Fault['kind'],
    entry: string,
    nowMs: number,
  ): boolean {
    return faults.some(
      (fault) =>
        fault.kind === kind &&
        fault.entry === entry &&
        nowMs >= fault.atMs &&
        nowMs < fault.atMs + fault.lengthMs,
    );
  }

  function simulateReply(
    entry: string,
    effect: OrdersEffect,
    nowMs: number,
  ): readonly InputEvent[] {
    switch (effect.type) {
      case 'orders.acquire': {
        if (lease !== undefined || isAffected('cutOff', entry, nowMs)) {
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
        const isCutOff = isAffected('cutOff', entry, nowMs);
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
        return [assignmentRead(emptyAssignment, nowMs)];
      case 'orders.send': {
        const delayMs = delaysMs[orderCount % delaysMs.length] ?? 0;
        orderCount += 1;
        received.push({
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
