import { expect } from 'chai';
import type { ExactInteger } from '@endivegate/contracts/forwarding';
import type { Step } from '../../step/index.ts';
import {
  behindSinceMs,
  type ConfigReport,
  type ConfigSyncEffect,
  type ConfigSyncEvent,
  type ConfigSyncState,
  initialConfigSync,
  newestReported,
  reduceConfigSync,
} from './index.ts';

const report = (
  name: string,
  more: Partial<ConfigReport> = {},
): ConfigReport => ({
  entryName: 'e1',
  name,
  address: `${name}:7340`,
  isLocal: true,
  weight: 1,
  version: 7,
  ...more,
});

const reported = (
  atMs: number,
  one: ConfigReport,
  delayMs = 0,
): ConfigSyncEvent => ({
  type: 'configSync.reported',
  atMs,
  report: one,
  delayMs,
});

const ended = (
  atMs: number,
  name: string,
  type: 'busy' | 'failed',
): ConfigSyncEvent => ({
  type: 'configSync.fetchEnded',
  atMs,
  name,
  result: { type },
});

const stored = (
  version: ExactInteger,
  revision: number,
  era = 1,
): ConfigSyncEvent => ({
  type: 'configSync.stored',
  document: { era, revision, version },
});

const tick = (atMs: number): ConfigSyncEvent => ({
  type: 'configSync.ticked',
  atMs,
});

/** Applies events in turn; returns the last state and all effects. */
function run(
  events: readonly ConfigSyncEvent[],
  state: ConfigSyncState = initialConfigSync,
): Step<ConfigSyncState, ConfigSyncEffect> {
  return events.reduce<Step<ConfigSyncState, ConfigSyncEffect>>(
    (step, event) => {
      const next = reduceConfigSync(step.state, event);
      return { state: next.state, effects: [...step.effects, ...next.effects] };
    },
    { state, effects: [] },
  );
}

/** Peers that are asked, in order; `store` for a read of the store. */
const asked = (events: readonly ConfigSyncEvent[]): readonly string[] =>
  run(events).effects.map((effect) =>
    effect.type === 'configSync.fetchDue' ? effect.source.name : 'store',
  );

const remote = { isLocal: false };

