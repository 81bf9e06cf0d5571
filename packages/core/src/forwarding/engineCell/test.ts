import { expect } from 'chai';
import type { ListedTarget } from '@endivegate/contracts/forwarding';
import {
  initialPeers,
  type PeerStatus,
  reducePeers,
} from '../peerList/index.ts';
import {
  initialRoster,
  reduceRoster,
  type RosterState,
} from '../targetRoster/index.ts';
import { cellTargets, formsCells } from './index.ts';

const rosterOf = (sizes: Readonly<Record<string, number>>): RosterState => {
  const targets = Object.entries(sizes).flatMap(([dataCentre, size]) =>
    Array.from({ length: size }, (_, index): ListedTarget => ({
      id: `${dataCentre}${index}`,
      service: 's',
      address: `10.0.0.${index}:80`,
      dataCentre,
      draining: false,
      slots: 4,
      bornMs: 1,
    })),
  );
  const listed = { type: 'roster.listed', atMs: 0, targets } as const;
  return reduceRoster(initialRoster, listed).state;
};

const targetsOf = ({ targets }: RosterState) => [...targets.values()];

const peersOf = (count: number) =>
  reducePeers(initialPeers, {
    type: 'peers.received',
    atMs: 0,
    peers: Array.from({ length: count }, (_, index): PeerStatus => ({
      name: `e${index}`,
      peerAddress: `10.1.0.${index}:1`,
      callerAddress: `10.1.0.${index}:80`,
      dataCentre: index % 2 === 0 ? 'a' : 'b',
      startedAtUnixMs: 1,
      isReady: true,
      isLeaving: false,
      configVersion: 1,
      weight: 1,
    })),
  }).state;

describe('engineCell', () => {
  it('forms cells only in a large fleet whose data centres all have enough targets', () => {
    const forms = (entries: number, sizes: Readonly<Record<string, number>>) =>
      formsCells({
        roster: rosterOf(sizes),
        peers: peersOf(entries - 1),
        dataCentre: 'a',
      });
    expect(forms(40, { a: 34, b: 34 })).to.equal(true);
    expect(forms(16, { a: 34, b: 34 })).to.equal(false);
    expect(forms(40, { a: 34, b: 33 })).to.equal(false);
    expect(forms(40, { a: 40 })).to.equal(false);
  });

  it('uses the targets of its data centre', () => {
    const targets = targetsOf(rosterOf({ a: 20, b: 20 }));
    const cell = cellTargets(targets, { dataCentre: 'a', nowMs: 0 });
    expect(cell).to.have.length(20);
    expect(cell.every((target) => target.dataCentre === 'a')).to.equal(true);
  });

  it('widens a cell at once when most of its targets are gone or failing', () => {
    const lost = targetsOf(rosterOf({ a: 5, b: 20 }));
    expect(cellTargets(lost, { dataCentre: 'a', nowMs: 0 })).to.have.length(25);
    const failing = targetsOf(rosterOf({ a: 20, b: 20 })).map(
      (target, index) =>
        index < 15 ? { ...target, avoidUntilMs: 400 } : target,
    );
    const query = { dataCentre: 'a', nowMs: 100 };
    expect(cellTargets(failing, query)).to.have.length(40);
    expect(cellTargets(failing, { ...query, nowMs: 400 })).to.have.length(20);
  });
});
