import { expect } from 'chai';
import { peerTimes } from '../peerTimes/index.ts';
import {
  allLoads,
  type InFlightRequest,
  initialLoad,
  type LoadEvent,
  NO_LOAD,
  reduceLoad,
} from './index.ts';

const { loadLifetimeMs } = peerTimes(2);

const flight: InFlightRequest = {
  flightId: 'f1',
  targetId: 'a',
  helperIds: ['b'],
  partPrefillMs: 200,
  memoryTokens: 1000,
  contextTokens: 1000,
  value: 2,
  isShort: false,
  reservations: [{ targetId: 'c', tokens: 500 }],
  gapTargetMs: 600,
  startedAtMs: 0,
  isDecoding: false,
};

const run = (events: readonly LoadEvent[]) =>
  events.reduce((state, event) => reduceLoad(state, event).state, initialLoad);

const started = (one: InFlightRequest): LoadEvent => ({
  type: 'load.started',
  flight: one,
});

describe('engineLoad', () => {
  it('counts a part at each engine, and memory at the engines that hold it', () => {
    const loads = allLoads(run([started(flight)]), 50);
    expect(loads.get('a')).to.deep.include({ requests: 1, prefillMs: 150 });
    expect(loads.get('b')).to.deep.include({ requests: 0, prefillMs: 150 });
    expect(loads.get('c')).to.deep.include({ memoryTokens: 500, prefillMs: 0 });
  });

  it('queues the parts of an engine, including those reported by peers', () => {
    const state = run([
      started(flight),
      {
        type: 'load.received',
        atMs: 20,
        reports: [
          {
            peer: 'p',
            flights: [{ ...flight, helperIds: [], startedAtMs: 10 }],
          },
        ],
      },
    ]);
    expect(allLoads(state, 100).get('a')?.prefillMs).to.equal(300);
  });

  it('ignores the report of a peer after its lifetime', () => {
    const state = run([
      {
        type: 'load.received',
        atMs: 0,
        reports: [{ peer: 'p', flights: [flight] }],
      },
    ]);
    const before = allLoads(state, loadLifetimeMs - 1);
    expect(before.get('a')?.requests).to.equal(1);
    expect(allLoads(state, loadLifetimeMs).size).to.equal(0);
  });

  it('counts no prefill after the first token and no load after the end', () => {
    const writing = run([
      started(flight),
      { type: 'load.firstToken', flightId: 'f1' },
    ]);
    const load = allLoads(writing, 50).get('a') ?? NO_LOAD;
    expect(load).to.deep.include({
      prefillMs: 0,
      decodingRequests: 1,
      decodingValue: 2,
    });
    const ended = run([
      started(flight),
      { type: 'load.ended', flightId: 'f1', leavesParts: false },
    ]);
    expect(allLoads(ended, 50).size).to.equal(0);
  });

  describe('of a request that ends while its helpers read (abandoned parts)', () => {
    const helped = { ...flight, helperIds: ['b', 'd'] };
    const end: LoadEvent = {
      type: 'load.ended',
      flightId: 'f1',
      leavesParts: true,
    };

    it('keeps the parts of the helpers, and nothing at its own target', () => {
      const loads = allLoads(run([started(helped), end]), 50);
      expect(Object.fromEntries(loads)).to.deep.equal({
        b: { ...NO_LOAD, prefillMs: 150, waiting: loads.get('b')?.waiting },
        d: { ...NO_LOAD, prefillMs: 150, waiting: loads.get('d')?.waiting },
      });
      expect(loads.get('b')?.waiting[0]?.value).to.equal(0);
    });

    it('removes them once all helpers have read them', () => {
      const state = run([
        started(helped),
        end,
        { type: 'load.ticked', atMs: 199 },
      ]);
      expect(state.flights.size).to.equal(1);
      const later = reduceLoad(state, { type: 'load.ticked', atMs: 200 });
      expect(later.state.flights.size).to.equal(0);
    });

    it('keeps them while they queue behind the parts of other requests', () => {
      const first = { ...flight, flightId: 'f0', startedAtMs: -100 };
      const state = run([started(first), started(helped), end]);
      const ticked = reduceLoad(state, { type: 'load.ticked', atMs: 250 });
      expect([...ticked.state.flights.keys()]).to.deep.equal(['f0', 'f1']);
    });

    it('leaves none after the first token or without helpers', () => {
      const token: LoadEvent = { type: 'load.firstToken', flightId: 'f1' };
      expect(run([started(helped), token, end]).flights.size).to.equal(0);
      const alone = started({ ...flight, helperIds: [] });
      expect(run([alone, end]).flights.size).to.equal(0);
    });
  });

  it('lists a waiting request at each engine that reads a part of it', () => {
    const loads = allLoads(run([started(flight)]), 50);
    expect(loads.get('a')?.waiting).to.deep.equal([flight]);
    expect(loads.get('b')?.waiting).to.deep.equal([flight]);
  });

  it('assumes more prefill work at an engine whose first event is overdue', () => {
    const state = run([started(flight)]);
    expect(allLoads(state, 300).get('a')?.prefillMs).to.equal(0);
    expect(allLoads(state, 1000).get('a')?.prefillMs).to.equal(650);
    expect(allLoads(state, 9000).get('a')?.prefillMs).to.equal(1500);
  });

  it('reduces the value of a request that is already late', () => {
    const state = run([
      started({ ...flight, isDecoding: true }),
      { type: 'load.late', flightId: 'f1' },
    ]);
    expect(allLoads(state, 50).get('a')?.decodingValue).to.equal(0.5);
  });

  it('removes silent peers', () => {
    const state = run([
      {
        type: 'load.received',
        atMs: 0,
        reports: [{ peer: 'p', flights: [flight] }],
      },
      { type: 'load.ticked', atMs: 20_000 },
    ]);
    expect(state.peers.size).to.equal(0);
  });
});
