import { expect } from 'chai';
import {
  type GatewayEvent,
  gatewayReduce,
  initialGatewayState,
  outdatedUntilMs,
  type PeerStatus,
} from '@endivegate/core/forwarding';
import type { ListedTarget } from '@endivegate/contracts/forwarding';
import { createEventLog } from '../../createEventLog/index.ts';
import { createGatewayMetrics } from '../../createGatewayMetrics/index.ts';
import { createGatewayRuntime } from '../../gatewayRuntime/index.ts';
import { createEvacuationWatch } from './evacuationWatch.ts';
import { informedEntries } from './informedEntries.ts';

const evacuate = (dataCentre: string): GatewayEvent => ({
  type: 'evacuations.reported',
  atMs: 0,
  reports: [{ dataCentre, era: 1, revision: 1, isEvacuated: true, ageMs: 0 }],
  source: 'store',
});

const entry = (name: string, protocolVersion?: number): PeerStatus => ({
  ...{ name, peerAddress: '', callerAddress: '', dataCentre: 'a' },
  ...{ startedAtUnixMs: 1, isReady: true, isLeaving: false },
  ...{ configVersion: 1, weight: 1 },
  ...(protocolVersion === undefined ? {} : { protocolVersion }),
});

describe('informedEntries', () => {
  // Guards against callers sent to entries that do not know of an evacuation.
  it('leaves out entries of earlier builds during an evacuation, unless there are no others', () => {
    const entries = [entry('old'), entry('new', 1)];
    const during = gatewayReduce(initialGatewayState, evacuate('a')).state;
    const names = (state: typeof during, from: readonly PeerStatus[]) =>
      informedEntries(state, from).map(({ name }) => name);
    expect(names(initialGatewayState, entries)).to.deep.equal(['old', 'new']);
    expect(names(during, entries)).to.deep.equal(['new']);
    expect(names(during, [entry('old')])).to.deep.equal(['old']);
  });
});

describe('createEvacuationWatch', () => {
  it('sets the metric, and logs a data centre without targets once', async () => {
    const lines: string[] = [];
    const log = createEventLog({
      entryId: 'e',
      write(text, done) {
        lines.push(text);
        done();
      },
    });
    const metrics = createGatewayMetrics();
    const runtime = createGatewayRuntime(log);
    const watch = createEvacuationWatch({
      runtime,
      log,
      metrics,
      bounds: {},
    });
    const target: ListedTarget = {
      ...{ id: 't', service: 's', address: '', dataCentre: 'a' },
      ...{ draining: false, slots: 1, bornMs: 1 },
    };
    runtime.dispatch({ type: 'roster.listed', atMs: 0, targets: [target] });
    runtime.dispatch(evacuate('a'));
    runtime.dispatch(evacuate('nowhere'));
    watch(0);
    watch(200);
    await new Promise<void>((resolve) => {
      log.flush(resolve);
    });
    const unknown = lines
      .join('')
      .split('\n')
      .filter((line) => line.includes('evacuation.unknownDataCentre'));
    expect(unknown).to.have.length(1);
    expect(unknown[0]).to.include('nowhere');
    expect(await metrics.text()).to.include(
      'endivegate_evacuated_data_centres 2',
    );
  });

  // Guards against a pause after a freeze in fleets that have no evacuations.
  it('notices a stop only where data centres are evacuated', () => {
    const resumed = (bounds: { readonly evacuationMs?: number }): boolean => {
      const log = createEventLog({ entryId: 'e', write: () => true });
      const metrics = createGatewayMetrics();
      const runtime = createGatewayRuntime(log);
      const watch = createEvacuationWatch({ runtime, log, metrics, bounds });
      watch(0);
      watch(10_000);
      return outdatedUntilMs(runtime.state().evacuations, 10_000) !== undefined;
    };
    expect(resumed({})).to.equal(false);
    expect(resumed({ evacuationMs: 5000 })).to.equal(true);
  });
});
