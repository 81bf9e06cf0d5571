import { expect } from 'chai';
import fc from 'fast-check';
import {
  findBlockedParts,
  initialPartSuspects,
  partReport,
  type PartSuspectsEvent,
  type PartSuspectsState,
  reducePartSuspects,
} from '../index.ts';
import { answered, deathOf, died, SERVICE } from '../test.events.ts';

const arbitraryParts = fc.uniqueArray(fc.constantFrom('a', 'b', 'c', 'd'), {
  minLength: 1,
  maxLength: 3,
});

const arbitraryReport = fc.record({
  deaths: fc.array(
    fc
      .tuple(
        fc.constantFrom('p1', 'p2', 'p3', 'p4'),
        arbitraryParts,
        fc.nat(1000),
        fc.integer({ min: 1, max: 200 }),
      )
      .map(([process, parts, sentAtMs, tookMs]) =>
        deathOf(process, parts, sentAtMs, sentAtMs + tookMs),
      ),
    { maxLength: 5 },
  ),
  sounds: fc.array(
    fc.record({
      service: fc.constant(SERVICE),
      part: fc.constantFrom('a', 'b', 'c', 'd'),
      atMs: fc.nat(1000),
    }),
    { maxLength: 3 },
  ),
  blocks: fc.array(
    fc.record({
      service: fc.constant(SERVICE),
      parts: arbitraryParts.map((parts) => parts.toSorted()),
      cause: fc.constantFrom('p1', 'p2'),
      level: fc.nat(2),
      sinceMs: fc.nat(1000),
    }),
    { maxLength: 2 },
  ),
});

const sorted = (state: PartSuspectsState) => ({
  deaths: [...state.deaths].toSorted(([a], [b]) => (a < b ? -1 : 1)),
  sounds: [...state.sounds].toSorted(([a], [b]) => (a < b ? -1 : 1)),
  blocks: [...state.blocks].toSorted(([a], [b]) => (a < b ? -1 : 1)),
});

/** As in the gateway. */
const TICK_INTERVAL_MS = 200;

/** A request of the simulated callers. */
interface Arrival {
  readonly entry: number;
  readonly isBad: boolean;
  readonly parts: readonly string[];
  readonly target: number;
  readonly gapMs: number;
  readonly runMs: number;
  /** Delay of the next message between entries. */
  readonly delayMs: number;
}

interface Running extends Arrival {
  readonly process: string;
  readonly sentAtMs: number;
  readonly dueMs: number;
}

interface Message {
  readonly dueMs: number;
  readonly from: number;
  readonly event: (atMs: number) => PartSuspectsEvent;
}

/**
 * Plays arrivals at entries that tell each other what they learn. A target dies,
 * with all that it runs, when it begins to answer a request with the bad part.
 * Returns which arrivals were refused.
 */
function play(
  arrivals: readonly Arrival[],
  entries: number,
): readonly boolean[] {
  const states = Array.from({ length: entries }, () => initialPartSuspects);
  const processes = new Map<number, number>();
  let running: readonly Running[] = [];
  let messages: readonly Message[] = [];
  let delayMs = 0;

  const step = (entry: number, event: PartSuspectsEvent): void => {
    const { state, effects } = reducePartSuspects(
      states[entry] ?? initialPartSuspects,
      event,
    );
    states[entry] = state;
    if (effects.every(({ type }) => type !== 'partSuspects.reportDue')) return;
    const sentAtMs = event.atMs;
    const report = partReport(state, {
      nowMs: sentAtMs,
      includeAllBlocks: false,
    });
    if (report === undefined) return;
    // Receivers know ages only, so what they hear seems later by the delay.
    const dueMs = sentAtMs + delayMs;
    const shifted = {
      deaths: report.deaths.map((death) => ({
        ...death,
        sentAtMs: death.sentAtMs + delayMs,
        endedAtMs: death.endedAtMs + delayMs,
      })),
      sounds: report.sounds.map((one) => ({
        ...one,
        atMs: one.atMs + delayMs,
      })),
      blocks: report.blocks.map((one) => ({
        ...one,
        sinceMs: one.sinceMs + delayMs,
      })),
    };
    const eventAt = (atMs: number): PartSuspectsEvent => ({
      type: 'partSuspects.reportReceived',
      atMs,
      ...shifted,
    });
    messages = [...messages, { dueMs, from: entry, event: eventAt }];
  };

  const deliver = (message: Message): void => {
    states.forEach((_state, entry) => {
      if (entry !== message.from) step(entry, message.event(message.dueMs));
    });
  };

  const finish = (one: Running): void => {
    if (!one.isBad) {
      step(one.entry, answered(one.dueMs, one.parts));
      return;
    }
    const victims = running.filter(({ process }) => process === one.process);
    running = running.filter(({ process }) => process !== one.process);
    processes.set(one.target, (processes.get(one.target) ?? 0) + 1);
    [one, ...victims].forEach((victim) => {
      const { process, parts, sentAtMs } = victim;
      const death = deathOf(process, parts, sentAtMs, one.dueMs);
      step(victim.entry, died(death));
    });
  };

  /** Handles what is due until then, in the order of time. */
  const advance = (nowMs: number): void => {
    const [one] = running.toSorted((a, b) => a.dueMs - b.dueMs);
    const [message] = messages.toSorted((a, b) => a.dueMs - b.dueMs);
    const endMs = one?.dueMs ?? Infinity;
    const heardMs = message?.dueMs ?? Infinity;
    if (Math.min(endMs, heardMs) > nowMs) return;
    if (one !== undefined && endMs <= heardMs) {
      running = running.filter((other) => other !== one);
      finish(one);
    } else if (message !== undefined) {
      messages = messages.filter((other) => other !== message);
      deliver(message);
    }
    advance(nowMs);
  };

  let nowMs = 0;
  let tickedAtMs = 0;
  return arrivals.map((arrival) => {
    nowMs += arrival.gapMs;
    advance(nowMs);
    if (nowMs - tickedAtMs >= TICK_INTERVAL_MS) {
      tickedAtMs = nowMs;
      states.forEach((_state, entry) => {
        step(entry, { type: 'partSuspects.ticked', atMs: nowMs });
      });
    }
    delayMs = arrival.delayMs;
    const { entry, parts, target } = arrival;
    const state = states[entry] ?? initialPartSuspects;
    const query = { service: SERVICE, parts, nowMs };
    if (findBlockedParts(state, query) !== undefined) return true;
    const process = `t${target}@${processes.get(target) ?? 0}`;
    const dueMs = nowMs + arrival.runMs;
    running = [...running, { ...arrival, process, sentAtMs: nowMs, dueMs }];
    return false;
  });
}

