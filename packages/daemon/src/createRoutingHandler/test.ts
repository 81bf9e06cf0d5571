import type { EnginePort, Target, TargetError } from '@endivegate/contracts';
import type { RootEffect } from '@endivegate/core';
import { expect } from 'chai';
import * as TE from 'fp-ts/lib/TaskEither.js';
import type { Runtime, UnstampedEvent } from '../runtime/index.ts';
import { createRoutingHandler } from './index.ts';

const target = { targetId: 'e1' } as Target;
const lostReply: TargetError = { type: 'timedOut' };

function setUp(engines: Partial<EnginePort>) {
  const events: UnstampedEvent[] = [];
  const unfreed: string[] = [];
  const runtime = {
    dispatch: (event: UnstampedEvent) => events.push(event),
  } as unknown as Runtime;
  const handler = createRoutingHandler({
    engines: engines as EnginePort,
    findTarget: (id) => (id === 'e1' ? target : undefined),
    notifyPeer: () => Promise.resolve(true),
    onReservationNotFreed: (_, reservationId) => unfreed.push(reservationId),
    sleep: () => Promise.resolve(),
  });
  const run = async (effect: RootEffect) => {
    handler(effect, runtime);
    await new Promise((resolve) => setImmediate(resolve));
  };
  return { events, unfreed, run };
}

const reserve = (targetId: string): RootEffect => ({
  type: 'routing.reserve',
  requestId: 'r1',
  targetId,
  reservationId: 'a/1/1',
  tokens: 10,
  lifetimeMs: 1_000,
});

const free: RootEffect = {
  type: 'routing.freeReservation',
  targetId: 'e1',
  reservationId: 'a/1/1',
};

describe('createRoutingHandler', () => {
  it('reports a reservation with a lost reply or an unknown engine as refused', async () => {
    const granted = setUp({ reserve: () => TE.right(undefined) });
    await granted.run(reserve('e1'));
    await granted.run(reserve('gone'));
    const unanswered = setUp({ reserve: () => TE.left(lostReply) });
    await unanswered.run(reserve('e1'));
    expect([...granted.events, ...unanswered.events]).toMatchSnapshot();
  });

  it('retries freeing a reservation until the engine confirms it', async () => {
    let calls = 0;
    const { run, unfreed } = setUp({
      freeReservation: () => {
        calls += 1;
        return calls < 3 ? TE.left(lostReply) : TE.right(undefined);
      },
    });
    await run(free);
    expect(calls).to.equal(3);
    expect(unfreed).to.deep.equal([]);
  });

  it('reports a reservation that could not be freed', async () => {
    const { run, unfreed } = setUp({
      freeReservation: () => TE.left(lostReply),
    });
    await run(free);
    expect(unfreed).to.deep.equal(['a/1/1']);
  });
});
