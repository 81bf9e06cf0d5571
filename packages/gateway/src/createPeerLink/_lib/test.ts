import { decode, encode } from '@msgpack/msgpack';
import { expect } from 'chai';
import { z } from 'zod';
import { createBatch } from './batch.ts';
import {
  gatewayReduce,
  initialGatewayState,
} from '@endivegate/core/forwarding';
import { describeState } from './describeState.ts';
import { createEventLog } from '../../createEventLog/index.ts';
import { readDatagram } from './readDatagram.ts';
import { createHubSelector } from './hubSelector.ts';
import { splitPartReport } from './partRows.ts';
import { defineExtension, PEER_EXTENSIONS } from './peerExtensions.ts';
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
    weight: 0.675,
  },
  flights: [
    {
      flightId: '',
      targetId: 'a',
      helperIds: ['b'],
      partPrefillMs: 120,
      memoryTokens: 5000,
      contextTokens: 4000,
      value: 1.25,
      isShort: true,
      reservations: [{ targetId: 'b', tokens: 900 }],
      gapTargetMs: 250,
      startedAtMs: 900,
      isDecoding: false,
    },
  ],
  drainingProcesses: [{ id: 'b', bornMs: 7 }],
  crashes: [{ fingerprint: 'f', targetId: 'a' }],
  addresses: ['10.0.0.2:7340'],
};

const decodeOne = (bytes: Uint8Array, by: TargetCodec, nowMs: number) =>
  decodePeerMessages(bytes, by, nowMs).messages[0]?.message;

describe('peerMessage', () => {
  it('tells the parts that a request left behind by their lack of memory', () => {
    const left = { ...message.flights![0]!, memoryTokens: 0, value: 0 };
    const flights = [{ ...left, isAbandoned: true as const }];
    const bytes = encodePeerMessage({ ...message, flights }, codec, 1000);
    expect(decodeOne(bytes, codec, 1000)?.flights).to.deep.equal(flights);
    const plainCall = { ...left, partPrefillMs: 0, helperIds: [] };
    const call = { ...message, flights: [plainCall] };
    const read = decodeOne(encodePeerMessage(call, codec, 1000), codec, 1000);
    expect(read?.flights?.[0]).not.to.have.property('isAbandoned');
  });

  it('encodes the age of requests, so that clocks need not be synchronised', () => {
    const bytes = encodePeerMessage(message, codec, 1000);
    const decoded = decodeOne(bytes, codec, 50_000);
    expect(decoded).to.deep.equal({
      ...message,
      flights: [{ ...message.flights?.[0], startedAtMs: 49_900 }],
    });
  });

  it('tells no requests from an entry that is only passed on', () => {
    const bytes = encodePeerMessage(
      { ...message, flights: undefined },
      codec,
      0,
    );
    expect(decodeOne(bytes, codec, 0)?.flights).to.equal(undefined);
  });

  it('omits requests at targets that the receiver does not know', () => {
    const bytes = encodePeerMessage(message, codec, 1000);
    const emptyCodec: TargetCodec = { ...codec, idOf: () => undefined };
    expect(decodeOne(bytes, emptyCodec, 0)?.flights).to.have.length(0);
  });

  it('returns undefined for malformed bytes', () => {
    const bytes = encodePeerMessage(message, codec, 0);
    expect(decodeOne(bytes.subarray(0, 20), codec, 0)).to.equal(undefined);
    expect(decodeOne(Buffer.from('{}'), codec, 0)).to.equal(undefined);
  });

  // An address with a port out of range made each entry that contacted it fail.
  it('reads no address that cannot be connected to', () => {
    const addresses = ['10.0.0.2:7340', '10.0.0.2:70000', 'x', '', '1.2.3.4:0'];
    const bytes = encodePeerMessage({ ...message, addresses }, codec, 0);
    expect(decodeOne(bytes, codec, 0)?.addresses).to.deep.equal([
      '10.0.0.2:7340',
    ]);
    const self = { ...message.self, peerAddress: '10.0.0.2:70000' };
    const other = encodePeerMessage({ ...message, self }, codec, 0);
    expect(decodeOne(other, codec, 0)).to.equal(undefined);
  });

  it('decodes concatenated messages', () => {
    const bytes = encodePeerMessage(message, codec, 0);
    const both = Buffer.concat([bytes, bytes]);
    const { messages, malformed } = decodePeerMessages(both, codec, 0);
    expect(messages.map((one) => one.message.self.name)).to.deep.equal([
      'p',
      'p',
    ]);
    expect(malformed).to.deep.equal([]);
  });
});

