import { expect } from 'chai';
import type { MemorySeat, RosterTarget } from '@endivegate/core/forwarding';
import * as E from 'fp-ts/lib/Either.js';
import type { EventLog } from '../createEventLog/index.ts';
import type { OrderError, OrderPort } from '../orderPort/index.ts';
import { reserveSeats } from './index.ts';

const silent: EventLog = {
  info: () => undefined,
  warn: () => undefined,
  droppedLines: () => 0,
  flush: (done) => {
    done();
  },
};

const seat = (id: string): MemorySeat => ({
  target: { id, address: id } as RosterTarget,
  tokens: 100,
});

/** Orders that keep what is set aside, and fail as told. */
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

describe('reserveSeats', () => {
  it('holds all seats, and frees them all once released', async () => {
    const { orders, held } = createOrders();
    const result = await new Promise<
      Parameters<Parameters<typeof reserveSeats>[2]>[0]
    >((resolve) => {
      reserveSeats([seat('a'), seat('b')], optionsOf(orders), resolve);
    });
    expect([...held]).to.deep.equal(['a', 'b']);
    if (E.isRight(result)) result.right.release();
    await settle();
    expect(held.size).to.equal(0);
  });

  it('frees what it got when one seat has no room', async () => {
    const { orders, held } = createOrders({ b: { type: 'noRoom' } });
    const result = await new Promise<E.Either<OrderError, unknown>>(
      (resolve) => {
        reserveSeats([seat('a'), seat('b')], optionsOf(orders), resolve);
      },
    );
    await settle();
    expect(E.isLeft(result)).to.equal(true);
    expect(held.size).to.equal(0);
  });

  it('frees a seat whose order was carried out without an answer', async () => {
    const lost: OrderError = { type: 'unanswered', reason: 'timed out' };
    const { orders, held } = createOrders({ a: lost });
    await new Promise((resolve) => {
      reserveSeats([seat('a')], optionsOf(orders), resolve);
    });
    await settle();
    expect(held.size).to.equal(0);
  });

  it('frees seats whose order overtook the giving up', async () => {
    const { orders, held } = createOrders();
    const giveUp = reserveSeats([seat('a')], optionsOf(orders), () => {
      throw new Error('must not be told');
    });
    giveUp();
    await settle();
    await settle();
    expect(held.size).to.equal(0);
  });
});
