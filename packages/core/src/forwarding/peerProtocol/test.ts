import { expect } from 'chai';
import fc from 'fast-check';
import {
  initialPeers,
  type PeersState,
  type PeerStatus,
  reducePeers,
} from '../peerList/index.ts';
import { peerTimes } from '../peerTimes/index.ts';
import {
  commonVersion,
  dividesLimits,
  PROTOCOL_VERSION,
  servesRelays,
  unprobedPeers,
} from './index.ts';

const SEED = 4;
const MAX_VERSION = 4;

describe('commonVersion', () => {
  it('is the newest version that both know', () => {
    expect(commonVersion({}, 3)).to.equal(0);
    expect(commonVersion({ protocolVersion: 2 }, 3)).to.equal(2);
    expect(commonVersion({ protocolVersion: 4 }, 3)).to.equal(3);
    expect(commonVersion({ protocolVersion: PROTOCOL_VERSION })).to.equal(
      PROTOCOL_VERSION,
    );
  });
});

/** A process of an entry; its build names no version if it is 0. */
interface Build {
  readonly version: number;
  /** Whether a build of version 0 serves relayed requests. */
  readonly hasRelays: boolean;
}

/** What one entry receives from the other. */
type Heard =
  /** A status from the process itself. */
  | { readonly type: 'own' }
  /** Its status, passed on by a build that knows no versions. */
  | { readonly type: 'passedOn' }
  /** A delayed datagram of an earlier process. */
  | { readonly type: 'late' }
  /** The response to a question for relays; it may be late. */
  | { readonly type: 'probed'; readonly isLate: boolean }
  | { readonly type: 'restart'; readonly build: Build };

const build: fc.Arbitrary<Build> = fc.record({
  version: fc.nat(MAX_VERSION),
  hasRelays: fc.boolean(),
});

const heard: fc.Arbitrary<Heard> = fc.oneof(
  fc.constant({ type: 'own' } as const),
  fc.constant({ type: 'passedOn' } as const),
  fc.constant({ type: 'late' } as const),
  fc.record({ type: fc.constant('probed' as const), isLate: fc.boolean() }),
  fc.record({ type: fc.constant('restart' as const), build }),
);

const statusOf = (startedAtUnixMs: number, version: number): PeerStatus => ({
  ...{ name: 'p', peerAddress: '', callerAddress: '', dataCentre: 'a' },
  ...{ startedAtUnixMs, isReady: true, isLeaving: false },
  ...{ configVersion: 1, weight: 1 },
  ...(version === 0 ? {} : { protocolVersion: version }),
});

interface Run {
  readonly state: PeersState;
  /** Builds of the processes; the last one runs, its index is its start time. */
  readonly builds: readonly Build[];
}

function apply({ state, builds }: Run, event: Heard): Run {
  const last = builds.length - 1;
  const earlier = Math.max(last - 1, 0);
  const tell = (start: number, version: number): Run => ({
    builds,
    state: reducePeers(state, {
      type: 'peers.received',
      atMs: 0,
      peers: [statusOf(start, version)],
    }).state,
  });
  const versionOf = (start: number): number => builds[start]?.version ?? 0;
  switch (event.type) {
    case 'own':
      return tell(last, versionOf(last));
    case 'passedOn':
      return tell(last, 0);
    case 'late':
      return tell(earlier, versionOf(earlier));
    case 'restart':
      return { state, builds: [...builds, event.build] };
    case 'probed': {
      const start = event.isLate ? earlier : last;
      const { version, hasRelays } = builds[start] ?? builds[0]!;
      return {
        builds,
        state: reducePeers(state, {
          type: 'peers.relayProbed',
          name: 'p',
          startedAtUnixMs: start,
          servesRelays: version > 0 || hasRelays,
        }).state,
      };
    }
  }
}

describe('negotiation of the protocol version', () => {
  // Guards against features used with a process that does not have them, for any
  // builds, any order of restarts and downgrades, and late or passed on messages.
  it('uses nothing that a process lacks, and all that both have once it was heard', () => {
    fc.assert(
      fc.property(
        build,
        fc.array(heard, { maxLength: 30 }),
        fc.nat(MAX_VERSION),
        (first, events, ownVersion) => {
          const run = events.reduce(apply, {
            state: initialPeers,
            builds: [first],
          });
          const peer = run.state.get('p');
          const known = run.builds[peer?.startedAtUnixMs ?? 0] ?? first;
          if (peer !== undefined) {
            expect(commonVersion(peer, ownVersion)).to.be.at.most(
              Math.min(known.version, ownVersion),
            );
            const has = known.version > 0 || known.hasRelays;
            if (servesRelays(peer)) expect(has).to.equal(true);
            if (dividesLimits(peer) === false) expect(has).to.equal(false);
          }
          const told = apply(run, { type: 'own' });
          const running = told.builds.at(-1) ?? first;
          const learned = told.state.get('p');
          expect(commonVersion(learned ?? {}, ownVersion)).to.equal(
            Math.min(running.version, ownVersion),
          );
          const probed = apply(told, { type: 'probed', isLate: false });
          expect(unprobedPeers(probed.state)).to.deep.equal([]);
          const asked = [...probed.state.values()].map(servesRelays);
          expect(asked).to.deep.equal([
            running.version > 0 || running.hasRelays,
          ]);
        },
      ),
      { seed: SEED, numRuns: 2000 },
    );
  });

  // Guards against a version kept from a process whose successor's clock is behind.
  it('forgets a version once a process with an earlier start time takes over', () => {
    const { silenceMs } = peerTimes(2);
    const states = [statusOf(5, 2), statusOf(3, 0)].reduce(
      (state, status, index) =>
        reducePeers(state, {
          type: 'peers.received',
          atMs: index * silenceMs,
          peers: [status],
        }).state,
      initialPeers,
    );
    expect(commonVersion(states.get('p') ?? {}, 2)).to.equal(0);
  });
});
