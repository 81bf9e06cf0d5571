import { expect } from 'chai';
import { peerTimes } from '../peerTimes/index.ts';
import {
  initialPeers,
  type PeersEvent,
  type PeerStatus,
  reducePeers,
  servingPeers,
} from './index.ts';

const { silenceMs } = peerTimes(2);

const self: PeerStatus = {
  name: 'p',
  peerAddress: '10.0.0.1:7340',
  callerAddress: '10.0.0.1:80',
  dataCentre: 'a',
  startedAtUnixMs: 1000,
  isReady: true,
  isLeaving: false,
  configVersion: 1,
  weight: 1,
};

const heard = (atMs: number, more: Partial<PeerStatus> = {}): PeersEvent => ({
  type: 'peers.received',
  atMs,
  peers: [{ ...self, ...more }],
});

const serving = (events: readonly PeersEvent[], nowMs: number) =>
  servingPeers(
    events.reduce(
      (state, event) => reducePeers(state, event).state,
      initialPeers,
    ),
    nowMs,
  ).length;

describe('peerList', () => {
  it('lists a peer while it is heard, ready and not leaving', () => {
    expect(serving([heard(0)], 10)).to.equal(1);
    expect(serving([heard(0)], silenceMs)).to.equal(0);
    expect(serving([heard(0, { isReady: false })], 10)).to.equal(0);
    expect(serving([heard(0), heard(1, { isLeaving: true })], 10)).to.equal(0);
  });

  it('keeps a leaving process out although an earlier status is passed on', () => {
    const left = [heard(0), heard(1, { isLeaving: true }), heard(2)];
    expect(serving(left, 10)).to.equal(0);
    const restarted = [...left, heard(3, { startedAtUnixMs: 2000 })];
    expect(serving(restarted, 10)).to.equal(1);
  });

  it('ignores a delayed datagram of an older process', () => {
    const newer = heard(0, { startedAtUnixMs: 2000 });
    expect(serving([newer, heard(1, { isReady: false })], 10)).to.equal(1);
  });

  // Guards against a peer counting as one of an earlier build when such a build passes
  // on its status.
  it('keeps the protocol version of a process, and learns that of its successor', () => {
    const versionAfter = (events: readonly PeersEvent[]) =>
      events
        .reduce((state, event) => reducePeers(state, event).state, initialPeers)
        .get('p')?.protocolVersion;
    const passedOn = [heard(0, { protocolVersion: 1 }), heard(1)];
    expect(versionAfter(passedOn)).to.equal(1);
    expect(versionAfter(passedOn.toReversed())).to.equal(1);
    const downgraded = [...passedOn, heard(2, { startedAtUnixMs: 2000 })];
    expect(versionAfter(downgraded)).to.equal(undefined);
  });

  it('accepts a process with an earlier start time once the other is silent', () => {
    const later = heard(0, { startedAtUnixMs: 9_000_000 });
    expect(serving([later, heard(silenceMs)], silenceMs)).to.equal(1);
  });
});
