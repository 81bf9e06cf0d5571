import { expect } from 'chai';
import type { ListedTarget } from '@endivegate/contracts/forwarding';
import { initialLoad, reduceLoad } from '../engineLoad/index.ts';
import { initialPeers, reducePeers } from '../peerList/index.ts';
import { initialRoster, reduceRoster } from '../targetRoster/index.ts';
import {
  hasPermit,
  initialTargetLimits,
  limitReports,
  limitShares,
  type LimitShare,
  permitIntervalMs,
  reduceTargetLimits,
  type TargetLimitsState,
} from './index.ts';

/** Applies a response that arrives 300 ms after its request was sent. */
function respond(
  state: TargetLimitsState,
  requestsPerS: number | undefined,
  atMs: number,
  bornMs = 1,
): TargetLimitsState {
  const report = { id: 't', bornMs, requestsPerS, atMs };
  const sentAtMs = atMs - 300;
  const event = { type: 'targetLimits.responded', report, sentAtMs } as const;
  return reduceTargetLimits(state, event).state;
}

describe('reduceTargetLimits', () => {
  it('keeps a limit until a later request is answered without it', () => {
    const named = respond(initialTargetLimits, 2, 1000);
    expect(respond(named, undefined, 1200).get('t')?.requestsPerS).to.equal(2);
    const ended = respond(named, undefined, 1300);
    expect(ended.get('t')?.requestsPerS).to.equal(undefined);
  });

  it('replaces the limit of an earlier process of the target', () => {
    const named = respond(initialTargetLimits, 2, 1000, 7);
    expect(respond(named, 5, 2000, 6).get('t')?.requestsPerS).to.equal(2);
    expect(respond(named, undefined, 2000, 8).get('t')?.bornMs).to.equal(8);
  });

  it('forgets a limit that no response confirms', () => {
    const named = respond(initialTargetLimits, 2, 1000);
    const tick = (atMs: number) =>
      reduceTargetLimits(named, {
        type: 'targetLimits.ticked',
        atMs,
        shares: new Map(),
      });
    expect(tick(10_999).state).to.equal(named);
    expect(tick(11_000).state.size).to.equal(0);
    expect(tick(11_000).effects).to.deep.equal([
      {
        type: 'targetLimits.changed',
        id: 't',
        requestsPerS: undefined,
        beforePerS: 2,
        reason: 'expired',
      },
    ]);
  });
});

/** 72 entries take several seconds on a busy machine. */
const SIMULATION_TIMEOUT_MS = 120_000;

const TICK_MS = 1000;
const DEMAND_INTERVAL_MS = 10;
const WINDOW_MS = 4000;

/** What a target may get in 4 s, as the users' rule says. */
const mostInWindow = (limitPerS: number) =>
  1.5 * limitPerS * (WINDOW_MS / 1000) + 5;

const DATA_CENTRES = ['a', 'b', 'c'];

const listed: ListedTarget = {
  id: 't',
  service: 's',
  address: '10.0.0.1:80',
  dataCentre: 'a',
  draining: false,
  slots: 8,
  bornMs: 1,
};

const { state: roster } = reduceRoster(initialRoster, {
  type: 'roster.listed',
  atMs: 0,
  targets: [listed],
});

interface SimulatedFleet {
  readonly entries: number;
  readonly limitPerS: number;
  readonly forMs: number;
  /** Entries that are down at a time, as the others know it. */
  readonly isDown?: (entry: number, atMs: number) => boolean;
}

/**
 * Lets every entry send to the target as often as it may, and tells all entries of
 * each response at once. Returns the times of the requests.
 */
