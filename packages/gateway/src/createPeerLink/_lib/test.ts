import { expect } from 'chai';
import { createBatch } from './batch.ts';
import { createHubChoice } from './hubChoice.ts';
import {
  decodePeerMessages,
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
      isDecoding: false,
    },
  ],
  leavingIds: ['b'],
  crashes: [{ fingerprint: 'f', targetId: 'a' }],
  addresses: ['10.0.0.2:7340'],
};

const decodeOne = (bytes: Uint8Array, by: TargetCodec, nowMs: number) =>
  decodePeerMessages(bytes, by, nowMs)?.[0];

describe('peerMessage', () => {
  it('tells requests by their age, so that clocks need not agree', () => {
    const bytes = encodePeerMessage(message, codec, 1000);
    const decoded = decodeOne(bytes, codec, 50_000);
    expect(decoded).to.deep.equal({
      ...message,
      flights: [{ ...message.flights[0], startedAtMs: 49_900 }],
    });
  });

  it('leaves out requests at targets that the receiver does not know', () => {
    const bytes = encodePeerMessage(message, codec, 1000);
    const stranger: TargetCodec = { ...codec, idOf: () => undefined };
    expect(decodeOne(bytes, stranger, 0)?.flights).to.have.length(0);
  });

  it('refuses bytes that are no message', () => {
    const bytes = encodePeerMessage(message, codec, 0);
    expect(decodeOne(bytes.subarray(0, 20), codec, 0)).to.equal(undefined);
    expect(decodeOne(Buffer.from('{}'), codec, 0)).to.equal(undefined);
  });

  it('reads messages that travel together', () => {
    const bytes = encodePeerMessage(message, codec, 0);
    const names = decodePeerMessages(Buffer.concat([bytes, bytes]), codec, 0);
    expect(names?.map((one) => one.self.name)).to.deep.equal(['p', 'p']);
  });
});

describe('createBatch', () => {
  it('sends what was gathered at once, and before it grows too large', async () => {
    const sent: string[] = [];
    await new Promise<void>((resolve) => {
      const batch = createBatch({
        gatherMs: 5,
        mostBytes: 5,
        send: (messages) => {
          sent.push(Buffer.from(messages).toString());
          if (sent.length === 2) resolve();
        },
      });
      ['ab', 'cd', 'ef'].forEach((text) => {
        batch.add(Buffer.from(text));
      });
    });
    expect(sent).to.deep.equal(['abcd', 'ef']);
  });
});

describe('createHubChoice', () => {
  it('prefers the lowest address as long as its batches come back', () => {
    const hubs = createHubChoice();
    hubs.gave('a', 0);
    hubs.heard('a');
    expect(hubs.pick(['b', 'a'], 500)).to.equal('a');
  });

  it('takes the next one for a while when they do not, and nobody at first', () => {
    const hubs = createHubChoice();
    hubs.gave('a', 0);
    hubs.heard('b');
    expect(hubs.pick(['a', 'b'], 300)).to.equal('a');
    expect(hubs.pick(['a', 'b'], 500)).to.equal(undefined);
    expect(hubs.pick(['a', 'b'], 600)).to.equal('b');
    expect(hubs.pick(['a', 'b'], 5600)).to.equal('a');
  });
});
