import { expect } from 'chai';
import fc from 'fast-check';
import type { MembershipPacket } from '@endivegate/core';
import { decodePacket, encodePacket } from './index.ts';

const address = {
  entryId: 'e2',
  incarnation: 1_760_000_000_000,
  region: 'north',
  dataCentre: 'dc1',
  host: '10.0.0.2',
  httpPort: 8080,
  peerPort: 7070,
};

const packet: MembershipPacket = {
  kind: 'pingRequest',
  sequence: 41,
  sender: {
    entryId: 'e1',
    incarnation: 1_760_000_000_001,
    revision: 2,
    status: 'alive',
    leaving: true,
    address: undefined,
  },
  subjectId: 'e2',
  tableNumber: 12,
  updates: [
    {
      entryId: 'e2',
      incarnation: address.incarnation,
      revision: 0,
      status: 'suspect',
      leaving: false,
      address,
    },
  ],
};
const timed = { packet, timestamp: { wallMs: 1_760_000_000_002, counter: 3 } };

describe('decodePacket', () => {
  it('decodes packets from encodePacket, signed and unsigned', () => {
    const plain = encodePacket(timed, undefined);
    expect(decodePacket(plain, undefined)).to.deep.equal(timed);
    const signed = encodePacket(timed, 'secret');
    expect(decodePacket(signed, 'secret')).to.deep.equal(timed);
    expect(signed.length).to.equal(plain.length + 16);
  });

  it('rejects datagrams that are modified, unsigned or signed with another key', () => {
    const signed = encodePacket(timed, 'secret');
    const changed = Buffer.from(signed);
    changed[3] = (changed[3] ?? 0) ^ 1;
    expect(decodePacket(changed, 'secret')).to.equal(undefined);
    expect(decodePacket(signed, 'other')).to.equal(undefined);
    expect(decodePacket(encodePacket(timed, undefined), 'secret')).to.equal(
      undefined,
    );
  });

  it('never throws on arbitrary bytes', () => {
    fc.assert(
      fc.property(fc.uint8Array({ maxLength: 200 }), (bytes) => {
        decodePacket(Buffer.from(bytes), undefined);
      }),
      { seed: 1, numRuns: 500 },
    );
  });
});
