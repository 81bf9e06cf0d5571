import { expect } from 'chai';
import * as E from 'fp-ts/lib/Either.js';
import type { EventLog } from '../createEventLog/index.ts';
import type { StorePort } from '../storePort/index.ts';
import { announceEntry } from './index.ts';

const silent: EventLog = {
  info: () => undefined,
  warn: () => undefined,
  droppedLines: () => 0,
  flush: (done) => {
    done();
  },
};

/** Runs the registration for some sleeps, with the era that each call sees. */
async function announce(options: {
  readonly eras: readonly number[];
  readonly sleeps: number;
  readonly restoreAtSleep?: number;
  readonly isNeeded?: boolean;
}): Promise<readonly string[]> {
  const calls: string[] = [];
  const eras = [...options.eras];
  const era = (): number => eras.shift() ?? options.eras.at(-1) ?? 1;
  let leaseId = 0;
  let sleeps = 0;
  await new Promise<void>((resolve) => {
    const store: StorePort = {
      list: () => () => Promise.reject(new Error('not used')),
      watch: () => () => Promise.reject(new Error('not used')),
      grantLease: () => () => {
        leaseId += 1;
        calls.push(`grant ${leaseId}`);
        return Promise.resolve(
          E.right({ leaseId: String(leaseId), era: era() }),
        );
      },
      renewLease: (id) => () => {
        calls.push(`renew ${id}`);
        return Promise.resolve(E.right(era()));
      },
      put: (entry) => () => {
        calls.push(`put ${entry.leaseId}`);
        return Promise.resolve(E.right(era()));
      },
    };
    const announcement = announceEntry({
      store,
      log: silent,
      name: 'e1',
      peerAddress: '10.0.0.1:1',
      random: () => 0,
      isNeeded: () => options.isNeeded !== false,
      sleep: async (ms) => {
        if (ms === 0 || ms === 3000) return;
        sleeps += 1;
        if (sleeps > options.sleeps) {
          announcement.stop();
          resolve();
        }
        if (sleeps === options.restoreAtSleep) {
          announcement.storeRestored();
          await new Promise(() => undefined);
        }
      },
    });
  });
  return calls;
}

describe('announceEntry', () => {
  it('renews its lease while the store keeps it', async () => {
    expect(await announce({ eras: [1], sleeps: 2 })).to.deep.equal([
      'grant 1',
      'put 1',
      'renew 1',
      'renew 1',
    ]);
  });

  it('registers again when a renewal shows a later era, whose lease ids may be others', async () => {
    expect(await announce({ eras: [1, 1, 2], sleeps: 1 })).to.deep.equal([
      'grant 1',
      'put 1',
      'renew 1',
      'grant 2',
      'put 2',
    ]);
  });

  it('writes again when the store was restored between the lease and the key', async () => {
    expect(await announce({ eras: [1, 2, 2, 2], sleeps: 1 })).to.deep.equal([
      'grant 1',
      'put 1',
      'grant 2',
      'put 2',
    ]);
  });

  it('does not register while others do', async () => {
    const options = { eras: [1], sleeps: 3, isNeeded: false };
    expect(await announce(options)).to.deep.equal([]);
  });

  it('registers again at once when it is told of a restore', async () => {
    const calls = await announce({ eras: [2], sleeps: 1, restoreAtSleep: 1 });
    expect(calls).to.deep.equal(['grant 1', 'put 1', 'grant 2', 'put 2']);
  });
});
