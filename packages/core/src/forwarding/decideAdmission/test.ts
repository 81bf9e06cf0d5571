import { expect } from 'chai';
import { type AdmissionQuery, decideAdmission } from './index.ts';

const full: AdmissionQuery = {
  isShort: true,
  firstEventMs: 100,
  slotWaitMs: 400,
  latencyBudgetMs: 300,
  patienceMs: 2000,
  waitedMs: 0,
  value: 1,
  lateShare: 1,
  delayCost: 0,
};

const long: AdmissionQuery = {
  isShort: false,
  firstEventMs: 1200,
  slotWaitMs: 0,
  latencyBudgetMs: 3000,
  patienceMs: 12_000,
  waitedMs: 0,
  value: 16,
  lateShare: 0,
  delayCost: 0,
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

  it('refuses a long prompt only when its caller would give up first', () => {
    const late = { ...long, latencyBudgetMs: 500, lateShare: 1 };
    expect(decideAdmission({ ...late, slotWaitMs: 300 }).type).to.equal('send');
    const nearlyGone = { ...late, patienceMs: 1300 };
    expect(decideAdmission(nearlyGone).type).to.equal('send');
    const gone = { ...late, patienceMs: 1100 };
    expect(decideAdmission(gone, options)).to.deep.equal({
      type: 'refuse',
      retryAfterMs: 800,
    });
  });

  describe('of a long prompt that delays others (weighted by value)', () => {
    const decide = (query: Partial<AdmissionQuery>) =>
      decideAdmission({ ...long, ...query }).type;

    it('sends it while it gains more by being on time than others lose', () => {
      expect(decide({ delayCost: 11 })).to.equal('send');
      expect(decide({ delayCost: 13 })).to.equal('wait');
    });

    it('lets it wait for a better moment once it cannot be on time', () => {
      expect(decide({ lateShare: 1, delayCost: 0.5 })).to.equal('wait');
      expect(decide({ lateShare: 1 })).to.equal('send');
    });

    it('accepts more harm to others the longer it has waited', () => {
      const waited = { lateShare: 1, delayCost: 2, patienceMs: 6400 };
      expect(decide({ ...waited, waitedMs: 2000 })).to.equal('wait');
      expect(decide({ ...waited, waitedMs: 5600 })).to.equal('send');
    });

    it('sends it at the latest when twice its predicted time is left', () => {
      const last = { lateShare: 1, delayCost: 500, patienceMs: 2400 };
      expect(decide(last)).to.equal('send');
      expect(decide({ ...last, patienceMs: 2500 })).to.equal('wait');
    });
  });

  it('limits the retry delay to what callers accept', () => {
    const patient = { ...full, patienceMs: 90_000 };
    const refused = decideAdmission({ ...patient, slotWaitMs: 60_000 });
    expect(refused).to.deep.equal({ type: 'refuse', retryAfterMs: 3000 });
  });
});
