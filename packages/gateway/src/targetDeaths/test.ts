import { expect } from 'chai';
import type { ListedTarget } from '@endivegate/contracts/forwarding';
import { createEventLog } from '../createEventLog/index.ts';
import { createGatewayRuntime } from '../gatewayRuntime/index.ts';
import type { ProbeResult } from '../probeAddress/index.ts';
import { type BrokenSend, createTargetDeaths } from './index.ts';

const listed: ListedTarget = {
  id: 't1',
  service: 's',
  address: '10.0.0.1:80',
  dataCentre: 'a',
  draining: false,
  slots: 4,
  bornMs: 1,
};

describe('targetDeaths', () => {
  /** Starts a check whose probes wait until they are given a result. */
  function start() {
    const log = createEventLog({
      entryId: 'e1',
      write: (_text, done) => {
        done();
      },
    });
    const runtime = createGatewayRuntime(log);
    runtime.dispatch({ type: 'roster.listed', atMs: 0, targets: [listed] });
    const probes: ((result: ProbeResult) => void)[] = [];
    const deaths = createTargetDeaths({
      runtime,
      log,
      metrics: { partSuspected: () => undefined },
      now: () => 200,
      probe: (_address, done) => probes.push(done),
    });
    const target = runtime.state().roster.targets.get('t1')!;
    const broken = (attemptId: string): BrokenSend => ({
      attemptId,
      service: 's',
      target,
      parts: ['a', 'b'],
      sentAtMs: 100,
      endedAtMs: 150,
    });
    const recorded = () => [...runtime.state().partSuspects.deaths.values()];
    return { runtime, deaths, probes, broken, recorded };
  }

  const probed = async (probes: readonly unknown[], count: number) => {
    while (probes.length < count) {
      await new Promise((resolve) => {
        setTimeout(resolve, 5);
      });
    }
  };

  it('records a death of each request when the target refuses connections, with one probe', () => {
    const { deaths, probes, broken, recorded } = start();
    deaths.sendBroke(broken('r1'));
    deaths.sendBroke(broken('r2'));
    expect(probes).to.have.length(1);
    probes[0]?.('refused');
    expect(recorded()).to.have.length(2);
    expect(recorded()[0]).to.deep.include({
      service: 's',
      process: 't1@1',
      parts: ['a', 'b'],
      sentAtMs: 100,
      endedAtMs: 150,
      isOwn: true,
    });
    deaths.sendBroke(broken('r3'));
    expect(probes).to.have.length(1);
    expect(recorded()).to.have.length(3);
  });

  // Guards against taking a cut path for a crash.
  it('records none when the target cannot be reached', () => {
    const { deaths, probes, broken, recorded } = start();
    deaths.sendBroke(broken('r1'));
    probes[0]?.('unreachable');
    expect(recorded()).to.have.length(0);
    deaths.sendBroke(broken('r2'));
    expect(probes).to.have.length(2);
  });

  // Guards against an entry that lost its paths to all targets and takes each for a
  // target that a part of a prompt has crashed.
  it('records none while this entry reaches no targets', async () => {
    const { runtime, deaths, probes, broken, recorded } = start();
    ['t1', 't2'].forEach((id) => {
      runtime.dispatch({ type: 'targetReach.failed', atMs: 0, id });
    });
    deaths.sendBroke(broken('r1'));
    probes[0]?.('refused');
    await probed(probes, 2);
    probes[1]?.('refused');
    expect(recorded()).to.have.length(0);
  });

  it('records a death when other targets are reached after all', async () => {
    const { runtime, deaths, probes, broken, recorded } = start();
    ['t1', 't2'].forEach((id) => {
      runtime.dispatch({ type: 'targetReach.failed', atMs: 0, id });
    });
    deaths.sendBroke(broken('r1'));
    probes[0]?.('refused');
    runtime.dispatch({ type: 'targetReach.probed', probed: 3, connected: 1 });
    await probed(probes, 2);
    probes[1]?.('refused');
    expect(recorded()).to.have.length(1);
  });

  // Guards against taking reset connections, or an overfull target, for a crash.
  it('records none when the target goes on accepting connections', async () => {
    const { deaths, probes, broken, recorded } = start();
    deaths.sendBroke(broken('r1'));
    probes[0]?.('accepted');
    await probed(probes, 2);
    probes[1]?.('accepted');
    expect(recorded()).to.have.length(0);
  });

  it('records a death when the target accepted a last connection while it ended', async () => {
    const { deaths, probes, broken, recorded } = start();
    deaths.sendBroke(broken('r1'));
    probes[0]?.('accepted');
    await probed(probes, 2);
    probes[1]?.('refused');
    expect(recorded()).to.have.length(1);
  });

  it('records a death when another process is listed at once', () => {
    const { runtime, deaths, probes, broken, recorded } = start();
    const target = { ...listed, bornMs: 2 };
    runtime.dispatch({ type: 'roster.put', atMs: 0, target });
    deaths.sendBroke(broken('r1'));
    expect(probes).to.have.length(0);
    expect(recorded()).to.have.length(1);
  });

  // Guards against taking a planned end for a crash.
  it('records none when the target was leaving or is no longer listed', () => {
    const { runtime, deaths, probes, broken, recorded } = start();
    const target = { ...listed, draining: true };
    runtime.dispatch({ type: 'roster.put', atMs: 0, target });
    deaths.sendBroke(broken('r1'));
    runtime.dispatch({ type: 'roster.removed', atMs: 0, id: 't1' });
    deaths.sendBroke(broken('r2'));
    expect(probes).to.have.length(0);
    expect(recorded()).to.have.length(0);
  });
});