describe('reports on parts', () => {
  const parts: PeerMessage['parts'] = {
    deaths: [
      {
        id: 't1@7#99',
        service: 's',
        process: 't1@7',
        parts: ['a', 'b'],
        sentAtMs: 800,
        endedAtMs: 900,
      },
    ],
    sounds: [{ service: 's', part: 'a', atMs: 950 }],
    blocks: [
      { service: 's', parts: ['b'], cause: 't1@7', level: 1, sinceMs: 900 },
    ],
  };
  const rowOf = (bytes: Uint8Array) => decode(bytes) as unknown[];

  // Guards against entries of earlier builds not hearing of this one.
  it('leaves messages without a report as they were', () => {
    expect(rowOf(encodePeerMessage(message, codec, 0))).to.have.length(5);
  });

  it('tells ages, so that clocks need not be synchronised', () => {
    const bytes = encodePeerMessage({ ...message, parts }, codec, 1000);
    const decoded = decodeOne(bytes, codec, 50_000);
    expect(decoded?.parts?.deaths[0]).to.include({
      sentAtMs: 49_800,
      endedAtMs: 49_900,
    });
    expect(decoded?.parts?.sounds[0]?.atMs).to.equal(49_950);
    expect(decoded?.parts?.blocks[0]).to.deep.equal({
      ...parts.blocks[0],
      sinceMs: 49_900,
    });
  });

  it('reads messages with more elements, or with a report that it cannot read', () => {
    const row = rowOf(encodePeerMessage({ ...message, parts }, codec, 1000));
    const longer = decodeOne(encode([...row, 'later', 7]), codec, 1000);
    expect(longer?.parts?.sounds).to.deep.equal(parts.sounds);
    ['text', [], [[], [], [['s', ['b'], 't', -1, 5]]]].forEach((unknown) => {
      const other = encode([...row.slice(0, 5), unknown]);
      const decoded = decodeOne(other, codec, 1000);
      expect(decoded?.self.name).to.equal('p');
      expect(decoded?.parts).to.equal(undefined);
    });
  });

  // Rows beyond one packet were left out of each of its repetitions.
  it('tells all rows in messages of one packet each, blocks first', () => {
    const long = Array.from({ length: 12 }, (_, n) => `${n}`.repeat(16));
    const many: NonNullable<PeerMessage['parts']> = {
      deaths: Array.from({ length: 20 }, (_, n) => ({
        ...parts.deaths[0]!,
        id: `${'t'.repeat(115)}${n}#1`,
        process: 't'.repeat(117),
        parts: long,
      })),
      sounds: Array.from({ length: 8 }, () => parts.sounds[0]!),
      blocks: Array.from({ length: 8 }, () => parts.blocks[0]!),
    };
    const own = { ...message, flights: undefined, addresses: [] };
    const messages = splitPartReport(many).map((part) =>
      encodePeerMessage({ ...own, parts: part }, codec, 1000),
    );
    messages.forEach((bytes) => {
      expect(bytes.length).to.be.below(1300);
    });
    const decoded = messages.map((bytes) => decodeOne(bytes, codec, 1000));
    expect(decoded[0]?.parts?.blocks).to.have.length(8);
    expect(decoded.flatMap((one) => one?.parts?.deaths ?? [])).to.deep.equal(
      many.deaths,
    );
  });

  // One row that could not be read took the whole report with it.
  it('reads the rows around an unreadable one, and says where it is', () => {
    const row = rowOf(encodePeerMessage({ ...message, parts }, codec, 1000));
    const [deaths, sounds, blocks] = row[5] as unknown[][];
    const rows = [['torn', ...(deaths ?? [])], sounds, [...(blocks ?? []), 7]];
    const bytes = encode([...row.slice(0, 5), rows]);
    const read = decodePeerMessages(bytes, codec, 1000);
    expect(read.messages[0]?.message.parts).to.deep.equal(parts);
    expect(read.malformed.map(({ path }) => path)).to.deep.equal([
      '5.0.0',
      '5.2.1',
    ]);
  });

  it('reads names of any length', () => {
    const name = 'n'.repeat(4000);
    const death = { ...parts.deaths[0]!, service: name, process: name };
    const named = { ...parts, deaths: [death] };
    const bytes = encodePeerMessage({ ...message, parts: named }, codec, 1000);
    expect(decodeOne(bytes, codec, 1000)?.parts).to.deep.equal(named);
  });
});

