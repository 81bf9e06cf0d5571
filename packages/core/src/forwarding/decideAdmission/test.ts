import { expect } from 'chai';
import { type AdmissionQuery, decideAdmission } from './index.ts';

const full: AdmissionQuery = {
  isShort: true,
  firstEventMs: 100,
  slotWaitMs: 400,
  latencyBudgetMs: 300,
  patienceMs: 2000,
};

const options = { random: () => 0 };

describe('decideAdmission', () => {
  it('refuses a short prompt that would be late because no slot is free', () => {
    expect(decideAdmission(full, options)).to.deep.equal({
      type: 'refuse',
      retryAfterMs: 1200,
    });
  });

  it('sends a prompt when a slot is free or when it may still be on time', () => {
    const send = { type: 'send' };
    const free = { ...full, slotWaitMs: 0, firstEventMs: 900 };
    expect(decideAdmission(free)).to.deep.equal(send);
    expect(decideAdmission({ ...full, slotWaitMs: 150 })).to.deep.equal(send);
  });

  it('refuses a prompt whose caller would give up first', () => {
    const tooLate = { ...full, slotWaitMs: 0, firstEventMs: 2500 };
    expect(decideAdmission(tooLate).type).to.equal('refuse');
  });

  it('never refuses a long prompt', () => {
    expect(decideAdmission({ ...full, isShort: false }).type).to.equal('send');
  });

  it('limits the retry delay to what callers accept', () => {
    const long = decideAdmission({ ...full, slotWaitMs: 60_000 });
    expect(long).to.deep.equal({ type: 'refuse', retryAfterMs: 3000 });
  });
});
