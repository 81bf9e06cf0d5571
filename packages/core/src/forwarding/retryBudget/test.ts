import { expect } from 'chai';
import fc from 'fast-check';
import {
  type BudgetState,
  initialBudget,
  isRetryAllowed,
  reduceBudget,
  type RetryBudgetOptions,
} from './index.ts';

const options: RetryBudgetOptions = {
  ratio: 0.2,
  windowMs: 10_000,
  slack: 100,
  entries: 8,
  uptimeMs: 60_000,
};

const count = (
  state: BudgetState,
  type: 'budget.requested' | 'budget.retried',
  atMs: number,
): BudgetState => reduceBudget(state, { type, atMs, service: 's' }).state;

describe('retryBudget', () => {
  it('allows an entry without requests its share of the slack', () => {
    const repeats = Array.from({ length: 100 }).reduce<{
      state: BudgetState;
      done: number;
    }>(
      (now) =>
        isRetryAllowed(now.state, { service: 's', atMs: 0 }, options)
          ? {
              state: count(now.state, 'budget.retried', 0),
              done: now.done + 1,
            }
          : now,
      { state: initialBudget, done: 0 },
    );
    expect(repeats.done).to.equal(7);
  });

  it('allows more retries after requests, and again once the window has passed', () => {
    const used = Array.from({ length: 7 }).reduce<BudgetState>(
      (state) => count(state, 'budget.retried', 0),
      initialBudget,
    );
    const query = { service: 's', atMs: 0 };
    expect(isRetryAllowed(used, query, options)).to.equal(false);
    const busy = Array.from({ length: 10 }).reduce<BudgetState>(
      (state) => count(state, 'budget.requested', 0),
      used,
    );
    expect(isRetryAllowed(busy, query, options)).to.equal(true);
    expect(isRetryAllowed(used, { ...query, atMs: 12_000 }, options)).to.equal(
      true,
    );
  });

  it('gives a process that has just started no slack', () => {
    const fresh = { ...options, uptimeMs: 0 };
    const query = { service: 's', atMs: 0 };
    expect(isRetryAllowed(initialBudget, query, fresh)).to.equal(false);
    const half = { ...options, uptimeMs: 5_000 };
    expect(isRetryAllowed(initialBudget, query, half)).to.equal(true);
  });

  it('keeps the retries of all entries within the budget in every window', () => {
    const anySteps = fc.array(
      fc.tuple(
        fc.integer({ min: 0, max: 7 }),
        fc.constantFrom('request', 'repeat'),
        fc.integer({ min: 0, max: 400 }),
      ),
      { maxLength: 400 },
    );
    fc.assert(
      fc.property(anySteps, (steps) => {
        const states = new Map<number, BudgetState>();
        const log: { atMs: number; kind: string }[] = [];
        let atMs = 0;
        steps.forEach(([entry, kind, waitMs]) => {
          atMs += waitMs;
          const state = states.get(entry) ?? initialBudget;
          const isRepeat = kind === 'repeat';
          const query = { service: 's', atMs };
          if (isRepeat && !isRetryAllowed(state, query, options)) return;
          const type = isRepeat ? 'budget.retried' : 'budget.requested';
          states.set(entry, count(state, type, atMs));
          log.push({ atMs, kind });
        });
        return log.every(({ atMs: end }) => {
          const within = log.filter(
            (one) => one.atMs <= end && one.atMs > end - options.windowMs,
          );
          const repeats = within.filter((one) => one.kind === 'repeat').length;
          const requests = within.length - repeats;
          return repeats <= options.ratio * requests + options.slack;
        });
      }),
      { seed: 5 },
    );
  });
});
