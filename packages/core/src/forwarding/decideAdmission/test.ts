import { expect } from 'chai';
import { type AdmissionQuery, decideAdmission } from './index.ts';

const full: AdmissionQuery = {
  isShort: true,
  firstEventMs: 100,
  slotWaitMs: 400,
  aimLeftMs: 300,
  patienceMs: 2000,
};

const options = { random: () => 0 };

describe('decideAdmission', () => {
  it('refuses a short prompt that is late for want of a slot', () => {
    expect(decideAdmission(full, options)).to.deep.equal({
      type: 'refuse',
      retryAfterMs: 1200,
    });
  });

  it('never refuses while a slot is free, nor what may still be on time', () => {
    const send = { type: 'send' };
    const free = { ...full, slotWaitMs: 0, firstEventMs: 900 };
    expect(decideAdmission(free)).to.deep.equal(send);
    expect(decideAdmission({ ...full, slotWaitMs: 150 })).to.deep.equal(send);
  });

  it('refuses what its caller will not wait for', () => {
    const hopeless = { ...full, slotWaitMs: 0, firstEventMs: 2500 };
    expect(decideAdmission(hopeless).type).to.equal('refuse');
  });

  it('never refuses a long prompt, which is worth the wait', () => {
    expect(decideAdmission({ ...full, isShort: false }).type).to.equal('send');
  });

  it('asks nobody to come back later than callers do', () => {
    const long = decideAdmission({ ...full, slotWaitMs: 60_000 });
    expect(long).to.deep.equal({ type: 'refuse', retryAfterMs: 3000 });
  });
});
