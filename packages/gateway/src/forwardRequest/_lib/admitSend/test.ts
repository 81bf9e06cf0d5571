import { expect } from 'chai';
import type { SendPlan } from '../../../planSend/index.ts';
import type { ForwardCall, ForwardContext } from '../../types.ts';
import { admitSend, type AdmitQuery } from './index.ts';

const plan = {
  target: { id: 't1' },
  firstEventMs: 1200,
  slotWaitMs: 0,
  isShort: false,
  value: 16,
  lateShare: 1,
  delayCost: 8,
} as SendPlan;

/** Admits a long prompt that is late and delays others, and records what follows. */
const admit = (
  query: Partial<AdmitQuery> = {},
  context: Partial<ForwardContext> = {},
) => {
  const seen: string[] = [];
  const stop = admitSend(
    {
      call: { arrivedAtMs: 0 } as ForwardCall,
      plan,
      left: { latencyBudgetMs: 1000, patienceMs: 10_000 },
      isFirst: true,
      isAlone: true,
      mayHaveBegun: false,
      deadlineAtMs: 15_000,
      planNow: () => plan,
      endsInTime: () => true,
      timeLeftNow: () => ({ latencyBudgetMs: 1000, patienceMs: 10_000 }),
      send: (sent) => seen.push(sent === undefined ? 'plan again' : 'send'),
      refuse: ({ message }) => seen.push(message),
      giveUp: (reason) => seen.push(`give up: ${reason}`),
      ...query,
    },
    {
      now: () => 100,
      log: { info: (event: string) => seen.push(event) },
      ...context,
    } as unknown as ForwardContext,
  );
  return { seen, stop };
};

describe('admitSend (admission by deadline slack)', () => {
  it('lets a late long prompt wait, until it is stopped', () => {
    const { seen, stop } = admit();
    expect(seen).to.deep.equal(['request.waiting']);
    stop?.();
    const again = admit({}, { now: () => 2000 });
    expect(again.seen).to.deep.equal([]);
    again.stop?.();
  });

  it('lets nothing wait while the entry leaves', () => {
    const { seen, stop } = admit(
      {},
      {
        shutdown: {
          grace: () => ({ elapsedMs: 0, leftMs: 1000, addressesMs: 3000 }),
          onEnd: () => () => undefined,
        },
      },
    );
    expect(seen).to.deep.equal(['send']);
    expect(stop).to.equal(undefined);
  });

  it('sends again what was sent before, without a wait', () => {
    expect(admit({ isFirst: false }).seen).to.deep.equal(['send']);
  });

  it('refuses at once what its caller would not wait for', () => {
    const left = { latencyBudgetMs: 1000, patienceMs: 1100 };
    expect(admit({ left }).seen).to.deep.equal([
      'no target can answer in time',
    ]);
  });

  it('refuses nothing that may have run', () => {
    const left = { latencyBudgetMs: 1000, patienceMs: 1100 };
    const { seen } = admit({ left, mayHaveBegun: true });
    expect(seen).to.deep.equal(['give up: no target can answer in time']);
  });
});