describe('extensions of peer messages', () => {
  const registry = {
    evac: defineExtension({
      schema: z.array(z.tuple([z.string(), z.number()])),
      describe: () => [],
      apply: (rows, { nowMs }) =>
        rows.map(() => ({ type: 'peers.ticked', atMs: nowMs })),
    }),
  };
  const versioned = {
    ...message,
    self: { ...message.self, protocolVersion: 1 },
  };
  const read = (bytes: Uint8Array) =>
    decodePeerMessages(bytes, codec, 1000, registry);
  const encodeWith = (extensions: Record<string, unknown>) =>
    encodePeerMessage({ ...versioned, extensions }, codec, 1000);

  it('tells the protocol version; a message without one has none', () => {
    const bytes = encodePeerMessage(versioned, codec, 0);
    expect((decode(bytes) as unknown[])[8]).to.deep.equal({ v: 1 });
    expect(decodeOne(bytes, codec, 0)?.self.protocolVersion).to.equal(1);
    const old = encodePeerMessage(message, codec, 0);
    expect(decodeOne(old, codec, 0)?.self).to.not.have.property(
      'protocolVersion',
    );
  });

  // Guards against evacuations and removals that peers place in the wrong order, and against
  // lists that earlier builds drop for one row.
  it('tells positions above 2^53 in extensions of their own', () => {
    const at = { era: 1, revision: 1152921504606846977n };
    const evacuation = { ...at, isEvacuated: true, ageMs: 0 };
    const reports = [
      { ...evacuation, dataCentre: 'a' },
      { ...evacuation, dataCentre: 'b', revision: 9 },
    ];
    const { state } = gatewayReduce(initialGatewayState, {
      ...{ type: 'evacuations.reported', atMs: 1, reports, source: 'store' },
    });
    const context = { nowMs: 1, name: 'e1', includeReceived: true };
    const { evac, evacDigits } = PEER_EXTENSIONS;
    expect(evac?.describe(state, context)).to.deep.equal([
      [['b', 1, 9, true, 0]],
    ]);
    const [rows] = evacDigits?.describe(state, context) ?? [];
    expect(rows).to.deep.equal([['a', 1, '1152921504606846977', true, 0]]);
    const apply = evacDigits?.read(decode(encode(rows)));
    const events =
      typeof apply === 'function'
        ? apply({ nowMs: 5, sender: message.self })
        : [];
    expect(events).to.deep.equal([
      {
        ...{ type: 'evacuations.reported', atMs: 5, source: 'peer' },
        reports: [{ ...evacuation, dataCentre: 'a' }],
      },
    ]);
  });

  // Guards against two versions that are one for peers, and against a message that earlier
  // builds cannot read.
  it('tells the digits of a version that is rounded in the status', () => {
    const long = {
      ...message,
      self: { ...message.self, configVersion: 1796000000000000003n },
    };
    const bytes = encodePeerMessage(long, codec, 0);
    const [self, , , , , , , , extensions] = decode(bytes) as unknown[][];
    expect(self?.[7]).to.equal(Number(long.self.configVersion));
    expect(extensions).to.deep.equal({ cv: '1796000000000000003' });
    const received = decodeOne(bytes, codec, 0)?.self;
    expect(received?.configVersion).to.equal(1796000000000000003n);
  });

  it('does not know a version that an earlier build has rounded', () => {
    const rounded = {
      ...message,
      self: { ...message.self, configVersion: 2 ** 60 },
    };
    const bytes = encodePeerMessage(rounded, codec, 0);
    expect(decodeOne(bytes, codec, 0)?.self.configVersion).to.equal(0);
  });

  // Guards against a later build's message being dropped with all that it reports.
  it('ignores and counts unknown keys, and applies the known ones', () => {
    const { messages, malformed, unknownKeys } = read(
      encodeWith({ evac: [['a', 1]], later: { x: 1 }, toString: 2 }),
    );
    const context = { nowMs: 5, sender: message.self };
    expect(
      messages[0]?.extensions.map((apply) => apply(context)),
    ).to.deep.equal([[{ type: 'peers.ticked', atMs: 5 }]]);
    expect(malformed).to.deep.equal([]);
    expect(unknownKeys).to.equal(2);
  });

  it('drops malformed values of known keys, with their position', () => {
    const row = decode(encodeWith({})) as unknown[];
    const withEighth = (value: unknown) =>
      read(encode([...row.slice(0, 8), value]));
    const cases: readonly (readonly [unknown, string])[] = [
      [{ v: 1, evac: [['a', 'b']] }, '8.evac.0.1'],
      [{ v: -1, evac: [] }, '8.v'],
      [{ v: 'x' }, '8.v'],
      [[1], '8'],
    ];
    cases.forEach(([value, path]) => {
      const { messages, malformed } = withEighth(value);
      expect(messages[0]?.message.flights).to.have.length(1);
      expect(malformed).to.deep.equal([{ message: 0, path }]);
    });
  });

  it('drops unreadable reports on parts and limits, with their position', () => {
    const row = decode(encodePeerMessage(message, codec, 0)) as unknown[];
    const { messages, malformed } = read(encode([...row, 'parts', 7]));
    expect(messages).to.have.length(1);
    expect(malformed.map((one) => one.path)).to.deep.equal(['5', '6']);
  });

  // Guards against one sender's malformed message hiding those of its whole batch.
  it('reads the messages around a malformed one', () => {
    const good = encodePeerMessage(versioned, codec, 0);
    const row = decode(good) as unknown[];
    const [flight = []] = row[1] as unknown[][];
    const bad = encode([
      row[0],
      [[flight[0], 'x', ...flight.slice(2)]],
      ...row.slice(2),
    ]);
    const { messages, malformed } = read(Buffer.concat([good, bad, good]));
    expect(messages).to.have.length(2);
    expect(malformed).to.deep.equal([{ message: 1, path: '1.0.1' }]);
    const cut = read(Buffer.concat([good, good.subarray(0, 20)]));
    expect(cut.messages).to.have.length(1);
    expect(cut.malformed).to.deep.equal([{ message: 1, path: '' }]);
  });

  // An element that cannot be encoded again failed outside of any request.
  it('passes on what it can of a datagram with a malformed message', () => {
    const deep = Array.from({ length: 200 }).reduce<unknown>(
      (inner) => [inner],
      7,
    );
    const good = encodePeerMessage(versioned, codec, 0);
    const row = decode(good) as unknown[];
    const bytes = Buffer.concat([
      Buffer.of(0),
      good,
      encode([...row.slice(0, 7), true, {}, deep], { maxDepth: 300 }),
      encode('torn'),
    ]);
    const received = readDatagram(bytes, {
      kinds: new Set([0]),
      codec,
      nowMs: 0,
      log: createEventLog({ entryId: 'e1', write: () => true }),
      countIgnored: () => undefined,
    });
    expect(received?.messages).to.have.length(2);
    expect(Buffer.from(received?.bytes ?? [])).to.deep.equal(Buffer.from(good));
  });

  it('reads no array that is longer than the datagram', () => {
    const bytes = Buffer.from([0xdd, 0x01, 0xff, 0xff, 0xff, 0x01]);
    expect(read(bytes).malformed).to.deep.equal([{ message: 0, path: '' }]);
  });
});

