import { expect } from 'chai';
import fc from 'fast-check';
import { initialRoster, reduceRoster } from '../targetRoster/index.ts';
import {
  isCheckDue,
  type LossEvidence,
  type LossFact,
  lossOf,
  type MemoryUse,
  noteCheck,
  noteStanding,
  peerStanding,
  type ProcessStanding,
  targetStanding,
} from './index.ts';

const SEED = 71;

const TICK_MS = 50;
const CHECK_TIMEOUT_MS = 400;

/** Time from the end of a process, and its removal if it is listed longer, until its send is
 * given up. Memory may stay set aside for 4 s after the request on the users'
 * platform, where other processes learn of the end 1.5 s later. */
const GIVE_UP_MS = 4000 - 1500;

const STALL_MS = 1500;

/** How a process ends, and what the list and the checks say of it. */
interface Timeline {
  /** It answers checks until then. */
  readonly diesAtMs: number;
  readonly unlistedAtMs: number;
  /** A later process is listed from then on. */
  readonly restartsAtMs: number;
  /** It sends something with this period while it lives. */
  readonly sendsEachMs: number;
  /** Whether other processes have memory set aside for the request. */
  readonly holdsMemory: boolean;
  /** This entry has no path to any process in between. */
  readonly cutFromMs: number;
  readonly cutToMs: number;
}

interface Outcome {
  readonly atMs: number;
  readonly fact: LossFact;
}

/** Plays a timeline on the decisions; returns when the send is given up. */
function play(timeline: Timeline, untilMs: number): Outcome | undefined {
  const { diesAtMs, unlistedAtMs, restartsAtMs, sendsEachMs } = timeline;
  const isCut = (atMs: number): boolean =>
    atMs >= timeline.cutFromMs && atMs < timeline.cutToMs;
  let known: LossEvidence | undefined;
  let check: { readonly startedAtMs: number } | undefined;
  let receivedAtMs = 0;
  let memory: MemoryUse = timeline.holdsMemory ? 'unknown' : 'none';
  for (let nowMs = 0; nowMs <= untilMs; nowMs += TICK_MS) {
    const isAlive = nowMs < diesAtMs;
    if (isAlive && !isCut(nowMs) && nowMs % sendsEachMs < TICK_MS) {
      receivedAtMs = nowMs;
    }
    const standing = standingAt(nowMs);
    let evidence = noteStanding(known, standing, nowMs);
    if (check !== undefined) {
      const { startedAtMs } = check;
      const isAnswered = startedAtMs < diesAtMs && !isCut(startedAtMs);
      if (isAnswered || nowMs - startedAtMs >= CHECK_TIMEOUT_MS) {
        const result = isAnswered ? 'alive' : 'unanswered';
        const times = { startedAtMs, endedAtMs: nowMs };
        const hasPath = !isCut(nowMs);
        evidence = noteCheck(evidence, { result, hasPath, ...times });
        check = undefined;
        if (memory !== 'none' && !isAnswered && hasPath) {
          memory = nowMs < diesAtMs + STALL_MS ? 'used' : 'unused';
        }
      }
    }
    known = evidence;
    const silence = { nowMs, silenceMs: nowMs - receivedAtMs };
    const fact = lossOf(evidence, { ...silence, memory });
    if (fact !== undefined) return { atMs: nowMs, fact };
    if (
      check === undefined &&
      isCheckDue(evidence, { ...silence, holdsMemory: memory !== 'none' })
    ) {
      check = { startedAtMs: nowMs };
    }
  }
  return undefined;

  function standingAt(nowMs: number): ProcessStanding {
    if (nowMs >= restartsAtMs) return 'restarted';
    return nowMs >= unlistedAtMs ? 'unlisted' : 'listed';
  }
}

const timeMs = (max: number) => fc.nat(max / TICK_MS).map((n) => n * TICK_MS);

const sound: Timeline = {
  diesAtMs: Infinity,
  unlistedAtMs: Infinity,
  restartsAtMs: Infinity,
  sendsEachMs: Infinity,
  holdsMemory: false,
  cutFromMs: Infinity,
  cutToMs: Infinity,
};