function simulate(fleet: SimulatedFleet): readonly number[] {
  const { entries, limitPerS, forMs, isDown = () => false } = fleet;
  const names = Array.from({ length: entries }, (_, index) => `e${index}`);
  let states = names.map(() => respond(initialTargetLimits, limitPerS, 0));
  const sentAtMs: number[] = [];
  Array.from({ length: forMs / DEMAND_INTERVAL_MS }, (_, step) => {
    const nowMs = step * DEMAND_INTERVAL_MS;
    if (nowMs % TICK_MS === 0) states = states.map(tick);
    names.forEach((_name, index) => {
      send(index);
    });

    function tick(state: TargetLimitsState, own: number): TargetLimitsState {
      if (isDown(own, nowMs))
        return respond(initialTargetLimits, limitPerS, nowMs);
      const peers = reducePeers(initialPeers, {
        type: 'peers.received',
        atMs: nowMs,
        peers: names
          .filter((_, index) => index !== own && !isDown(index, nowMs))
          .map((name, index) => ({
            name,
            peerAddress: '',
            callerAddress: '',
            dataCentre: DATA_CENTRES[index % DATA_CENTRES.length] ?? '',
            startedAtUnixMs: 0,
            isReady: true,
            isLeaving: false,
            configVersion: 1,
            weight: 1,
            protocolVersion: 1,
          })),
      }).state;
      const shares = limitShares(state, {
        roster,
        peers,
        load: initialLoad,
        nowMs,
        name: `e${own}`,
        dataCentre: DATA_CENTRES[own % DATA_CENTRES.length] ?? '',
        isServing: true,
      });
      const event = {
        type: 'targetLimits.ticked',
        atMs: nowMs,
        shares,
      } as const;
      return reduceTargetLimits(state, event).state;
    }

    function send(index: number): void {
      const state = states[index] ?? initialTargetLimits;
      if (isDown(index, nowMs) || !hasPermit(state, listed, nowMs)) return;
      sentAtMs.push(nowMs);
      const event = { type: 'targetLimits.sent', id: 't', calls: 1 } as const;
      states[index] = reduceTargetLimits(state, {
        ...event,
        atMs: nowMs,
      }).state;
      states = states.map((one) => respond(one, limitPerS, nowMs));
    }
  });
  return sentAtMs;
}

function busiestWindow(sentAtMs: readonly number[]): number {
  const counts = sentAtMs.map(
    (fromMs) =>
      sentAtMs.filter((ms) => ms >= fromMs && ms < fromMs + WINDOW_MS).length,
  );
  return Math.max(0, ...counts);
}

describe('limitShares', () => {
  const limits = [0, 0.3, 1, 2.5, 10, 60];

  // Guards against senders that each keep a limit which is meant for all together.
  [1, 2, 8, 72].forEach((entries) => {
    it(`keeps limits of ${entries} entries together, and uses them`, () => {
      limits.forEach((limitPerS) => {
        const sent = simulate({ entries, limitPerS, forMs: 16_000 });
        expect(busiestWindow(sent)).to.be.at.most(mostInWindow(limitPerS));
        if (limitPerS < 1) return;
        expect(sent.length / 16).to.be.above(0.7 * limitPerS);
      });
    }).timeout(SIMULATION_TIMEOUT_MS);
  });

  // Guards against a restart that adds the requests of a new sender to those that the
  // stopped one has sent.
  it('keeps limits while entries stop and start again one after the other', () => {
    limits.forEach((limitPerS) => {
      const isDown = (entry: number, atMs: number) =>
        Math.floor(atMs / 1000) % 8 === entry;
      const sent = simulate({ entries: 8, limitPerS, forMs: 24_000, isDown });
      expect(busiestWindow(sent)).to.be.at.most(mostInWindow(limitPerS));
    });
  });

  // Guards against a target that no entry asks whether its limit still holds.
  it('tries a target with a limit of 0 again', () => {
    const sent = simulate({ entries: 8, limitPerS: 0, forMs: 60_000 });
    expect(sent.length).to.be.above(10);
    expect(busiestWindow(sent)).to.be.at.most(mostInWindow(0));
  });

  it('gives an entry that takes no callers no share', () => {
    const state = respond(initialTargetLimits, 5, 0);
    const fleet = {
      ...{ roster, peers: initialPeers, load: initialLoad },
      ...{ nowMs: 0, name: 'e0' },
    };
    const shares = limitShares(state, {
      ...fleet,
      dataCentre: 'a',
      isServing: false,
    });
    expect(shares.size).to.equal(0);
  });
});