describe('configSync', () => {
  // Guards against a whole data centre that copies a table from the peer that one
  // datagram names first.
  it('spreads entries that hear of the same peers over them by capacity', () => {
    const holders = ['p1', 'p2', 'p3', 'p4'].map((name, index) => ({
      name,
      weight: index === 0 ? 4 : 1,
    }));
    const first = Array.from({ length: 140 }, (_, index) => {
      const entryName = `e${index}`;
      const events = holders.map((holder) =>
        reported(0, report(holder.name, { entryName, ...holder }), 100),
      );
      return asked([...events, tick(100)])[0] ?? '';
    });
    const counts = holders.map(
      ({ name }) => first.filter((one) => one === name).length,
    );
    expect(counts).toMatchSnapshot();
  });

  it('asks the newest peer first, then those of this data centre', () => {
    const events = [
      reported(0, report('p1', { version: 6 }), 100),
      reported(0, report('p2', remote), 100),
      reported(0, report('p3'), 100),
    ];
    expect(asked([...events, tick(99)])).to.deep.equal([]);
    expect(asked([...events, tick(100)])).to.deep.equal(['p3']);
  });

  // Guards against a fetch from a silent peer that keeps an entry behind.
  it('asks another peer beside one that is silent, and at most three at once', () => {
    const events = ['p1', 'p2', 'p3', 'p4'].map((name) =>
      reported(0, report(name), 100),
    );
    const ticks = [100, 300, 499, 500, 899, 900, 950].map(tick);
    expect(asked([...events, ...ticks])).to.have.length(3);
    expect(new Set(asked([...events, ...ticks])).size).to.equal(3);
  });

  it('asks another peer at once when one fails, and the same one after a pause', () => {
    const events = [
      reported(0, report('p1')),
      reported(10, report('p2', remote)),
      ended(50, 'p1', 'failed'),
      ended(60, 'p2', 'busy'),
      ...[100, 179, 180].map(tick),
    ];
    expect(asked(events)).to.deep.equal(['p1', 'p2', 'p2']);
  });

  it('reads the store when no peer helps in time, and again after a second', () => {
    const events = [
      reported(0, report('p1')),
      ended(900, 'p1', 'failed'),
      ...[999, 1000, 1500, 1900, 2000].map(tick),
    ];
    expect(asked(events)).to.deep.equal(['p1', 'store', 'p1', 'store']);
  });

  it('waits for the notification of the store only while it is up to date', () => {
    const step = run([
      reported(0, report('p1'), 250),
      reported(200, report('p2', { version: 8 }), 250),
      tick(250),
    ]);
    expect(step.effects).to.have.length(1);
    expect(newestReported(step.state)).to.equal(8);
    expect(behindSinceMs(step.state)).to.equal(0);
    const { state } = run(
      [{ type: 'configSync.applied', version: 7 }],
      step.state,
    );
    expect(behindSinceMs(state)).to.equal(200);
    expect([...state.sources.keys()]).to.deep.equal(['p2']);
  });

  it('forgets versions that no peer has', () => {
    const restarted = run([
      reported(0, report('p1')),
      {
        type: 'configSync.fetchEnded',
        atMs: 50,
        name: 'p1',
        result: { type: 'received', version: 0 },
      },
    ]);
    expect(behindSinceMs(restarted.state)).to.equal(undefined);
    const gone = run([
      reported(0, report('p1')),
      ...[100, 1200, 2300, 3400].flatMap((atMs) => [
        ended(atMs, 'p1', 'failed'),
        tick(atMs + 1000),
      ]),
    ]);
    expect(behindSinceMs(gone.state)).to.equal(undefined);
  });

  // Guards against a peer that is forgotten because it was asked just before it had the
  // next version.
  it('asks a peer again that has reported a newer version meanwhile', () => {
    const events: readonly ConfigSyncEvent[] = [
      reported(0, report('p1')),
      reported(50, report('p1', { version: 8 })),
      { type: 'configSync.applied', version: 7 },
      {
        type: 'configSync.fetchEnded',
        atMs: 100,
        name: 'p1',
        result: { type: 'received', version: 7 },
      },
    ];
    expect(asked(events)).to.deep.equal(['p1', 'p1']);
  });

  it('asks a peer at its new address', () => {
    const moved = { ...report('p1'), address: 'other:7340' };
    const { effects } = run([reported(0, report('p1'), 9), reported(9, moved)]);
    expect(effects).to.have.length(1);
    expect(effects[0]).to.have.nested.property('source.address', 'other:7340');
  });

  it('ignores versions that are not newer', () => {
    const step = run([
      { type: 'configSync.applied', version: 7 },
      reported(0, report('p1')),
      reported(0, report('p2', { version: 6 })),
    ]);
    expect(step.state.sources.size).to.equal(0);
    expect(step.effects).to.deep.equal([]);
  });

  it('reports a newer document without a higher version, once', () => {
    const effects = (events: readonly ConfigSyncEvent[]) =>
      run([{ type: 'configSync.applied', version: 7 }, ...events]).effects;
    const dropped = stored(7, 12);
    expect(effects([stored(7, 11), dropped, dropped])).to.deep.equal([
      {
        type: 'configSync.notNewer',
        document: { era: 1, revision: 12, version: 7 },
        active: 7,
      },
    ]);
    const restored = stored(6, 4, 2);
    expect(effects([stored(7, 11), restored, stored(8, 5, 2)])).to.have.length(
      1,
    );
    const late = [stored(6, 9), stored(7, 11), stored(6, 9)];
    expect(effects(late)).to.deep.equal([]);
  });
});
