import { expect } from 'chai';
import * as E from 'fp-ts/lib/Either.js';
import { createFakeStore, type Fault } from '../../table/test.fakeStore.ts';
import { acquirePlacerLease, FENCING_KEY, PLACER_PREFIX } from './index.ts';

const createCandidate = (entryId: string) => ({
  model: 'm/1',
  entryId,
  token: `token-${entryId}`,
});

describe('acquirePlacerLease', () => {
  it('grants a model to one of two entries, later with a larger fencing number', async () => {
    const { platform, values } = createFakeStore();
    const first = await acquirePlacerLease(platform, createCandidate('e1'))();
    const second = await acquirePlacerLease(platform, createCandidate('e2'))();
    values.delete(`${PLACER_PREFIX}m%2F1`);
    const third = await acquirePlacerLease(platform, createCandidate('e2'))();
    expect(first).to.have.nested.property('right.fencingNumber', 1);
    expect(second).to.have.nested.property('left.type', 'conflict');
    expect(third).to.have.nested.property('right.fencingNumber', 2);
  });

  it('recognizes its own writes when their replies are lost', async () => {
    const { platform } = createFakeStore({
      fault: (name) => (name.startsWith('swap') ? 'replyLost' : 'none'),
    });
    expect(
      await acquirePlacerLease(platform, createCandidate('e1'))(),
    ).to.have.nested.property('right.fencingNumber', 1);
  });

  it('revokes the lease when the fencing number cannot be incremented', async () => {
    const calls: string[] = [];
    const { platform } = createFakeStore({
      fault: (name): Fault => {
        calls.push(name);
        return name === `swap ${FENCING_KEY}` ? 'unreachable' : 'none';
      },
    });
    const acquired = await acquirePlacerLease(
      platform,
      createCandidate('e1'),
    )();
    expect(E.isLeft(acquired)).to.equal(true);
    expect(calls.at(-1)).to.match(/^revoke /);
  });
});