describe('limitShares beside peers of earlier builds', () => {
  const REPORT_MS = 100;
  const names = Array.from({ length: 8 }, (_, n) => `e${n}`);

  /** Shares of the entries from `e4` on; the others name no version. */
  function sharesBeside(
    servesRelays: boolean | undefined,
    sentByOld = 0,
  ): readonly LimitShare[] {
    const limits = respond(initialTargetLimits, 8, 0);
    const status = (name: string, index: number) => ({
      ...{ name, peerAddress: '', callerAddress: '', dataCentre: 'a' },
      ...{ startedAtUnixMs: 0, isReady: true, isLeaving: false },
      ...{ configVersion: 1, weight: 1 },
      ...(index < 4 ? {} : { protocolVersion: 1 }),
    });
    const flight = {
      ...{ flightId: '', targetId: 't', helperIds: [], reservations: [] },
      ...{ partPrefillMs: 0, memoryTokens: 0, contextTokens: 0, value: 1 },
      ...{ isShort: true, gapTargetMs: 0, startedAtMs: 0, isDecoding: false },
    };
    const load = reduceLoad(initialLoad, {
      type: 'load.received',
      atMs: 0,
      reports: [
        {
          peer: 'e0',
          flights: Array.from({ length: sentByOld }, () => flight),
        },
      ],
    }).state;
    return names.slice(4).flatMap((name) => {
      const others = names.map(status).filter((one) => one.name !== name);
      const heard = reducePeers(initialPeers, {
        type: 'peers.received',
        atMs: 0,
        peers: others,
      }).state;
      const peers = names.slice(0, 4).reduce(
        (known, old) =>
          servesRelays === undefined
            ? known
            : reducePeers(known, {
                type: 'peers.relayProbed',
                name: old,
                startedAtUnixMs: 0,
                servesRelays,
              }).state,
        heard,
      );
      const fleet = { roster, peers, load, nowMs: REPORT_MS, dataCentre: 'a' };
      const shares = limitShares(limits, { ...fleet, name, isServing: true });
      return [...shares.values()];
    });
  }

  const sumOf = (shares: readonly LimitShare[]): number =>
    shares.reduce((sum, share) => sum + share.requestsPerS, 0);

  // Guards against a limit that is exceeded by what a build that knows none sends.
  it('leaves them the part of the limit that they send', () => {
    expect(sumOf(sharesBeside(false))).to.be.closeTo(4, 0.01);
    expect(sumOf(sharesBeside(false, 6))).to.be.closeTo(2, 0.01);
    expect(sumOf(sharesBeside(false, 50))).to.be.closeTo(0.8, 0.01);
  });

  it('divides the limit among all where peers of version 0 divide it, too', () => {
    expect(sumOf(sharesBeside(true))).to.be.closeTo(4, 0.01);
    expect(sharesBeside(true)).to.have.length(4);
  });

  it('leaves peers room until it is known what they do', () => {
    expect(sumOf(sharesBeside(undefined))).to.be.closeTo(2, 0.01);
  });
});

describe('limitReports', () => {
  it('merges reports of peers by their age', () => {
    const named = respond(initialTargetLimits, 2, 1000);
    const receive = (requestsPerS: number | undefined, atMs: number) =>
      reduceTargetLimits(named, {
        type: 'targetLimits.received',
        reports: [{ id: 't', bornMs: 1, requestsPerS, atMs }],
      }).state;
    const all = { includeReceived: true };
    const own = { includeReceived: false };
    expect(limitReports(receive(3, 900), own)[0]?.requestsPerS).to.equal(2);
    expect(limitReports(receive(3, 1100), own)).to.deep.equal([]);
    expect(limitReports(receive(3, 1100), all)[0]?.requestsPerS).to.equal(3);
    const ended = receive(undefined, 1100);
    expect(hasPermit(named, listed, 1200)).to.equal(false);
    expect(hasPermit(ended, listed, 1200)).to.equal(true);
  });
});

describe('permitIntervalMs', () => {
  it('is the mean time between requests of all targets together', () => {
    const state = respond(initialTargetLimits, 4, 0);
    expect(permitIntervalMs(state, [listed])).to.equal(250);
    expect(permitIntervalMs(initialTargetLimits, [listed])).to.equal(Infinity);
  });
});
