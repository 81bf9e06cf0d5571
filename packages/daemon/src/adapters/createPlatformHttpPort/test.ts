import type { PlatformError } from '@endivegate/contracts';
import {
  startPlatformStandIn,
  type PlatformStandIn,
} from '@endivegate/stand-ins';
import { expect } from 'chai';
import * as E from 'fp-ts/lib/Either.js';
import { createPlatformHttpPort, type PlatformHttpPort } from './index.ts';

const purpose = { purpose: 'table' } as const;

function errorOf<T>(result: E.Either<PlatformError, T>): PlatformError['type'] {
  if (E.isRight(result)) throw new Error('expected an error');
  return result.left.type;
}

describe('createPlatformHttpPort', () => {
  let platform: PlatformStandIn;
  let port: PlatformHttpPort;

  beforeEach(async () => {
    platform = await startPlatformStandIn();
    port = createPlatformHttpPort({ url: platform.url, timeoutMs: 300 });
  });
  afterEach(async () => {
    await port.close();
    await platform.close();
  });

  const put = (
    value: string,
    expectedVersion = 0,
    leaseId?: string,
  ): ReturnType<PlatformHttpPort['compareAndSwap']> =>
    port.compareAndSwap(
      {
        key: 'k',
        value,
        expectedVersion,
        ...(leaseId === undefined ? {} : { leaseId }),
      },
      purpose,
    );

  it('swaps a value once per version, and returns the current one on a conflict', async () => {
    await put('one')();
    expect(await put('two')()).to.deep.include({
      left: {
        type: 'conflict',
        current: { key: 'k', value: 'one', version: 1 },
      },
    });
    await put('two', 1)();
    expect(await port.get('k', purpose)()).to.deep.include({
      right: { key: 'k', value: 'two', version: 2 },
    });
  });

  it('never reuses an old version for a recreated key', async () => {
    await put('one')();
    await port.compareAndDelete({ key: 'k', expectedVersion: 1 }, purpose)();
    await put('two')();
    expect(errorOf(await put('late', 1)())).to.equal('conflict');
  });

  it('reports a lost reply although the value was written', async () => {
    await platform.setFaults({ lostReplyRate: 1 });
    expect(errorOf(await put('one')())).to.equal('replyLost');
    expect(await port.get('k', purpose)()).to.have.nested.property(
      'right.value',
      'one',
    );
  });

  it('reports an outage as unreachable and a slow reply as lost', async () => {
    await platform.setFaults({ isDown: true });
    expect(errorOf(await put('one')())).to.equal('unreachable');
    await platform.setFaults({ isDown: false, delayMs: 1_000 });
    expect(errorOf(await put('one')())).to.equal('replyLost');
  });

  it('deletes the keys of a lease that lapsed', async () => {
    const lease = await port.grantLease(60_000, purpose)();
    const { leaseId } = E.isRight(lease) ? lease.right : { leaseId: '' };
    await put('held', 0, leaseId)();
    platform.expireAllLeases();
    expect(await port.get('k', purpose)()).to.deep.include({
      right: undefined,
    });
    expect(errorOf(await port.renewLease(leaseId, purpose)())).to.equal(
      'leaseLapsed',
    );
    expect(errorOf(await put('late', 0, leaseId)())).to.equal('leaseLapsed');
  });

  it('ends a watch on a change under its prefix', async () => {
    const watching = port.watch(
      { prefix: 'k', afterRevision: 0, waitMs: 5_000 },
      purpose,
    )();
    await port.compareAndSwap(
      { key: 'other', value: '', expectedVersion: 0 },
      purpose,
    )();
    await put('one')();
    expect(await watching).to.deep.include({
      right: {
        revision: 2,
        changes: [{ type: 'put', key: 'k', value: 'one', version: 2 }],
      },
    });
  });

  it('counts every call and refuses those over the rate limit', async () => {
    const slow = await startPlatformStandIn({ writesPerSecond: 1 });
    const client = createPlatformHttpPort({ url: slow.url });
    const write = client.grantLease(1_000, { purpose: 'leases' });
    await write();
    expect(errorOf(await write())).to.equal('rateLimited');
    expect(slow.counts()).to.deep.include({
      writes: 2,
      rateLimited: 1,
      byPurpose: { leases: 2 },
    });
    await client.close();
    await slow.close();
  });

  it('refuses a value over a megabyte', async () => {
    expect(errorOf(await put('x'.repeat(1_000_001))())).to.equal(
      'valueTooLarge',
    );
  });
});
