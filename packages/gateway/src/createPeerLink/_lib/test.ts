import { expect } from 'chai';
import {
  decodePeerMessage,
  encodePeerMessage,
  type PeerMessage,
  type TargetCodec,
} from './peerMessage.ts';

const ids = new Map([
  [1, 'a'],
  [2, 'b'],
]);

const codec: TargetCodec = {
  hashOf: (id) => [...ids].find(([, known]) => known === id)?.[0],
  idOf: (hash) => ids.get(hash),
};

const message: PeerMessage = {
  self: {
    name: 'p',
    peerAddress: '10.0.0.1:7340',
    callerAddress: '10.0.0.1:80',
    dataCentre: 'a',
    startedAtUnixMs: 1_790_000_000_000,
    isReady: true,
    isLeaving: false,
    configVersion: 7,
  },
  flights: [
    {
      flightId: '',
      targetId: 'a',
      helperIds: ['b'],
      partReadMs: 120,
      memoryTokens: 5000,
      contextTokens: 4000,
      value: 1.25,
      isShort: true,
      seats: [{ targetId: 'b', tokens: 900 }],
      gapTargetMs: 250,
      startedAtMs: 900,
      isWriting: false,
    },
  ],
  leavingIds: ['b'],
  crashes: [{ fingerprint: 'f', targetId: 'a' }],
  addresses: ['10.0.0.2:7340'],
};

describe('peerMessage', () => {
  it('tells requests by their age, so that clocks need not agree', () => {
    const bytes = encodePeerMessage(message, codec, 1000);
    const decoded = decodePeerMessage(bytes, codec, 50_000);
    expect(decoded).to.deep.equal({
      ...message,
      flights: [{ ...message.flights[0], startedAtMs: 49_900 }],
    });
  });

  it('leaves out requests at targets that the receiver does not know', () => {
    const bytes = encodePeerMessage(message, codec, 1000);
    const stranger: TargetCodec = { ...codec, idOf: () => undefined };
    expect(decodePeerMessage(bytes, stranger, 0)?.flights).to.have.length(0);
  });

  it('refuses bytes that are no message', () => {
    const bytes = encodePeerMessage(message, codec, 0);
    expect(decodePeerMessage(bytes.subarray(0, 20), codec, 0)).to.equal(
      undefined,
    );
    expect(decodePeerMessage(Buffer.from('{}'), codec, 0)).to.equal(undefined);
  });
});
