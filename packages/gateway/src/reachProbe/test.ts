import { expect } from 'chai';
import { createEventLog } from '../createEventLog/index.ts';
import { createGatewayRuntime } from '../gatewayRuntime/index.ts';
import type { ProbeResult } from '../probeAddress/index.ts';
import { testTargets } from '../testGateway/index.ts';
import { startReachProbe } from './index.ts';

describe('startReachProbe', () => {
  function start(result: ProbeResult) {
    const log = createEventLog({
      entryId: 'e1',
      write: (_text, done) => {
        done();
      },
    });
    const runtime = createGatewayRuntime(log);
    const targets = testTargets(['10.0.0.1:80', '10.0.0.2:80']);
    runtime.dispatch({ type: 'roster.listed', atMs: 0, targets });
    const clock = { nowMs: 0 };
    const reachProbe = startReachProbe({
      runtime,
      now: () => clock.nowMs,
      probe: (_address, done) => {
        done(result);
      },
    });
    const phase = () => runtime.state().targetReach.phase;
    return { runtime, clock, reachProbe, phase };
  }

  /** Adds a request that is open at a target since 0 ms. */
  function addRequest(
    { runtime }: ReturnType<typeof start>,
    helperIds: readonly string[] = [],
  ): void {
    runtime.dispatch({
      type: 'load.started',
      flight: {
        ...{ flightId: 'f', targetId: 't0', helperIds, reservations: [] },
        ...{ partPrefillMs: 0, memoryTokens: 0, contextTokens: 0, value: 1 },
        ...{ isShort: true, gapTargetMs: 0, startedAtMs: 0, isDecoding: false },
      },
    });
  }

  it('does not count parts that an ended request left to its helpers', () => {
    const started = start('accepted');
    const { runtime, clock, reachProbe, phase } = started;
    addRequest(started, ['t1']);
    runtime.dispatch({
      type: 'load.ended',
      flightId: 'f',
      leavesParts: true,
    });
    expect(runtime.state().load.flights.size).to.equal(1);
    clock.nowMs = 6500;
    reachProbe.checkSilence();
    expect(phase()).to.equal('reaching');
    reachProbe.close();
  });

  const rounds = () =>
    new Promise((resolve) => {
      setTimeout(resolve, 20);
    });

  it('asks only when a request is open and no target has sent anything for a while', () => {
    const started = start('accepted');
    const { clock, reachProbe, phase } = started;
    clock.nowMs = 5000;
    reachProbe.checkSilence();
    expect(phase()).to.equal('reaching');
    addRequest(started);
    reachProbe.noteReceived();
    clock.nowMs = 6400;
    reachProbe.checkSilence();
    expect(phase()).to.equal('reaching');
    clock.nowMs = 6500;
    reachProbe.checkSilence();
    expect(phase()).to.equal('probing');
    reachProbe.close();
  });

  it('calls listeners when no probe connects, and none that was removed', async () => {
    const { runtime, reachProbe, phase } = start('unreachable');
    const called: string[] = [];
    reachProbe.onCutOff(() => called.push('kept'));
    reachProbe.onCutOff(() => called.push('removed'))();
    runtime.dispatch({ type: 'targetReach.silent' });
    await rounds();
    expect(phase()).to.equal('cutOff');
    expect(called).to.deep.equal(['kept']);
    reachProbe.close();
  });

  it('is not cut off when the probes connect', async () => {
    const { runtime, reachProbe, phase } = start('accepted');
    runtime.dispatch({ type: 'targetReach.silent' });
    await rounds();
    expect(phase()).to.equal('reaching');
    reachProbe.close();
  });
});
