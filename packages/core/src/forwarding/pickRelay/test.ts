import { expect } from 'chai';
import { initialLoad, reduceLoad } from '../engineLoad/index.ts';
import {
  initialPeers,
  type PeerStatus,
  reducePeers,
} from '../peerList/index.ts';
import { pickRelay } from './index.ts';

const peer = (name: string, more: Partial<PeerStatus> = {}): PeerStatus => ({
  name,
  peerAddress: '',
  callerAddress: '',
  dataCentre: 'a',
  startedAtUnixMs: 0,
  isReady: true,
  isLeaving: false,
  configVersion: 3,
  weight: 1,
  protocolVersion: 1,
  ...more,
});

function pick(
  peers: readonly PeerStatus[],
  options: {
    /** Whether the peers said that they serve relayed requests. */
    readonly probed?: readonly (readonly [string, boolean])[];
    readonly excluded?: readonly string[];
    readonly busy?: string;
  } = {},
): string | undefined {
  const heard = reducePeers(initialPeers, {
    type: 'peers.received',
    atMs: 0,
    peers,
  }).state;
  const state = (options.probed ?? []).reduce(
    (known, [name, servesRelays]) =>
      reducePeers(known, {
        type: 'peers.relayProbed',
        name,
        startedAtUnixMs: 0,
        servesRelays,
      }).state,
    heard,
  );
  const flight = {
    ...{ flightId: '', targetId: 't', helperIds: [], reservations: [] },
    ...{ partPrefillMs: 0, memoryTokens: 0, contextTokens: 0, value: 1 },
    ...{ isShort: true, gapTargetMs: 0, startedAtMs: 0, isDecoding: false },
  };
  const { busy } = options;
  const reports =
    busy === undefined
      ? []
      : [{ peer: busy, flights: Array.from({ length: 6 }, () => flight) }];
  const load = reduceLoad(initialLoad, {
    type: 'load.received',
    atMs: 0,
    reports,
  });
  return pickRelay(
    {
      peers: state,
      load: load.state,
      nowMs: 100,
      dataCentre: 'a',
      configVersion: 3,
      excludedNames: new Set(options.excluded),
    },
    { random: () => 0.5 },
  )?.name;
}

describe('pickRelay', () => {
  it('prefers a peer of this data centre unless it has more requests', () => {
    const peers = [peer('far', { dataCentre: 'b' }), peer('near')];
    expect(pick(peers)).to.equal('near');
    expect(pick(peers, { busy: 'near' })).to.equal('far');
    expect(pick(peers, { excluded: ['near'] })).to.equal('far');
  });

  it('picks a peer with an older configuration only if there is no other', () => {
    const older = peer('older', { configVersion: 2 });
    const peers = [older, peer('far', { dataCentre: 'b' })];
    expect(pick(peers, { busy: 'far' })).to.equal('far');
    expect(pick([older])).to.equal('older');
  });

  it('picks no peer that cannot serve the request', () => {
    const peers = [
      peer('cut off', { isCutOff: true }),
      peer('leaving', { isLeaving: true }),
      peer('not ready', { isReady: false }),
    ];
    expect(pick(peers)).to.equal(undefined);
  });

  // Guards against a request relayed to a build that answers it with 404.
  it('takes no peer that is not known to serve relayed requests', () => {
    const old = { protocolVersion: 0 };
    const peers = [peer('p', old), peer('q', old)];
    expect(pick(peers)).to.equal(undefined);
    expect(pick(peers, { probed: [['p', false]] })).to.equal(undefined);
    expect(pick(peers, { probed: [['q', true]] })).to.equal('q');
  });
});
