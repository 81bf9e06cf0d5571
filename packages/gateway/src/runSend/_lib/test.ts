import { expect } from 'chai';
import type { ForwardingRoute } from '@endivegate/contracts/forwarding';
import type { SendPlan } from '../../planSend/index.ts';
import { createEventTimes } from './eventTimes.ts';
import { createSilenceWatch } from './silenceWatch.ts';
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

describe('createEventTimes', () => {
  it('gives pauses between events, and a usual one once there are enough', () => {
    const times = createEventTimes(0);
    const pauses = [100, 150, 200, 700].map(times.note);
    expect(pauses).to.deep.equal([undefined, 50, 50, 500]);
    expect(times.usualGapMs()).to.equal(undefined);
    times.note(740);
    expect(times.usualGapMs()).to.equal(50);
    expect(times.longestGapMs()).to.equal(500);
    expect(times.silentMs(750)).to.equal(10);
    expect(times.count()).to.equal(5);
  });
});

describe('createSilenceWatch', () => {
  it('asks for the backlog only when time is up, and bears what explains it', async () => {
    const asked: number[] = [];
    await new Promise<void>((resolve) => {
      createSilenceWatch({
        leftMs: (backlogMs) => {
          asked.push(backlogMs);
          if (asked.length === 1) return 1;
          return asked.length === 2 ? 10 : 0;
        },
        backlogMs: () => 7,
        mayEnd: () => true,
        onSilent: resolve,
      }).restart();
    });
    expect(asked).to.deep.equal([0, 7, 7]);
  });

  it('never ends a send that has no bound, nor one that was stopped', async () => {
    let silences = 0;
    const watch = (leftMs: number | undefined) =>
      createSilenceWatch({
        leftMs: () => leftMs,
        backlogMs: () => 0,
        mayEnd: () => true,
        onSilent: () => {
          silences += 1;
        },
      });
    watch(undefined).restart();
    const stopped = watch(1);
    stopped.restart();
    stopped.stop();
    await new Promise((resolve) => {
      setTimeout(resolve, 20);
    });
    expect(silences).to.equal(0);
  });

  it('bears a silence that is due as long as nothing else would take the send', async () => {
    let asked = 0;
    await new Promise<void>((resolve) => {
      createSilenceWatch({
        leftMs: () => 1,
        backlogMs: () => 0,
        mayEnd: () => {
          asked += 1;
          return asked === 2;
        },
        onSilent: resolve,
      }).restart();
    });
    expect(asked).to.equal(2);
  });
});
