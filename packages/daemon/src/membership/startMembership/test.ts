import { expect } from 'chai';
import * as TE from 'fp-ts/lib/TaskEither.js';
import { setTimeout as sleep } from 'node:timers/promises';
import { createRuntime } from '../../runtime/index.ts';
import { startMembership } from './index.ts';

const clock = {
  now: () => ({ wallMs: 1, counter: 0 }),
  observe: () => undefined,
};

function createAddress(entryId: string, peerPort: number) {
  return {
    entryId,
    incarnation: 1,
    region: 'north',
    dataCentre: entryId,
    host: '127.0.0.1',
    httpPort: 1,
    peerPort,
  };
}

/** Calls `step` until a condition holds; mocha's timeout limits the wait. */
async function waitUntil(condition: () => boolean, step: () => void) {
  while (!condition()) {
    step();
    await sleep(2);
  }
}

describe('startMembership', () => {
  it('exchanges probes and gossip between entries until all know each other', async () => {
    let nowMs = 0;
    const seenTableNumbers: number[] = [];
    const members = await Promise.all(
      ['a', 'b', 'c'].map(async (entryId) => {
        const membership = await startMembership({
          host: '127.0.0.1',
          peerPort: 0,
          key: 'secret',
          clock,
          client: { fetchMembers: () => TE.right([]) },
        });
        const runtime = createRuntime({
          handlers: { membership: membership.handler },
          nowMs: () => nowMs,
          onEvent: (event) => {
            if (event.type === 'table.numberReported')
              seenTableNumbers.push(event.number);
          },
        });
        membership.attach(runtime);
        return { entryId, membership, runtime };
      }),
    );
    const all = members.map(({ entryId, membership }) =>
      createAddress(entryId, membership.port),
    );
    members.forEach(({ runtime }, index) => {
      runtime.dispatch({ type: 'entry.started', self: all[index]! });
    });
    // Only the first entry is given the list; the others learn it by gossip.
    const entries = all.map((entry) => ({ ...entry, leaving: false }));
    members[0]!.runtime.dispatch({ type: 'membership.listed', entries });
    members[0]!.runtime.dispatch({
      type: 'table.installed',
      number: 5,
      rows: [],
    });
    try {
      await waitUntil(
        () =>
          seenTableNumbers.includes(5) &&
          members.every(
            ({ runtime }) => runtime.state().membership.members.size === 2,
          ),
        () => {
          nowMs += 100;
          members.forEach(({ runtime }) => {
            runtime.dispatch({ type: 'clock.ticked' });
          });
        },
      );
      const statuses = members.flatMap(({ runtime }) =>
        [...runtime.state().membership.members.values()].map((m) => m.status),
      );
      expect(new Set(statuses)).to.deep.equal(new Set(['alive']));
      expect(members[1]!.membership.counts().droppedPackets).to.equal(0);
    } finally {
      await Promise.all(members.map(({ membership }) => membership.close()));
    }
  });
});
