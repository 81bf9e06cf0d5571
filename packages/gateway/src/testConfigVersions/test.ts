import { expect } from 'chai';
import {
  encodeExactFields,
  type ExactInteger,
  type ForwardingConfig,
  parseExactInteger,
} from '@endivegate/contracts/forwarding';
import * as E from 'fp-ts/lib/Either.js';
import fc from 'fast-check';
import { createEventLog } from '../createEventLog/index.ts';
import { decodeReceivedConfig } from '../createPeerLink/_lib/configExchange/index.ts';
import {
  decodePeerMessages,
  encodePeerMessage,
  type TargetCodec,
} from '../createPeerLink/_lib/peerMessage.ts';
import {
  createGatewayRuntime,
  type GatewayRuntime,
} from '../gatewayRuntime/index.ts';
import { decodeNews, encodeNews } from '../shareStore/_lib/storeNews.ts';
import { testConfig } from '../testGateway/index.ts';

const SEED = 71;
const ENTRIES = 3;

const codec: TargetCodec = { hashOf: () => undefined, idOf: () => undefined };

/** Two versions of 1 to 30 digits that differ by 1 to 1,000. */
const versionPairs = fc
  .tuple(
    fc.integer({ min: 1, max: 30 }),
    fc.bigInt({ min: 0n, max: 10n ** 30n }),
    fc.bigInt({ min: 1n, max: 1000n }),
  )
  .map(([digits, seed, step]) => {
    const lower = 1n + (seed % (10n ** BigInt(digits) - 1n));
    return [exact(lower), exact(lower + step)] as const;
  });

function exact(value: bigint): ExactInteger {
  return parseExactInteger(String(value)) ?? 0;
}

/** How an entry hears of a version: from the store, from the message of a peer, or from
 * the news of a watcher. */
type Channel = 'store' | 'message' | 'news';

const tellings = fc.array(
  fc.record({
    entry: fc.nat(ENTRIES - 1),
    from: fc.nat(ENTRIES - 1),
    channel: fc.constantFrom<Channel>('store', 'message', 'news'),
    isHigher: fc.boolean(),
  }),
  { maxLength: 20 },
);

interface Entry {
  readonly name: string;
  readonly runtime: GatewayRuntime;
  /** Versions in the order in which they became active. */
  readonly activated: ExactInteger[];
}

function createEntry(name: string): Entry {
  const log = createEventLog({
    entryId: name,
    write: (_text, done) => {
      done();
    },
  });
  const runtime = createGatewayRuntime(log);
  const activated: ExactInteger[] = [];
  runtime.onConfig(({ config }) => activated.push(config.version));
  return { name, runtime, activated };
}

/** The version that arrives with a peer's message. */
function throughMessage(configVersion: ExactInteger): ExactInteger | undefined {
  const self = {
    ...{ name: 'p', peerAddress: '10.0.0.1:1', callerAddress: '10.0.0.1:2' },
    ...{ dataCentre: 'a', startedAtUnixMs: 1, isReady: true, isLeaving: false },
    ...{ configVersion, weight: 1 },
  };
  const lists = { drainingProcesses: [], crashes: [], addresses: [] };
  const sent = encodePeerMessage({ self, flights: [], ...lists }, codec, 0);
  const [received] = decodePeerMessages(sent, codec, 0).messages;
  return received?.message.self.configVersion;
}

/** The version that arrives with the news of a watcher. */
function throughNews(configVersion: ExactInteger): ExactInteger | undefined {
  const position = { era: 1, fromRevision: 1, revision: 1 };
  const times = { overdueMs: 0, holdMs: 0, followedMs: 0 };
  return decodeNews(
    encodeNews({
      ...{ name: 'p', weight: 1, configVersion, changes: [] },
      ...position,
      ...times,
    }),
  )?.configVersion;
}

/** The configuration that arrives with a fetch from a peer. */
function throughFetch(config: ForwardingConfig): ForwardingConfig {
  const sent = JSON.stringify(encodeExactFields(config));
  const received = decodeReceivedConfig(JSON.parse(sent));
  if (E.isLeft(received)) throw new Error(received.left);
  return received.right;
}

/** Lets an entry hear of a peer's version; it fetches what is newer. */
function hear(entry: Entry, peer: Entry, channel: Channel): void {
  const sent = peer.runtime.table()?.config;
  if (sent === undefined) return;
  const through = channel === 'news' ? throughNews : throughMessage;
  const version = through(sent.version);
  expect(version).to.equal(sent.version);
  if (
    version === undefined ||
    version <= entry.runtime.state().configSync.version
  ) {
    return;
  }
  const report = {
    ...{ entryName: entry.name, name: peer.name, address: peer.name },
    ...{ isLocal: true, weight: 1, version },
  };
  const at = { atMs: 0, delayMs: 0, report };
  entry.runtime.dispatch({ type: 'configSync.reported', ...at });
  entry.runtime.applyConfig(throughFetch(sent), `peer ${peer.name}`);
}

describe('versions of configurations', () => {
  // Guards against a withdrawn key that goes on working because two versions above 2^53
  // are one once they have been read, told or compared as doubles.
  it('keep the highest one in force at all entries, however they hear of it', () => {
    fc.assert(
      fc.property(versionPairs, tellings, ([lower, higher], told) => {
        const entries = Array.from({ length: ENTRIES }, (_, index) =>
          createEntry(`e${index}`),
        );
        const apply = (entry: Entry | undefined, version: ExactInteger) =>
          entry?.runtime.applyConfig({ ...testConfig(), version }, 'store');
        told.forEach(({ entry: to, from, channel, isHigher }) => {
          const [entry, peer] = [entries[to], entries[from]];
          if (entry === undefined || peer === undefined) return;
          if (channel === 'store') apply(entry, isHigher ? higher : lower);
          else hear(entry, peer, channel);
        });
        const [first, ...others] = entries;
        apply(first, lower);
        apply(first, higher);
        others.forEach((entry, index) => {
          if (first === undefined) return;
          hear(entry, first, index === 0 ? 'message' : 'news');
        });
        entries.forEach(({ activated }) => {
          expect(activated.at(-1)).to.equal(higher);
          expect(
            activated.every(
              (one, i) => i === 0 || one > (activated[i - 1] ?? 0),
            ),
          ).to.equal(true);
        });
      }),
      { seed: SEED, numRuns: 200 },
    );
  });
});
