import { expect } from 'chai';
import fc from 'fast-check';
import type { EntryAddress, TableDocument } from '@endivegate/contracts';
import type { SharedEvent } from '../events/index.ts';
import { findWorkspace } from '../findWorkspace/index.ts';
import {
  TABLE_FIRST_WATCH_MAX_DELAY_MS,
  TABLE_REFRESH_INTERVAL_MS,
  tableSlice,
  type TableEvent,
  type TableState,
} from './index.ts';

const self: EntryAddress = {
  entryId: 'entry-1',
  incarnation: 1,
  region: 'north',
  dataCentre: 'dc-1',
  host: '127.0.0.1',
  httpPort: 1,
  peerPort: 2,
};
const peers = ['entry-2', 'entry-3', 'entry-4'].map((entryId) => ({
  ...self,
  entryId,
}));

function documentOf(number: number): TableDocument {
  const tokenSha256 = [number.toString().repeat(64).slice(0, 64)];
  return {
    rows: [{ workspace: '*', service: '*', kind: '*', weight: number }],
    workspaces: [{ workspace: 'w', tokenSha256 }],
    models: [],
  };
}

type Input = TableEvent | SharedEvent;

function run(
  state: TableState,
  events: readonly Input[],
): { readonly state: TableState; readonly effects: readonly unknown[] } {
  return events.reduce<ReturnType<typeof run>>(
    (combined, event) => {
      const step = tableSlice.reduce(combined.state, event);
      return {
        state: step.state,
        effects: [...combined.effects, ...step.effects],
      };
    },
    { state, effects: [] },
  );
}

const stamp = (atMs: number, random = 0.5) => ({ atMs, random });
const started: Input = { type: 'entry.started', self, ...stamp(0) };
const loaded = (number: number, atMs: number): Input => ({
  type: 'table.loaded',
  number,
  document: documentOf(number),
  ...stamp(atMs),
});

describe('tableSlice', () => {
  it('loads the table at the start, installs it and announces its number', () => {
    expect(
      run(tableSlice.initial, [started, loaded(3, 10)]).effects,
    ).toMatchSnapshot();
  });

  it('loads a newer version from the peer that reported it', () => {
    const before = run(tableSlice.initial, [
      started,
      loaded(3, 10),
      {
        type: 'members.changed',
        live: [self, ...peers],
        leaving: [],
        dead: [],
        ...stamp(20),
      },
    ]);
    const { effects } = run(before.state, [
      {
        type: 'table.numberReported',
        number: 4,
        fromEntryId: 'entry-3',
        ...stamp(30),
      },
    ]);
    expect(effects).to.have.nested.property('[0].peerIds[0]', 'entry-3');
  });

  it('never installs an older version', () => {
    const { state, effects } = run(tableSlice.initial, [
      started,
      loaded(5, 10),
      loaded(4, 20),
    ]);
    expect(state.number).to.equal(5);
    expect(effects.filter(isInstall)).to.have.length(1);
  });

  it('finds a workspace by token hash and drops replaced tokens', () => {
    const { state } = run(tableSlice.initial, [
      started,
      loaded(1, 10),
      loaded(2, 20),
    ]);
    expect(findWorkspace(state, '2'.repeat(64))).to.equal('w');
    expect(findWorkspace(state, '1'.repeat(64))).to.equal(undefined);
  });

  it('loads again after the manifest changed during a load', () => {
    const { effects } = run(tableSlice.initial, [
      started,
      { type: 'table.watchEnded', outcome: 'changed', ...stamp(5) },
      loaded(3, 10),
      { type: 'clock.ticked', ...stamp(11) },
    ]);
    expect(effects.filter(isLoad)).to.have.length(2);
  });

  it('reads from the store at regular intervals without being prompted', () => {
    const ticks = [
      1_000,
      TABLE_REFRESH_INTERVAL_MS,
      TABLE_REFRESH_INTERVAL_MS * 2,
    ];
    const { effects } = run(tableSlice.initial, [
      started,
      loaded(3, 10),
      ...ticks.map((atMs): Input => ({ type: 'clock.ticked', ...stamp(atMs) })),
    ]);
    expect(effects.filter(isLoad)).to.have.length(2);
  });

  it('installs strictly increasing version numbers for any order of events', () => {
    const number = fc.integer({ min: 1, max: 20 });
    const input = fc.oneof(
      number.map((value) => loaded(value, 0)),
      number.map((value): Input => ({
        type: 'table.numberReported',
        number: value,
        fromEntryId: 'entry-2',
        ...stamp(0),
      })),
      fc.constant<Input>({ type: 'table.loadFailed', ...stamp(0) }),
      fc.constant<Input>({ type: 'clock.ticked', ...stamp(0) }),
    );
    fc.assert(
      fc.property(fc.array(input), (inputs) => {
        const numbers = run(tableSlice.initial, [started, ...inputs])
          .effects.filter(isInstall)
          .map((effect) => effect.event.number);
        return numbers.every((value, i) => value > (numbers[i - 1] ?? 0));
      }),
      { seed: 1, numRuns: 300 },
    );
  });

  it('spreads the calls of all entries to the store after an outage', () => {
    const calls = Array.from({ length: 370 }, (_, index) =>
      callsInFirstSecond(index / 370),
    );
    const total = calls.reduce((sum, count) => sum + count, 0);
    expect(total).to.be.below(2_000 / 4);
  });
});

/** Counts one entry's store calls in the first second after a 10-minute outage. */
function callsInFirstSecond(random: number): number {
  const outageEndMs = 600_000;
  let state = run(tableSlice.initial, [
    { ...started, random },
    { ...loaded(1, 0), random },
  ]).state;
  let calls = 0;
  let draw = random;
  for (
    let atMs = TABLE_FIRST_WATCH_MAX_DELAY_MS;
    atMs < outageEndMs + 1_000;
    atMs += 100
  ) {
    draw = (draw * 7.31 + 0.137) % 1;
    const ticked = run(state, [{ type: 'clock.ticked', atMs, random: draw }]);
    const failures = ticked.effects.map((effect): Input => {
      return isLoad(effect)
        ? { type: 'table.loadFailed', atMs, random: draw }
        : { type: 'table.watchEnded', outcome: 'failed', atMs, random: draw };
    });
    if (atMs >= outageEndMs) calls += failures.length;
    state = run(ticked.state, failures).state;
  }
  return calls;
}

function isLoad(effect: unknown): boolean {
  return (effect as { readonly type: string }).type === 'table.load';
}

function isInstall(
  effect: unknown,
): effect is { readonly event: { readonly number: number } } {
  return (effect as { readonly type: string }).type === 'raise';
}
