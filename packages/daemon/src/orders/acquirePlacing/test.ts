import { expect } from 'chai';
import * as E from 'fp-ts/lib/Either.js';
import { createFakeStore, type Fault } from '../../table/test.fakeStore.ts';
import { acquirePlacing, FENCING_KEY, PLACER_PREFIX } from './index.ts';

const claimOf = (entryId: string) => ({
  model: 'm/1',
  entryId,
  token: `token-${entryId}`,
});

describe('acquirePlacing', () => {
  it('gives the model to one of two entries, and a larger number later', async () => {
    const { platform, values } = createFakeStore();
    const first = await acquirePlacing(platform, claimOf('e1'))();
    const second = await acquirePlacing(platform, claimOf('e2'))();
    values.delete(`${PLACER_PREFIX}m%2F1`);
    const third = await acquirePlacing(platform, claimOf('e2'))();
    expect(first).to.have.nested.property('right.fencingNumber', 1);
    expect(second).to.have.nested.property('left.type', 'conflict');
    expect(third).to.have.nested.property('right.fencingNumber', 2);
  });

  it('knows its own writes again when their replies are lost', async () => {
    const { platform } = createFakeStore({
      fault: (name) => (name.startsWith('swap') ? 'replyLost' : 'none'),
    });
    expect(
      await acquirePlacing(platform, claimOf('e1'))(),
    ).to.have.nested.property('right.fencingNumber', 1);
  });

  it('gives the lease back when the number cannot be raised', async () => {
    const calls: string[] = [];
    const { platform } = createFakeStore({
      fault: (name): Fault => {
        calls.push(name);
        return name === `swap ${FENCING_KEY}` ? 'unreachable' : 'none';
      },
    });
    const acquired = await acquirePlacing(platform, claimOf('e1'))();
    expect(E.isLeft(acquired)).to.equal(true);
    expect(calls.at(-1)).to.match(/^revoke /);
  });
});
