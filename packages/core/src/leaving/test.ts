import { expect } from 'chai';
import type { SharedEvent } from '../events/index.ts';
import { decideNewRequest } from '../decideNewRequest/index.ts';
import { leavingSlice, type LeavingEvent, type LeavingState } from './index.ts';

type Unstamped<T> = T extends unknown ? Omit<T, 'atMs' | 'random'> : never;
type Input = Unstamped<LeavingEvent | SharedEvent>;

const peer = {
  entryId: 'b',
  incarnation: 1,
  region: 'north',
  dataCentre: 'dc',
  host: '127.0.0.1',
  httpPort: 1,
  peerPort: 2,
};
const self = { ...peer, entryId: 'a' };

/** Applies timed events in order and collects their effects. */
function reduceAll(inputs: readonly (readonly [number, Input])[]) {
  return inputs.reduce<{ state: LeavingState; effects: readonly unknown[] }>(
    (done, [atMs, input]) => {
      const event = { ...input, atMs, random: 0 } as LeavingEvent | SharedEvent;
      const step = leavingSlice.reduce(done.state, event);
      return { state: step.state, effects: [...done.effects, ...step.effects] };
    },
    { state: leavingSlice.initial, effects: [] },
  );
}

const received = (requestId: string): Input =>
  ({ type: 'request.received', request: { requestId } }) as Input;
const ended = (requestId: string): Input =>
  ({ type: 'request.ended', requestId }) as Input;
const started: Input = { type: 'entry.started', self };
const membersChanged = (live: readonly (typeof peer)[]): Input => ({
  type: 'members.changed',
  live,
  leaving: [],
  dead: [],
});
const configured: Input = {
  type: 'leaving.configured',
  lingerMs: 15_000,
  drainTimeoutMs: 60_000,
};
const requested: Input = { type: 'leaving.requested' };
const ticked: Input = { type: 'clock.ticked' };
const setupEvents = [
  [0, started],
  [0, configured],
  [0, membersChanged([self, peer])],
] as const;

describe('leavingSlice', () => {
  it('exits when the last request has ended and cached entry lists have expired', () => {
    const whileOpen = reduceAll([
      ...setupEvents,
      [10, received('r1')],
      [20, requested],
      [16_000, ticked],
    ]);
    expect(whileOpen.effects, 'while a request is open').to.deep.equal([]);
    const afterLinger = reduceAll([
      ...setupEvents,
      [10, received('r1')],
      [20, requested],
      [30, ended('r1')],
      [14_000, ticked],
      [15_020, ticked],
      [15_120, ticked],
    ]);
    expect(afterLinger.effects).toMatchSnapshot();
  });

  // Guards against an exit that cuts off answers which the entry relays, or which callers still
  // read.
  it('exits when callers have received all answers', () => {
    const counted = (openAnswers: number): Input => ({
      type: 'leaving.answersCounted',
      openAnswers,
    });
    const whileOpen = [
      ...setupEvents,
      [20, requested],
      [30, counted(1)],
      [16_000, ticked],
    ] as const;
    expect(reduceAll(whileOpen).effects).to.deep.equal([]);
    const { effects } = reduceAll([
      ...whileOpen,
      [17_000, counted(0)],
      [17_000, ticked],
    ]);
    expect(effects[1]).to.include({ reason: 'drained' });
  });

  it('skips the linger time when there is no other entry', () => {
    const result = reduceAll([
      [0, started],
      [0, configured],
      [0, membersChanged([self])],
      [10, received('r1')],
      [20, requested],
      [100, ticked],
      [110, ended('r1')],
      [200, ticked],
    ]);
    expect(result.effects).to.have.length(2);
    expect(result.effects[1]).to.include({ reason: 'drained' });
  });

  it('reports the open requests on a drain timeout or a second stop request', () => {
    const leavingWithOpenRequest = [
      ...setupEvents,
      [10, received('r1')],
      [20, requested],
    ] as const;
    expect(
      reduceAll([...leavingWithOpenRequest, [60_020, ticked]]).effects,
    ).toMatchSnapshot();
    expect(
      reduceAll([...leavingWithOpenRequest, [900, requested]]).effects,
    ).toMatchSnapshot();
  });
});

describe('decideNewRequest', () => {
  it('serves, then relays while callers may use a cached entry list, then refuses', () => {
    const decideAt = (atMs: number, live: readonly (typeof peer)[]) =>
      decideNewRequest(
        reduceAll([
          ...setupEvents,
          [0, membersChanged(live)],
          [20, requested],
          [atMs, ticked],
        ]).state,
      );
    expect(decideNewRequest(reduceAll(setupEvents).state)).to.deep.equal({
      type: 'serve',
    });
    expect(decideAt(100, [peer])).to.deep.equal({ type: 'relay' });
    expect(decideAt(100, [self])).to.have.property('type', 'refuse');
    expect(decideAt(15_100, [peer])).to.have.property('type', 'refuse');
  });
});
