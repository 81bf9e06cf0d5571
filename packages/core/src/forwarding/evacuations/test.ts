import { expect } from 'chai';
import fc from 'fast-check';
import {
  evacuatedDataCentres,
  type EvacuationReport,
  evacuationReports,
  type EvacuationsEvent,
  type EvacuationsState,
  initialEvacuations,
  MAX_STOP_MS,
  outdatedUntilMs,
  reduceEvacuations,
  RESUME_HOLD_MS,
} from './index.ts';

const report = (
  revision: number,
  isEvacuated: boolean,
  { dataCentre = 'a', era = 1 } = {},
): EvacuationReport => ({ dataCentre, era, revision, isEvacuated, ageMs: 0 });

const reported = (...reports: EvacuationReport[]): EvacuationsEvent => ({
  type: 'evacuations.reported',
  atMs: 0,
  reports,
  source: 'peer',
});

const listed = (
  revision: number,
  reports: readonly EvacuationReport[],
  era = 1,
): EvacuationsEvent => ({
  type: 'evacuations.listed',
  atMs: 0,
  at: { era, revision },
  reports,
  source: 'store',
});

const run = (events: readonly EvacuationsEvent[]): EvacuationsState =>
  events.reduce<EvacuationsState>(
    (state, event) => reduceEvacuations(state, event).state,
    initialEvacuations,
  );

const evacuated = (events: readonly EvacuationsEvent[]) =>
  evacuatedDataCentres(run(events)).map(({ dataCentre }) => dataCentre);

interface Write {
  readonly dataCentre: string;
  readonly isEvacuated: boolean;
  /** Whether the store was restored before the write. */
  readonly isRestored: boolean;
}

/** Each write as a fact, and a list after each write. A restored store keeps what it
 * held and gives out revisions again. */
function eventsOf(writes: readonly Write[]): readonly EvacuationsEvent[] {
  const facts = writes.map(({ dataCentre, isEvacuated }, index) => {
    const before = writes.slice(0, index + 1);
    const era = before.filter(({ isRestored }) => isRestored).length;
    const restoredAt = before.findLastIndex(({ isRestored }) => isRestored);
    const revision = 1 + index - Math.max(restoredAt, 0);
    return { dataCentre, isEvacuated, era, revision, ageMs: 0 };
  });
  const lists = facts.map(({ era, revision }, index) => {
    const held = facts
      .slice(0, index + 1)
      .map((fact) => (fact.era === era ? fact : { ...fact, era, revision: 0 }));
    const newest = new Map(held.map((fact) => [fact.dataCentre, fact]));
    const requests = [...newest.values()].filter((one) => one.isEvacuated);
    return listed(revision, requests, era);
  });
  return [...facts.map((fact) => reported(fact)), ...lists];
}

const writesArbitrary = fc.array(
  fc.record({
    dataCentre: fc.constantFrom('a', 'b', 'c'),
    isEvacuated: fc.boolean(),
    isRestored: fc.boolean(),
  }),
  { minLength: 1, maxLength: 12 },
);

/** Some events of one store, in two orders, the second with repetitions. */
const ordersArbitrary = writesArbitrary
  .chain((writes) => fc.subarray([...eventsOf(writes)]))
  .chain((events) =>
    fc.tuple(
      fc.shuffledSubarray(events, { minLength: events.length }),
      fc.shuffledSubarray([...events, ...events], {
        minLength: 2 * events.length,
      }),
    ),
  );

describe('reduceEvacuations', () => {
  // Guards against entries that disagree because they learned facts in other orders.
  it('has one result for any order and repetition of facts and lists', () => {
    fc.assert(
      fc.property(ordersArbitrary, ([first, second]) => {
        expect([...run(second).current].toSorted()).to.deep.equal(
          [...run(first).current].toSorted(),
        );
      }),
      { numRuns: 1000 },
    );
  });

  it('lets a removal win over an older request, whichever comes first', () => {
    const [request, removal] = [
      reported(report(5, true)),
      reported(report(7, false)),
    ];
    expect(evacuated([request])).to.deep.equal(['a']);
    expect(evacuated([request, removal])).to.deep.equal([]);
    expect(evacuated([removal, request])).to.deep.equal([]);
    expect(evacuated([removal, reported(report(8, true))])).to.deep.equal([
      'a',
    ]);
  });

  it('replaces facts that are older than a list, and keeps newer ones', () => {
    const old = reported(report(5, true));
    const late = reported(report(9, true, { dataCentre: 'b' }));
    const list = listed(8, [report(6, true, { dataCentre: 'c' })]);
    expect(evacuated([old, late, list])).to.have.members(['b', 'c']);
    expect(evacuated([list, late, old])).to.have.members(['b', 'c']);
  });

  it('lets a later era win, whatever its revisions', () => {
    const before = reported(report(900, true));
    const restored = listed(3, [], 2);
    expect(evacuated([before, restored])).to.deep.equal([]);
    expect(evacuated([restored, before])).to.deep.equal([]);
  });

  // Guards against a cut-off peer that goes on reporting a removed request.
  it('tells peers of a removal for a while, and again when one contradicts it', () => {
    const removed = run([listed(5, [report(5, true)]), listed(8, [])]);
    const revisions = (state: EvacuationsState, atMs: number) =>
      evacuationReports(state, atMs).map(({ revision }) => revision);
    expect(revisions(removed, 1000)).to.deep.equal([8]);
    expect(revisions(removed, 100_000)).to.deep.equal([]);
    const { state, effects } = reduceEvacuations(removed, {
      type: 'evacuations.reported',
      atMs: 100_000,
      reports: [report(5, true)],
      source: 'peer',
    });
    expect(effects).to.deep.equal([{ type: 'evacuations.reportDue' }]);
    expect(revisions(state, 101_000)).to.deep.equal([8]);
  });

  // Guards against a process that resumes after a stop and sends by what it knew.
  it('counts as outdated for a while after a stop', () => {
    const tick = (atMs: number): EvacuationsEvent => ({
      type: 'evacuations.ticked',
      atMs,
    });
    const state = run([tick(0), tick(200)]);
    expect(outdatedUntilMs(state, 400)).to.equal(undefined);
    const resumedAtMs = 200 + MAX_STOP_MS;
    const untilMs = resumedAtMs + RESUME_HOLD_MS;
    expect(outdatedUntilMs(state, resumedAtMs)).to.equal(untilMs);
    const ticked = run([tick(0), tick(200), tick(resumedAtMs)]);
    expect(outdatedUntilMs(ticked, resumedAtMs + 1)).to.equal(untilMs);
    expect(outdatedUntilMs(ticked, untilMs)).to.equal(undefined);
    expect(outdatedUntilMs(initialEvacuations, 1e6)).to.equal(undefined);
  });
});