/** Counts requests with the bad part that were sent over 3 s after the fifth. */
function sentLate(
  arrivals: readonly Arrival[],
  refused: readonly boolean[],
): number {
  const sentAtMs = arrivals.flatMap(({ isBad }, index) =>
    isBad && refused[index] === false
      ? [
          arrivals
            .slice(0, index + 1)
            .reduce((sum, { gapMs }) => sum + gapMs, 0),
        ]
      : [],
  );
  const fifthMs = sentAtMs[4] ?? Infinity;
  return sentAtMs.filter((ms) => ms > fifthMs + 3000).length;
}

const arbitraryArrivals = (entries: number): fc.Arbitrary<Arrival[]> =>
  fc.array(
    fc
      .record({
        entry: fc.nat(entries - 1),
        isBad: fc.integer({ min: 0, max: 3 }).map((one) => one === 0),
        first: fc.constantFrom('f1', 'f2'),
        middle: fc.constantFrom('m1', 'm2', 'm3', 'm4', 'm5', 'm6'),
        isBadFirst: fc.boolean(),
        target: fc.nat(9),
        gapMs: fc.integer({ min: 10, max: 60 }),
        runMs: fc.integer({ min: 30, max: 150 }),
        delayMs: fc.integer({ min: 1, max: 90 }),
      })
      .map(({ first, middle, isBadFirst, ...arrival }) => {
        const badParts = isBadFirst ? ['bad', first] : [first, 'bad', middle];
        return {
          ...arrival,
          parts: arrival.isBad ? badParts : [first, middle],
        };
      }),
    { minLength: 300, maxLength: 300 },
  );

describe('partSuspects over many requests', () => {
  it('comes to the same records for any order and repetition of the same report', () => {
    fc.assert(
      fc.property(
        fc
          .array(arbitraryReport, { minLength: 1, maxLength: 5 })
          .chain((report) =>
            fc.tuple(
              fc.shuffledSubarray(report, { minLength: report.length }),
              fc
                .tuple(
                  fc.shuffledSubarray(report, { minLength: report.length }),
                  fc.shuffledSubarray(report),
                )
                .map((lists) => lists.flat()),
            ),
          ),
        (orders) => {
          const [one, other] = orders.map((report) => {
            const received = report.map((rows): PartSuspectsEvent => ({
              type: 'partSuspects.reportReceived',
              atMs: 1200,
              ...rows,
            }));
            const others = [1, 2, 3].map(() => answered(1200, []));
            const settled: PartSuspectsEvent = {
              type: 'partSuspects.ticked',
              atMs: 1600,
            };
            const state = [...received, ...others, settled].reduce(
              (known, event) => reducePartSuspects(known, event).state,
              initialPartSuspects,
            );
            return sorted(state);
          });
          expect(one).to.deep.equal(other);
        },
      ),
      { seed: 26, numRuns: 300 },
    );
  });

  // Guards against blaming what came beside the part that crashes targets, in mixes
  // where all other parts are shared with sound requests.
  [1, 6].forEach((entries) => {
    it(`finds the part that crashes targets among shared ones, and refuses nothing else, with ${entries} entries`, () => {
      fc.assert(
        fc.property(arbitraryArrivals(entries), (arrivals) => {
          const refused = play(arrivals, entries);
          expect(sentLate(arrivals, refused)).to.be.at.most(3);
          const late = arrivals
            .map((arrival, index) => ({ ...arrival, index }))
            .slice(200);
          late.forEach(({ isBad, index }) => {
            expect(refused[index]).to.equal(isBad);
          });
        }),
        { seed: 26, numRuns: 60 },
      );
    });
  });
});
