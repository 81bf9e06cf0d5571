import { expect } from 'chai';
import { requestPart, type SendEnd } from '@endivegate/core/forwarding';
import { createEventLog } from '../../createEventLog/index.ts';
import { createGatewayRuntime } from '../../gatewayRuntime/index.ts';
import type { BrokenSend } from '../../targetDeaths/index.ts';
import { fingerprintOf } from '../../forwardRequest/_lib/fingerprintOf.ts';
import { createPartGuard } from '../index.ts';

const request = { path: '/', workspace: 'w1', body: Buffer.from('alike') };
const OWN_PART = requestPart(fingerprintOf(request)());

const HOLD_MS = 10 * 60_000;

describe('createPartGuard', () => {
  /** Starts entries that know each other; their clock is set by the test. */
  function start(...names: readonly string[]) {
    const clock = { nowMs: 1000 };
    const broken: BrokenSend[] = [];
    const refused: string[] = [];
    const entries = names.map((entryName) => {
      const runtime = createGatewayRuntime(
        createEventLog({
          entryId: entryName,
          write: (_text, done) => {
            done();
          },
        }),
      );
      const target = {
        id: 't1',
        service: 's',
        address: '10.0.0.1:80',
        dataCentre: 'a',
        draining: false,
        slots: 4,
        bornMs: 1,
      };
      runtime.dispatch({ type: 'roster.listed', atMs: 0, targets: [target] });
      const guard = (sharedParts: readonly string[]) =>
        createPartGuard(
          {
            ...request,
            attemptId: 'r1',
            service: { name: 's', healthPath: '/h', maxConnections: 1 },
            caller: {
              attemptId: 'r1',
              deadlineMs: undefined,
              lastEventId: undefined,
              key: undefined,
              prompt: undefined,
              sharedParts,
            },
          },
          {
            runtime,
            metrics: {
              partSuspected: ({ event }) => refused.push(event),
            },
            targetDeaths: {
              sendBroke: (send) => broken.push(send),
              crashReported: () => undefined,
            },
            entryName,
            now: () => clock.nowMs,
          },
        );
      const hearPeers = () => {
        runtime.dispatch({
          type: 'peers.received',
          atMs: clock.nowMs,
          peers: names
            .filter((name) => name !== entryName)
            .map((name) => ({
              name,
              peerAddress: `${name}:1`,
              callerAddress: `${name}:2`,
              dataCentre: 'a',
              startedAtUnixMs: 1,
              isReady: true,
              isLeaving: false,
              configVersion: 1,
              weight: 1,
            })),
        });
      };
      return { runtime, guard, hearPeers };
    });
    const block = (parts: readonly string[]) => {
      entries.forEach(({ runtime }) => {
        runtime.dispatch({
          type: 'partSuspects.reportReceived',
          atMs: clock.nowMs,
          deaths: [],
          sounds: [],
          blocks: [
            {
              service: 's',
              parts,
              cause: 'p1',
              level: 0,
              sinceMs: clock.nowMs,
            },
          ],
        });
      });
    };
    return { clock, broken, refused, entries, block };
  }

  it('refuses blocked parts, names them, and limits the time to come back', () => {
    const { refused, entries, block } = start('e1');
    block(['bad']);
    const bad = entries[0]!.guard(['first', 'bad']);
    expect(bad.refusal()).to.equal('parts crash targets: bad');
    expect(bad.isBlocked()).to.equal(true);
    expect(bad.retryAfterMs()).to.equal(60_000);
    const sound = entries[0]!.guard(['first']);
    expect(sound.refusal()).to.equal(undefined);
    expect(sound.isBlocked()).to.equal(false);
    expect(sound.retryAfterMs()).to.equal(0);
    expect(refused).to.deep.equal(['refused']);
  });

  // Guards against every entry trying a part again when its block ends.
  it('lets one request of one entry try again, and not that one twice', () => {
    const { clock, entries, block } = start('e1', 'e2', 'e3', 'e4');
    block(['bad']);
    clock.nowMs += HOLD_MS;
    entries.forEach(({ hearPeers }) => {
      hearPeers();
    });
    const guards = entries.flatMap(({ guard }) => [
      guard(['bad']),
      guard(['bad']),
    ]);
    const tried = guards.filter((guard) => guard.refusal() === undefined);
    expect(tried).to.have.length(1);
    expect(tried[0]?.isBlocked()).to.equal(true);
    expect(tried[0]?.refusal()).to.be.a('string');
    tried[0]?.answerBegan();
    expect(tried[0]?.isBlocked()).to.equal(false);
  });

  // Guards against blaming shared parts for a target that dies after its answer began, and
  // against a request that crashes targets in the middle of its answer.
  it('reports broken connections, after the answer began with the request alone', () => {
    const { clock, broken, entries } = start('e1');
    const { runtime, guard } = entries[0]!;
    const target = runtime.state().roster.targets.get('t1')!;
    const reset: SendEnd = { type: 'broken', reason: 'aborted' };
    const ends: readonly SendEnd[] = [
      { type: 'notSent', reason: 'connect ECONNREFUSED' },
      { type: 'refused', status: 503 },
      { type: 'answered', status: 500 },
    ];
    ends.forEach((end) => {
      guard(['a']).sendEnded({ target, sentAtMs: 0 }, end);
    });
    const begun = guard(['a']);
    begun.answerBegan();
    expect(broken).to.have.length(0);
    begun.sendEnded({ target, sentAtMs: 0 }, reset);
    guard([]).sendEnded({ target, sentAtMs: 0 }, reset);
    expect(broken.map(({ parts }) => parts)).to.deep.equal([
      [OWN_PART],
      [OWN_PART],
    ]);
    broken.length = 0;
    const one = guard(['a']);
    const sentAtMs = clock.nowMs;
    clock.nowMs += 70;
    one.sendEnded({ target, sentAtMs }, reset);
    expect(broken).to.have.length(1);
    expect(broken[0]).to.deep.include({
      parts: [OWN_PART, 'a'],
      sentAtMs: 1000,
      endedAtMs: 1070,
    });
  });

  // Guards against a sound request that stays refused after it was accused wrongly.
  it('tries an accused request again after seconds, and clears it by a complete answer', () => {
    const { clock, entries, block } = start('e1');
    const { runtime, guard } = entries[0]!;
    const target = runtime.state().roster.targets.get('t1')!;
    block([OWN_PART]);
    clock.nowMs += 4999;
    expect(guard([]).refusal()).to.equal('the request crashed several targets');
    clock.nowMs += 1;
    const trial = guard([]);
    expect(trial.refusal()).to.equal(undefined);
    trial.answerBegan();
    expect(guard([]).isBlocked()).to.equal(true);
    trial.sendEnded({ target, sentAtMs: 0 }, { type: 'answered', status: 200 });
    expect(guard([]).isBlocked()).to.equal(false);
  });

  it('takes a complete successful answer for soundness, and records none without need', () => {
    const { clock, entries, block } = start('e1');
    const { runtime, guard } = entries[0]!;
    const target = runtime.state().roster.targets.get('t1')!;
    const before = runtime.state();
    guard(['bad']).sendEnded(
      { target, sentAtMs: 0 },
      { type: 'answered', status: 200 },
    );
    expect(runtime.state()).to.equal(before);
    block(['bad']);
    clock.nowMs += 10;
    guard(['bad']).sendEnded(
      { target, sentAtMs: 0 },
      { type: 'answered', status: 500 },
    );
    expect(guard(['bad']).isBlocked()).to.equal(true);
    guard(['bad']).sendEnded(
      { target, sentAtMs: 0 },
      { type: 'answered', status: 200 },
    );
    expect(guard(['bad']).isBlocked()).to.equal(false);
  });
});
