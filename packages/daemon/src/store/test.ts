import { expect } from 'chai';
import { Registry } from 'prom-client';
import { createFakeStore, type Fault } from '../table/test.fakeStore.ts';
import { createMeteredPlatform } from './index.ts';

describe('createMeteredPlatform', () => {
  it('counts calls by purpose and fails fast while the store is down', async () => {
    let fault: Fault = 'none';
    let nowMs = 0;
    let storeCalls = 0;
    const registry = new Registry();
    const { platform } = createFakeStore({
      fault: () => {
        storeCalls += 1;
        return fault;
      },
    });
    const metered = createMeteredPlatform(platform, {
      registry,
      nowMs: () => nowMs,
      random: () => 0.5,
    });
    const read = () => metered.get('k', { purpose: 'claims' })();
    await read();
    fault = 'unreachable';
    for (let call = 0; call < 20; call += 1) await read();
    expect(storeCalls).to.equal(6);
    fault = 'none';
    nowMs = 10_000;
    await read();
    await metered.list('p', { purpose: 'table' })();
    expect(storeCalls).to.equal(8);
    const metrics = await registry.getMetricsAsJSON();
    expect(metrics[0]?.values).toMatchSnapshot();
  });
});
