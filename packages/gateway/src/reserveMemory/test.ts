import { expect } from 'chai';
import type {
  PlannedReservation,
  RosterTarget,
} from '@endivegate/core/forwarding';
import * as E from 'fp-ts/lib/Either.js';
import type { EventLog } from '../createEventLog/index.ts';
import type { OrderError, OrderPort } from '../orderPort/index.ts';
import { reserveMemory } from './index.ts';

const silent: EventLog = {
  info: () => undefined,
  warn: () => undefined,
  droppedLines: () => 0,
  flush: (done) => {
    done();
  },
};

const reservation = (id: string): PlannedReservation => ({
  target: { id, address: id } as RosterTarget,
  tokens: 100,
});

/** Creates an order client that tracks reservations and fails as configured. */
function createOrders(failures: Readonly<Record<string, OrderError>> = {}) {
  const held = new Set<string>();
  const orders: OrderPort = {
    reserve: (target) => () => {
      const failure = failures[target.id];
      if (failure?.type === 'noRoom') return Promise.resolve(E.left(failure));
      held.add(target.id);
      return Promise.resolve(
        failure === undefined ? E.right(undefined) : E.left(failure),
      );
    },
    isInUse: (target) => () => Promise.resolve(E.right(held.has(target.id))),
    release: (target) => () => {
      held.delete(target.id);
      return Promise.resolve(E.right(undefined));
    },
  };
  return { orders, held };
}

const settle = () => new Promise((resolve) => setImmediate(resolve));

const optionsOf = (orders: OrderPort) => ({
  orders,
  log: silent,
  requestId: 'r',
  reservationId: 'r/1',
});

describe('reserveMemory', () => {
  it('reserves memory at all targets and releases all of it', async () => {
    const { orders, held } = createOrders();
    const result = await new Promise<
      Parameters<Parameters<typeof reserveMemory>[2]>[0]
    >((resolve) => {
      reserveMemory(
        [reservation('a'), reservation('b')],
        optionsOf(orders),
        resolve,
      );
    });
    expect([...held]).to.deep.equal(['a', 'b']);
    if (E.isRight(result)) result.right.release();
    await settle();
    expect(held.size).to.equal(0);
  });

  it('releases the other reservations when one target has no room', async () => {
    const { orders, held } = createOrders({ b: { type: 'noRoom' } });
    const result = await new Promise<E.Either<OrderError, unknown>>(
      (resolve) => {
        reserveMemory(
          [reservation('a'), reservation('b')],
          optionsOf(orders),
          resolve,
        );
      },
    );
    await settle();
    expect(E.isLeft(result)).to.equal(true);
    expect(held.size).to.equal(0);
  });

  it('releases a reservation that was made but not answered', async () => {
    const lost: OrderError = { type: 'unanswered', reason: 'timed out' };
    const { orders, held } = createOrders({ a: lost });
    await new Promise((resolve) => {
      reserveMemory([reservation('a')], optionsOf(orders), resolve);
    });
    await settle();
    expect(held.size).to.equal(0);
  });

  // Guards against memory that a late renewal sets aside again after the release.
  it('releases again what a renewal without an answer may set aside later', async () => {
    const events: string[] = [];
    let answersRenewals = false;
    const orders: OrderPort = {
      reserve: () => () => {
        events.push('reserve');
        const lost: OrderError = { type: 'unanswered', reason: 'timed out' };
        return Promise.resolve(
          events.length === 1 || answersRenewals
            ? E.right(undefined)
            : E.left(lost),
        );
      },
      isInUse: () => () => Promise.resolve(E.right(true)),
      release: () => () => {
        events.push('release');
        return Promise.resolve(E.right(undefined));
      },
    };
    const times = { renewMs: 10, repeatMs: 10 };
    const releasesAfter = async (answers: boolean): Promise<number> => {
      answersRenewals = answers;
      events.length = 0;
      const options = { ...optionsOf(orders), ...times };
      const release = reserveMemory([reservation('a')], options, () => 0);
      while (events.length < 3) await settle();
      release();
      await new Promise((resolve) => {
        setTimeout(resolve, 100);
      });
      return events.filter((one) => one === 'release').length;
    };
    expect(await releasesAfter(true)).to.equal(1);
    expect(await releasesAfter(false)).to.equal(4);
  });

  it('releases a reservation that is made after the cancellation', async () => {
    const { orders, held } = createOrders();
    const cancel = reserveMemory([reservation('a')], optionsOf(orders), () => {
      throw new Error('called after the cancellation');
    });
    cancel();
    await settle();
    await settle();
    expect(held.size).to.equal(0);
  });
});
