import { expect } from 'chai';
import fc from 'fast-check';
import {
  acceptGrant,
  floorOf,
  GRANT_MS,
  grantShare,
  isReportDue,
  newLimitUse,
  noteDemand,
  releaseLimit,
  reportLimit,
  acquireLimit,
  type CoordinatedLimit,
  type LimitUse,
} from './index.ts';

const UNLIMITED = { requestsPerSecond: 1e6, tokensPerSecond: 1e9 };
const STEP_MS = 50;

/** Simulates the homes and coordinators of one limit in virtual time. */
function createHomes(limit: number, homeCount: number) {
  const amounts = { concurrency: limit, ...UNLIMITED };
  const ids = Array.from({ length: homeCount }, (_, n) => `h${n}`);
  const fixed = { limit: amounts, homeCount, isHome: true, coordinatorId: '' };
  const uses = new Map<string, LimitUse>(
    ids.map((id) => [id, newLimitUse(fixed, 0)]),
  );
  const coordinators = new Map<string, CoordinatedLimit>();
  let nowMs = 0;
  const get = (id: string): LimitUse => uses.get(id)!;

  function report(id: string, coordinatorId: string, waiting: number): void {
    const reported = reportLimit(get(id), waiting, nowMs);
    uses.set(id, reported);
    const coordinated = coordinators.get(coordinatorId);
    if (!coordinated) return;
    const { wanted, inFlight } = reported;
    const reply = grantShare(
      coordinated,
      { fromEntryId: id, wanted, inFlight },
      { limit: amounts, homeCount, atMs: nowMs },
    );
    coordinators.set(coordinatorId, reply.coordinated);
    const times = { reportedAtMs: nowMs, atMs: nowMs };
    uses.set(id, acceptGrant(reported, reply.granted, times));
  }

  return {
    ids,
    coordinate: (id: string, sinceMs: number) =>
      coordinators.set(id, { sinceMs, claims: new Map() }),
    stopCoordinating: (id: string) => coordinators.delete(id),
    /** Advances the time; each home requests its demand and sends due reports. */
    step: (
      demandOf: (id: string) => number,
      coordinatorOf: (id: string) => string,
    ) => {
      nowMs += STEP_MS;
      ids.forEach((id) => {
        const missing = Math.max(demandOf(id) - get(id).inFlight, 0);
        Array.from({ length: missing }).forEach(() => {
          const asked = noteDemand(get(id), 1);
          uses.set(id, acquireLimit(asked, 1, nowMs) ?? asked);
        });
        const waiting = Math.max(demandOf(id) - get(id).inFlight, 0);
        if (isReportDue(get(id), waiting, nowMs)) {
          report(id, coordinatorOf(id), waiting);
        }
      });
    },
    end: (id: string, count: number) => {
      Array.from({ length: Math.min(count, get(id).inFlight) }).forEach(() => {
        uses.set(id, releaseLimit(get(id)));
      });
    },
    total: () =>
      [...uses.values()].reduce((sum, { inFlight }) => sum + inFlight, 0),
    inFlight: (id: string) => get(id).inFlight,
    now: () => nowMs,
  };
}

const STEPS_TO_SETTLE = (4 * GRANT_MS) / STEP_MS;
const times = (count: number) => Array.from({ length: count }, (_, n) => n);

describe('limits across homes', () => {
  it('never exceeds the limit while the homes agree on the coordinator', () => {
    const demands = fc.array(fc.integer({ min: 0, max: 80 }), {
      minLength: 4,
      maxLength: 4,
    });
    fc.assert(
      fc.property(
        fc.integer({ min: 1, max: 100 }),
        fc.array(demands, { minLength: 1, maxLength: 8 }),
        (limit, phases) => {
          const homes = createHomes(limit, 4);
          homes.coordinate('h0', 0);
          phases.forEach((wants) => {
            times(40).forEach(() => {
              homes.step(
                (id) => wants[Number(id.slice(1))] ?? 0,
                () => 'h0',
              );
              expect(homes.total()).to.be.at.most(limit);
              homes.ids.forEach((id, n) => {
                const over = homes.inFlight(id) - (wants[n] ?? 0);
                homes.end(id, Math.max(over, 0));
              });
            });
          });
        },
      ),
      { seed: 7, numRuns: 25 },
    );
  });

  it('grants a single busy home of four at least 90% of the limit', () => {
    const homes = createHomes(100, 4);
    homes.coordinate('h0', 0);
    times(STEPS_TO_SETTLE).forEach(() => {
      homes.step(
        (id) => (id === 'h3' ? 200 : 0),
        () => 'h0',
      );
    });
    expect(homes.inFlight('h3')).to.be.within(90, 100);
  });

  it('stays within the limit when a coordinator dies and another takes over', () => {
    const homes = createHomes(100, 4);
    homes.coordinate('h0', 0);
    const busy = (id: string) => ({ h1: 60, h2: 60 })[id] ?? 0;
    times(STEPS_TO_SETTLE).forEach(() => {
      homes.step(busy, () => 'h0');
    });
    homes.stopCoordinating('h0');
    homes.coordinate('h1', homes.now());
    const shifted = (id: string) => ({ h2: 200, h3: 200 })[id] ?? 0;
    const totals = times(2 * STEPS_TO_SETTLE).map(() => {
      homes.step(shifted, () => 'h1');
      homes.end('h1', 1);
      return homes.total();
    });
    expect(Math.max(...totals)).to.be.at.most(100);
    expect(totals.at(-1)).to.be.at.least(90);
  });

  it('grants at most the limit on each side of a network partition', () => {
    const homes = createHomes(100, 4);
    homes.coordinate('h0', 0);
    homes.coordinate('h2', 0);
    const side = (id: string) => (['h0', 'h1'].includes(id) ? 'h0' : 'h2');
    times(STEPS_TO_SETTLE).forEach(() => {
      homes.step(() => 200, side);
    });
    expect(homes.total()).to.be.within(101, 200);
  });

  it('allows each home its floor without a coordinator', () => {
    const homes = createHomes(100, 4);
    times(STEPS_TO_SETTLE).forEach(() => {
      homes.step(
        () => 200,
        () => 'nobody',
      );
    });
    const floor = floorOf({ concurrency: 100, ...UNLIMITED }, 4).concurrency;
    expect(homes.inFlight('h1')).to.equal(floor);
  });

  it('keeps a rate limit over time, including bursts', () => {
    const limit = {
      concurrency: 1e6,
      requestsPerSecond: 10,
      tokensPerSecond: 1e9,
    };
    const fixed = { limit, homeCount: 1, isHome: true, coordinatorId: 'h0' };
    const seconds = 20;
    const { passed } = times((seconds * 1_000) / STEP_MS).reduce(
      ({ use, passed: before }, n) => {
        const next = acquireLimit(use, 1, n * STEP_MS);
        return { use: next ?? use, passed: before + (next ? 1 : 0) };
      },
      { use: newLimitUse(fixed, 0), passed: 0 },
    );
    expect(passed).to.be.within(seconds * 10 - 2, seconds * 10 + 10);
  });
});
