import { expect } from 'chai';
import { requestPart } from '@endivegate/core/forwarding';
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
    const probed: string[] = [];
    const deaths = createTargetDeaths({
      runtime,
      log,
      metrics: { partSuspected: () => undefined },
      now: () => 200,
      probe: (address, done) => {
        probes.push(done);
        probed.push(address);
      },
    });
    const target = runtime.state().roster.targets.get('t1')!;
    const broken = (attemptId: string): BrokenSend => ({
      attemptId,
      service: 's',
      target,
      parts: ['a', 'b'],
      fingerprint: 'f1',
      sentAtMs: 100,
      endedAtMs: 150,
    });
    const recorded = () => [...runtime.state().partSuspects.deaths.values()];
    return { runtime, deaths, probes, probed, broken, recorded };
  }

  const countProbes = async (probes: readonly unknown[], count: number) => {
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
    await countProbes(probes, 2);
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
    await countProbes(probes, 2);
    probes[1]?.('refused');
    expect(recorded()).to.have.length(1);
  });

  describe('beside other targets', () => {
    /** Lists a second target, whose probes follow those of the first. */
    function startBeside() {
      const started = start();
      const other = { ...listed, id: 't2', address: '10.0.0.2:80' };
      started.runtime.dispatch({ type: 'roster.put', atMs: 0, target: other });
      started.deaths.sendBroke(started.broken('r1'));
      return started;
    }

    it('records a death when another target accepts, and the first still refuses', () => {
      const { probes, probed, recorded } = startBeside();
      probes[0]?.('refused');
      probes[1]?.('accepted');
      expect(recorded()).to.have.length(0);
      probes[2]?.('refused');
      expect(probed).to.deep.equal([
        '10.0.0.1:80',
        '10.0.0.2:80',
        '10.0.0.1:80',
      ]);
      expect(recorded()).to.have.length(1);
    });

    // Guards against taking the first connection that a cut breaks for a crash, before the
    // entry knows that its paths are lost.
    it('records none when another target refuses too', async () => {
      const { runtime, probes, recorded } = startBeside();
      expect(runtime.state().targetReach.phase).to.equal('reaching');
      probes[0]?.('refused');
      probes[1]?.('refused');
      await countProbes(probes, 3);
      probes[2]?.('refused');
      probes[3]?.('unreachable');
      expect(recorded()).to.have.length(0);
    });

    // Guards against a path that comes back between two probes.
    it('records none when the target accepts again', async () => {
      const { probes, recorded } = startBeside();
      probes[0]?.('refused');
      probes[1]?.('accepted');
      probes[2]?.('accepted');
      await countProbes(probes, 4);
      probes[3]?.('accepted');
      expect(recorded()).to.have.length(0);
    });
  });

  // Guards against reports of entries of earlier builds, which take each broken connection
  // for a crash.
  it('checks a crash that an earlier build reports, once', () => {
    const { deaths, probes, recorded } = start();
    const crash = { fingerprint: 'f1', targetId: 't1' };
    deaths.crashReported(crash);
    deaths.crashReported(crash);
    deaths.crashReported({ ...crash, targetId: 'unknown' });
    expect(probes).to.have.length(1);
    probes[0]?.('refused');
    expect(recorded().map(({ parts }) => parts)).to.deep.equal([
      [requestPart('f1')],
    ]);
  });

  // Guards against taking reset connections, or an overfull target, for a crash.
  it('records none when the target goes on accepting connections', async () => {
    const { deaths, probes, broken, recorded } = start();
    deaths.sendBroke(broken('r1'));
    probes[0]?.('accepted');
    await countProbes(probes, 2);
    probes[1]?.('accepted');
    expect(recorded()).to.have.length(0);
  });

  it('records a death when the target accepted a last connection while it ended', async () => {
    const { deaths, probes, broken, recorded } = start();
    deaths.sendBroke(broken('r1'));
    probes[0]?.('accepted');
    await countProbes(probes, 2);
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