describe('describeState', () => {
  // A release of many targets with long names made a message too large to be sent.
  it('tells all draining processes, in messages that can be sent', () => {
    const targets = Array.from({ length: 400 }, (_, index) => ({
      ...{ service: 's', address: '10.0.0.1:80', dataCentre: 'a', slots: 4 },
      ...{ id: `${index}`.padStart(190, 'x'), draining: true, bornMs: 1 },
    }));
    const roster = { type: 'roster.listed', atMs: 0, targets } as const;
    const { state } = gatewayReduce(initialGatewayState, roster);
    const messages = Array.from({ length: 12 }, (_, second) =>
      describeState({ state, self: message.self, nowMs: second * 800 }),
    );
    messages.forEach((one) => {
      expect(encodePeerMessage(one, codec, 0).length).to.be.below(20_000);
    });
    const told = messages.flatMap((one) => one.drainingProcesses);
    expect(new Set(told.map(({ id }) => id)).size).to.equal(400);
  });
});

describe('createBatch', () => {
  it('sends messages together and before they exceed the maximum size', async () => {
    const sent: string[] = [];
    await new Promise<void>((resolve) => {
      const batch = createBatch({
        delayMs: 5,
        maxBytes: 5,
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

describe('createHubSelector', () => {
  it('selects the first address while its batches come back', () => {
    const hubs = createHubSelector();
    hubs.messageSent('a', 0);
    hubs.datagramReceived('a');
    expect(hubs.pick(['a', 'b'], 500)).to.equal('a');
  });

  it('selects no hub and then the next one for a while when they do not', () => {
    const hubs = createHubSelector();
    hubs.messageSent('a', 0);
    hubs.datagramReceived('b');
    expect(hubs.pick(['a', 'b'], 300)).to.equal('a');
    expect(hubs.pick(['a', 'b'], 500)).to.equal(undefined);
    expect(hubs.pick(['a', 'b'], 600)).to.equal('b');
    expect(hubs.pick(['a', 'b'], 5600)).to.equal('a');
  });
});
