import { expect } from 'chai';
import { peerTimes } from './index.ts';

describe('peerTimes', () => {
  it('uses a short interval in a small fleet and a bounded one in a large fleet', () => {
    expect(peerTimes(8)).to.deep.equal({
      heartbeatMs: 350,
      silenceMs: 1250,
      loadLifetimeMs: 1500,
    });
    expect(peerTimes(72).heartbeatMs).to.equal(900);
    expect(peerTimes(370).heartbeatMs).to.equal(1000);
  });

  it('tolerates two lost heartbeats at any fleet size', () => {
    [1, 30, 72, 89, 370].forEach((entries) => {
      const { heartbeatMs, silenceMs, loadLifetimeMs } = peerTimes(entries);
      expect(silenceMs).to.be.above(3 * heartbeatMs);
      expect(loadLifetimeMs).to.be.above(silenceMs);
    });
  });
});