describe('processLoss', () => {
  // Guards against sends, and the memory that they hold, that wait for a process that
  // fell silent at any moment and stayed silent.
  it('gives a send up within its time after the process has ended', () => {
    const dying = fc.record({
      diesAtMs: timeMs(10_000),
      unlistedAfterMs: timeMs(5000),
      sendsEachMs: timeMs(4000).map((ms) => ms + TICK_MS),
    });
    fc.assert(
      fc.property(dying, ({ diesAtMs, unlistedAfterMs, sendsEachMs }) => {
        const unlistedAtMs = diesAtMs + unlistedAfterMs;
        const timeline = { ...sound, diesAtMs, unlistedAtMs, sendsEachMs };
        const outcome = play(timeline, 30_000);
        expect(outcome?.fact).to.equal('unlisted');
        expect(outcome?.atMs).to.be.at.most(
          Math.max(unlistedAtMs, diesAtMs) + GIVE_UP_MS,
        );
      }),
      { seed: SEED },
    );
  });

  // Guards against memory at sound processes that waits for the list to change.
  it('gives a send that holds memory up while its process is still listed', () => {
    fc.assert(
      fc.property(timeMs(10_000), timeMs(4000), (diesAtMs, periodMs) => {
        const sendsEachMs = periodMs + TICK_MS;
        const dying = { ...sound, diesAtMs, sendsEachMs, holdsMemory: true };
        const outcome = play(dying, 30_000);
        expect(outcome?.fact).to.equal('memoryUnused');
        expect(outcome?.atMs).to.be.at.most(diesAtMs + STALL_MS + GIVE_UP_MS);
      }),
      { seed: SEED },
    );
  });

  it('gives a send up when a later process is listed', () => {
    fc.assert(
      fc.property(timeMs(5000), timeMs(5000), (diesAtMs, afterMs) => {
        const restartsAtMs = diesAtMs + afterMs;
        const outcome = play({ ...sound, diesAtMs, restartsAtMs }, 30_000);
        expect(outcome?.fact).to.equal('restarted');
        expect(outcome?.atMs).to.be.at.most(restartsAtMs + 250 + TICK_MS);
      }),
      { seed: SEED },
    );
  });

  // Guards against answers that are lost because their target was removed from the list
  // before it had finished them.
  it('never gives up a send to a process that answers checks, whatever the paths do', () => {
    const leaving = fc.record({
      unlistedAtMs: timeMs(5000),
      sendsEachMs: fc.constantFrom(500, 3000, Infinity),
      holdsMemory: fc.boolean(),
      cutFromMs: timeMs(10_000),
      cutForMs: timeMs(5000),
    });
    fc.assert(
      fc.property(leaving, ({ cutForMs, ...rest }) => {
        const cutToMs = rest.cutFromMs + cutForMs;
        const timeline = { ...sound, ...rest, cutToMs };
        expect(play(timeline, 30_000)).to.equal(undefined);
      }),
      { seed: SEED },
    );
  });

  it('takes a later start under the same id for a restart, not an earlier one', () => {
    const target = {
      ...{ id: 't1', service: 's', address: '10.0.0.1:80', dataCentre: 'a' },
      ...{ draining: false, slots: 4, bornMs: 7 },
    };
    const { state } = reduceRoster(initialRoster, {
      type: 'roster.listed',
      atMs: 0,
      targets: [target],
    });
    const standing = (bornMs: number, id = 't1') =>
      targetStanding(state, { id, bornMs });
    expect([6, 7, 8, 0].map((bornMs) => standing(bornMs))).to.deep.equal([
      'restarted',
      'listed',
      'listed',
      'listed',
    ]);
    expect(standing(7, 't2')).to.equal('unlisted');
  });

  it('takes a silent peer for an unlisted one', () => {
    const peer = {
      ...{ name: 'e2', peerAddress: '10.0.0.1:1', callerAddress: '10.0.0.1:2' },
      ...{ dataCentre: 'a', startedAtUnixMs: 7, isReady: true },
      ...{ isLeaving: false, configVersion: 1, weight: 1, heardAtMs: 0 },
    };
    const peers = new Map([['e2', peer]]);
    const standing = (bornMs: number, nowMs: number, id = 'e2') =>
      peerStanding(peers, { id, bornMs }, nowMs);
    expect(standing(7, 100)).to.equal('listed');
    expect(standing(7, 5000)).to.equal('unlisted');
    expect(standing(6, 100)).to.equal('restarted');
    expect(standing(7, 100, 'e3')).to.equal('unlisted');
  });
});
