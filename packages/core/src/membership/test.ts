import { expect } from 'chai';
import fc from 'fast-check';
import { mergeMember } from './_lib/mergeMember.ts';
import {
  membershipSlice,
  type Member,
  type MembershipState,
  type MemberStatus,
  type MemberUpdate,
} from './index.ts';
import { createTestFleet, testAddress, type TestFleet } from './test.fleet.ts';

/** Counts the members that see every member as live. */
function countFullViews(fleet: TestFleet): number {
  const { members } = fleet;
  return members.filter((m) => m.view?.live.length === members.length).length;
}

describe('membershipSlice', () => {
  it('suspects a stopped member and declares it dead, and no other member', () => {
    const fleet = createTestFleet({ size: 40 });
    fleet.run(5_000);
    expect(countFullViews(fleet)).to.equal(40);
    fleet.member(7).paused = true;
    fleet.run(5_000);
    const others = fleet.members.filter((_, index) => index !== 7);
    expect(others.every((m) => m.suspects.has('e7'))).to.equal(true);
    fleet.run(10_000);
    others.forEach((m) => {
      expect([...m.deaths.keys()]).to.deep.equal(['e7']);
    });
  });

  it('declares no live member dead at 20% packet loss', () => {
    const fleet = createTestFleet({ size: 40, loss: 0.2, seed: 4 });
    fleet.run(120_000);
    const deaths = fleet.members.flatMap((m) => [...m.deaths.keys()]);
    expect(deaths).to.deep.equal([]);
  });

  it('readmits a member that was paused for longer than the suspicion timeout', () => {
    const fleet = createTestFleet({ size: 20 });
    fleet.run(3_000);
    fleet.member(3).paused = true;
    fleet.run(20_000);
    expect(fleet.member(0).view?.dead.map((a) => a.entryId)).to.deep.equal([
      'e3',
    ]);
    fleet.member(3).paused = false;
    fleet.run(10_000);
    expect(countFullViews(fleet)).to.equal(20);
    const suspectedByPaused = [...fleet.member(3).suspects.keys()];
    expect(suspectedByPaused, 'suspected by the paused member').to.deep.equal(
      [],
    );
  });

  it('probes indirectly when the direct path between two members is cut', () => {
    const fleet = createTestFleet({ size: 12 });
    fleet.cut = (from, to) =>
      (from.entryId === 'e0' && to.entryId === 'e1') ||
      (from.entryId === 'e1' && to.entryId === 'e0');
    fleet.run(60_000);
    expect(fleet.members.flatMap((m) => [...m.suspects.keys()])).to.deep.equal(
      [],
    );
  });

  it('merges the regions again after a network partition', () => {
    const fleet = createTestFleet({ size: 40, dataCentres: 4 });
    fleet.run(3_000);
    fleet.cut = (from, to) => from.region !== to.region;
    fleet.run(60_000);
    fleet.members.forEach(({ view, address }) => {
      const regions = new Set(view?.live.map((live) => live.region));
      expect([...regions]).to.deep.equal([address.region]);
    });
    fleet.cut = () => false;
    fleet.run(30_000);
    expect(countFullViews(fleet)).to.equal(40);
  });

  it('tells of a leaving member and of a table number within 3 s', () => {
    const fleet = createTestFleet({ size: 60, loss: 0.05 });
    fleet.run(10_000);
    fleet.dispatch(5, { type: 'leaving.requested' });
    fleet.dispatch(9, { type: 'table.installed', number: 12, rows: [] });
    // Each member installs the table number as soon as it receives it.
    for (let waitedMs = 0; waitedMs < 2_500; waitedMs += 100) {
      fleet.run(100);
      fleet.members.forEach((member, index) => {
        if (member.state.tableNumber >= member.receivedTableNumber) return;
        const number = member.receivedTableNumber;
        fleet.dispatch(index, { type: 'table.installed', number, rows: [] });
      });
    }
    const unaware = fleet.members.filter(
      ({ view }) => !view?.leaving.some(({ entryId }) => entryId === 'e5'),
    );
    expect(unaware).to.deep.equal([]);
    const behind = fleet.members.filter((m) => m.state.tableNumber !== 12);
    expect(behind.map((m) => m.address.entryId)).to.deep.equal([]);
  });

  it('propagates each of several departures to every member', () => {
    const fleet = createTestFleet({ size: 150, seed: 3 });
    fleet.run(2_000);
    const leavingIndexes = [3, 24, 45, 66, 87, 108];
    const unaware = leavingIndexes.map((index) => {
      fleet.dispatch(index, { type: 'leaving.requested' });
      fleet.run(2_500);
      return fleet.members.filter(
        ({ view }) =>
          !view?.leaving.some(({ entryId }) => entryId === `e${index}`),
      ).length;
    });
    expect(unaware).to.deep.equal(leavingIndexes.map(() => 0));
  });

  it('removes a member that announced its exit without suspecting it', () => {
    const fleet = createTestFleet({ size: 20 });
    fleet.run(3_000);
    fleet.dispatch(5, { type: 'leaving.requested' });
    fleet.dispatch(5, { type: 'leaving.finished' });
    fleet.member(5).paused = true;
    fleet.run(2_000);
    const others = fleet.members.filter((_, index) => index !== 5);
    expect(others.every((m) => m.deaths.has('e5'))).to.equal(true);
    expect(others.flatMap((m) => [...m.suspects.keys()])).to.deep.equal([]);
  });

  it('never lets the outdated instance list override what members reported', () => {
    const fleet = createTestFleet({ size: 10 });
    fleet.run(3_000);
    fleet.member(4).paused = true;
    fleet.run(15_000);
    const entries = fleet.members.map((m) => ({
      ...m.address,
      leaving: false,
    }));
    fleet.dispatch(0, { type: 'membership.listed', entries });
    fleet.run(100);
    const dead = fleet.member(0).view?.dead.map(({ entryId }) => entryId);
    expect(dead).to.deep.equal(['e4']);
    const restarted = { ...testAddress(4), incarnation: 2, leaving: false };
    fleet.dispatch(0, { type: 'membership.listed', entries: [restarted] });
    fleet.run(100);
    expect(fleet.member(0).view?.live).to.deep.include(restartedAddress(2));
  });

  it('reports a later process with the same id once, and ignores a dead one', () => {
    const self = testAddress(0);
    const fetchedUpdate = (status: MemberStatus, incarnation: number) => ({
      type: 'membership.fetched' as const,
      atMs: 1,
      random: 0,
      updates: [
        {
          entryId: self.entryId,
          incarnation,
          revision: 0,
          status,
          leaving: false,
          address: undefined,
        },
      ],
    });
    const events = [
      { type: 'entry.started' as const, atMs: 0, random: 0, self },
      fetchedUpdate('dead', 9),
      fetchedUpdate('alive', 3),
      fetchedUpdate('alive', 3),
      fetchedUpdate('suspect', 3),
    ];
    const { effects } = events.reduce<{
      state: MembershipState;
      effects: readonly unknown[];
    }>(
      (done, event) => {
        const step = membershipSlice.reduce(done.state, event);
        return {
          state: step.state,
          effects: [...done.effects, ...step.effects],
        };
      },
      { state: membershipSlice.initial, effects: [] },
    );
    expect(effects).to.deep.equal([
      { type: 'membership.superseded', incarnation: 3 },
    ]);
  });

  it('marks a member as leaving when the instance list reports it first', () => {
    const fleet = createTestFleet({ size: 10 });
    fleet.run(3_000);
    const entries = [{ ...testAddress(4), leaving: true }];
    fleet.dispatch(0, { type: 'membership.listed', entries });
    fleet.run(2_000);
    const views = fleet.members.filter((m) => m.address.entryId !== 'e4');
    views.forEach(({ view }) => {
      expect(view?.leaving.map((a) => a.entryId)).to.deep.equal(['e4']);
    });
  });

  it('sends the same number of packets per member at any fleet size', () => {
    const perMember = [10, 40, 160].map((size) => {
      const fleet = createTestFleet({ size });
      fleet.run(20_000);
      const before = fleet.packets();
      fleet.run(10_000);
      return (fleet.packets() - before) / size / 10;
    });
    // One ping and one ack per second.
    perMember.forEach((rate) => {
      expect(rate).to.be.closeTo(2, 0.1);
    });
  });
});

