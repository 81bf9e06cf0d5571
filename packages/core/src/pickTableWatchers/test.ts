import { expect } from 'chai';
import type { EntryAddress } from '@endivegate/contracts';
import { pickTableWatchers } from './index.ts';

const members = Array.from({ length: 370 }, (_, index): EntryAddress => ({
  entryId: `entry-${index}`,
  incarnation: 1,
  region: index % 7 < 4 ? 'south' : 'north',
  dataCentre: `dc-${index % 7}`,
  host: '127.0.0.1',
  httpPort: 1,
  peerPort: 1,
}));

describe('pickTableWatchers', () => {
  it('picks two watchers in each data centre', () => {
    const picked = new Set(pickTableWatchers(members));
    const perDataCentre = members
      .filter(({ entryId }) => picked.has(entryId))
      .map(({ dataCentre }) => dataCentre);
    expect(perDataCentre.sort()).toMatchSnapshot();
  });

  it('reassigns one watch when a watcher leaves', () => {
    const picked = pickTableWatchers(members);
    const after = pickTableWatchers(
      members.filter(({ entryId }) => entryId !== picked[0]),
    );
    expect(after.filter((id) => !picked.includes(id))).to.have.length(1);
  });
});
