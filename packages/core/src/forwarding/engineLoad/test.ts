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
  partReadMs: 200,
  memoryTokens: 1000,
  contextTokens: 1000,
  value: 2,
  isShort: false,
  seats: [{ targetId: 'c', tokens: 500 }],
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
  it('counts a part at each engine, and memory where it lies', () => {
    const loads = allLoads(run([started(flight)]), 50);
    expect(loads.get('a')).to.deep.include({ requests: 1, prefillMs: 150 });
    expect(loads.get('b')).to.deep.include({ requests: 0, prefillMs: 150 });
    expect(loads.get('c')).to.deep.include({ memoryTokens: 500, prefillMs: 0 });
  });

  it('queues the parts of one engine, also those that peers told of', () => {
    const state = run([
      started(flight),
      {
        type: 'load.heard',
        peer: 'p',
        atMs: 20,
        flights: [{ ...flight, helperIds: [], startedAtMs: 10 }],
      },
    ]);
    expect(allLoads(state, 100).get('a')?.prefillMs).to.equal(300);
  });

  it('takes what a peer told for a while only', () => {
    const state = run([
      { type: 'load.heard', peer: 'p', atMs: 0, flights: [flight] },
    ]);
    const before = allLoads(state, loadLifetimeMs - 1);
    expect(before.get('a')?.requests).to.equal(1);
    expect(allLoads(state, loadLifetimeMs).size).to.equal(0);
  });

  it('has no reading left once the first token has come, nothing at the end', () => {
    const writing = run([
      started(flight),
      { type: 'load.firstToken', flightId: 'f1' },
    ]);
    const load = allLoads(writing, 50).get('a') ?? NO_LOAD;
    expect(load).to.deep.include({
      prefillMs: 0,
      decodingRequests: 1,
      writersValue: 2,
    });
    const ended = run([
      started(flight),
      { type: 'load.ended', flightId: 'f1' },
    ]);
    expect(allLoads(ended, 50).size).to.equal(0);
  });

  it('takes an engine whose prompt is overdue to be busy', () => {
    const state = run([started(flight)]);
    expect(allLoads(state, 300).get('a')?.prefillMs).to.equal(0);
    expect(allLoads(state, 1000).get('a')?.prefillMs).to.equal(650);
    expect(allLoads(state, 9000).get('a')?.prefillMs).to.equal(1500);
  });

  it('loses less by delaying what is late already', () => {
    const state = run([
      started({ ...flight, isDecoding: true }),
      { type: 'load.late', flightId: 'f1' },
    ]);
    expect(allLoads(state, 50).get('a')?.writersValue).to.equal(0.5);
  });

  it('forgets peers that are gone', () => {
    const state = run([
      { type: 'load.heard', peer: 'p', atMs: 0, flights: [flight] },
      { type: 'load.ticked', atMs: 20_000 },
    ]);
    expect(state.peers.size).to.equal(0);
  });
});