function restartedAddress(incarnation: number) {
  return { ...testAddress(4), incarnation };
}

const updates = fc.array(
  fc.record({
    incarnation: fc.integer({ min: 1, max: 3 }),
    revision: fc.integer({ min: 0, max: 3 }),
    status: fc.constantFrom('alive', 'suspect', 'dead'),
    leaving: fc.boolean(),
  }),
  { maxLength: 8 },
);

describe('mergeMember', () => {
  it('gives the same result for any order and repetition of updates', () => {
    const merge = (list: readonly Partial<MemberUpdate>[]) =>
      list.reduce<Member | undefined>((known, update) => {
        const incarnation = update.incarnation ?? 1;
        const address = { ...testAddress(1), incarnation };
        const full = { ...update, entryId: 'e1', address } as MemberUpdate;
        return mergeMember(known, full, 0);
      }, undefined);
    fc.assert(
      fc.property(
        updates.chain((list) =>
          fc.tuple(
            fc.constant(list),
            fc.shuffledSubarray([...list, ...list], {
              minLength: 2 * list.length,
            }),
          ),
        ),
        ([list, shuffled]) => {
          expect(merge(shuffled)).to.deep.equal(merge(list));
        },
      ),
      { seed: 1, numRuns: 500 },
    );
  });
});
