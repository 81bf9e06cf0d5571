import { expect } from 'chai';
import * as fc from 'fast-check';
import { createSuspectsFleet, type Action } from './test.fleet.ts';

const kinds = [
  'innocent',
  'applyReport',
  'runEngine',
  'deliverSuspects',
  'wait',
] as const;
const quiet = fc.tuple(fc.constantFrom(...kinds), fc.nat({ max: 5 }));
const mixed = fc.tuple(
  fc.constantFrom('poison' as const, ...kinds),
  fc.nat({ max: 5 }),
);

function play(entries: number, actions: readonly Action[], engines = 12) {
  const fleet = createSuspectsFleet({ entries, engines });
  actions.forEach((action) => {
    fleet.act(action);
  });
  fleet.settle();
  return {
    crashes: fleet.crashes(),
    innocents: new Set(fleet.ends('innocent')),
    poison: new Set(fleet.ends('poison')),
  };
}

function expectInnocentsAnswered(innocents: ReadonlySet<unknown>): void {
  expect([...innocents].filter((end) => end !== 'answered')).to.deep.equal([]);
}

describe('suspectsSlice', () => {
  it('loses at most two engines to a request and answers the requests beside it', () => {
    const sent = ['innocent', 'innocent', 'poison', 'innocent', 'innocent'];
    const result = play(
      1,
      sent.map((kind): Action => [kind as 'poison', 0]),
      2,
    );
    expect(result.crashes).to.be.at.most(2);
    expectInnocentsAnswered(result.innocents);
    expect([...result.poison]).to.deep.equal(['failed']);
  });

  it('refuses a crashing request that is sent again through any entry', () => {
    const fleet = createSuspectsFleet({ entries: 6, engines: 12 });
    fleet.act(['poison', 0]);
    fleet.settle();
    const before = fleet.crashes();
    [0, 1, 2, 3, 4, 5].forEach((entry) => {
      fleet.act(['poison', entry]);
    });
    fleet.settle();
    expect(fleet.crashes()).to.equal(before);
    expect(fleet.ends('poison').slice(1)).to.deep.equal(
      Array.from({ length: 6 }, () => 'refused'),
    );
  });

  it('loses at most three engines to a request sent through two entries', () => {
    fc.assert(
      fc.property(fc.array(mixed, { maxLength: 60 }), (actions) => {
        const { crashes, innocents } = play(2, actions);
        expect(crashes).to.be.at.most(3);
        expectInnocentsAnswered(innocents);
      }),
      { seed: 1, numRuns: 1_000 },
    );
  });

  it('loses one engine an entry and one more at most, through any number', () => {
    fc.assert(
      fc.property(
        fc.integer({ min: 1, max: 6 }),
        fc.array(mixed, { maxLength: 60 }),
        (entries, actions) => {
          const { crashes, innocents } = play(entries, actions);
          expect(crashes).to.be.at.most(entries + 1);
          expectInnocentsAnswered(innocents);
        },
      ),
      { seed: 1, numRuns: 1_000 },
    );
  });

  it('answers every request when none crashes engines', () => {
    fc.assert(
      fc.property(fc.array(quiet, { maxLength: 60 }), (actions) => {
        const { crashes, innocents } = play(3, actions);
        expect(crashes).to.equal(0);
        expectInnocentsAnswered(innocents);
      }),
      { seed: 1, numRuns: 200 },
    );
  });
});
