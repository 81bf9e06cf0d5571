import { expect } from 'chai';
import { recordStoreReply } from '../recordStoreReply/index.ts';
import {
  INITIAL_STORE_GATE,
  STORE_DOWN_FAILURES,
  type StoreGate,
} from '../storeGate/index.ts';
import { admitStoreCall } from './index.ts';

const stateAfterFailures = (count: number, random: number): StoreGate =>
  Array.from({ length: count }).reduce<StoreGate>(
    (gate) => recordStoreReply(gate, { isAnswered: false, atMs: 0, random }),
    INITIAL_STORE_GATE,
  );

describe('admitStoreCall', () => {
  it('limits the calls of one purpose without affecting the others', () => {
    const spent = Array.from({ length: 500 }).reduce<{
      readonly gate: StoreGate;
      readonly admitted: number;
    }>(
      (done) => {
        const next = admitStoreCall(done.gate, { purpose: 'table', atMs: 0 });
        const isAdmitted = next.admission.type === 'admitted';
        return {
          gate: next.gate,
          admitted: done.admitted + (isAdmitted ? 1 : 0),
        };
      },
      { gate: INITIAL_STORE_GATE, admitted: 0 },
    );
    expect(spent.admitted).to.equal(400);
    expect(
      [
        admitStoreCall(spent.gate, { purpose: 'table', atMs: 0 }),
        admitStoreCall(spent.gate, { purpose: 'claims', atMs: 0 }),
        admitStoreCall(spent.gate, { purpose: 'table', atMs: 200 }),
      ].map(({ admission }) => admission),
    ).toMatchSnapshot();
  });

  it('probes a store that is down with one call at a time', () => {
    const down = stateAfterFailures(STORE_DOWN_FAILURES, 0.5);
    const beforeProbe = admitStoreCall(down, { purpose: 'claims', atMs: 100 });
    const probe = admitStoreCall(down, { purpose: 'claims', atMs: 250 });
    const concurrent = admitStoreCall(probe.gate, {
      purpose: 'table',
      atMs: 260,
    });
    const recovered = recordStoreReply(probe.gate, {
      isAnswered: true,
      atMs: 300,
      random: 0,
    });
    const afterRecovery = admitStoreCall(recovered, {
      purpose: 'table',
      atMs: 310,
    });
    expect(
      [beforeProbe, probe, concurrent, afterRecovery].map(
        ({ admission }) => admission.type,
      ),
    ).to.deep.equal(['down', 'admitted', 'down', 'admitted']);
  });

  it('spreads the probes of 370 entries during a long outage', () => {
    const probes = Array.from({ length: 370 }, (_, index) =>
      stateAfterFailures(30, index / 370),
    ).map(({ probeAtMs }) => probeAtMs);
    const firstSecond = probes.filter((atMs) => atMs < 1_000).length;
    expect(firstSecond).to.be.at.most(37);
  });
});
