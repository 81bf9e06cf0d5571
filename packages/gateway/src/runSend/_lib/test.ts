import { expect } from 'chai';
import type { ForwardingRoute } from '@endivegate/contracts/forwarding';
import type { SendPlan } from '../../planSend/index.ts';
import { stallLimitMs } from './stallLimitMs.ts';

const route = {
  repeat: 'stream',
  resumable: true,
  targetLatencyMs: 300,
  gapTargetMs: 250,
} as ForwardingRoute;

const query = {
  route,
  plan: { firstEventMs: 100, partReadMs: 30 } as SendPlan,
  isLast: false,
  hasBegun: true,
  timeLeftMs: 10_000,
  backlogMs: 0,
  silentMs: 0,
};

describe('stallLimitMs', () => {
  it('gives up a stream that is silent without a reason', () => {
    expect(stallLimitMs(query)).to.equal(1000);
    expect(stallLimitMs({ ...query, silentMs: 1000 })).to.equal(0);
  });

  it('bears a silence that reading explains, but not beyond the caller', () => {
    const busy = { ...query, silentMs: 1000, backlogMs: 300 };
    expect(stallLimitMs(busy)).to.equal(550);
    const tooBusy = { ...query, silentMs: 1000, backlogMs: 900 };
    expect(stallLimitMs(tooBusy)).to.equal(0);
  });

  it('never gives up what must not be sent again', () => {
    const once = { ...route, repeat: 'atMostOnce' as const };
    expect(stallLimitMs({ ...query, route: once })).to.equal(undefined);
    const fixed = { ...route, resumable: false };
    expect(stallLimitMs({ ...query, route: fixed })).to.equal(undefined);
    expect(stallLimitMs({ ...query, isLast: true })).to.equal(undefined);
  });
});
