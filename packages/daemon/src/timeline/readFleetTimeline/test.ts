import { expect } from 'chai';
import { membershipSlice, type MemberStatus } from '@endivegate/core';
import { createPeerClient, startPeerServer } from '../../peers/index.ts';
import { createTimeline, type Timeline } from '../createTimeline/index.ts';
import { fromWireFilter, toWireRecord } from '../timelineWire/index.ts';
import { readFleetTimeline } from './index.ts';

function member(entryId: string, peerPort: number, status: MemberStatus) {
  const address = {
    entryId,
    incarnation: 1,
    region: 'north',
    dataCentre: 'dc',
    host: '127.0.0.1',
    httpPort: 1,
    peerPort,
  };
  return { address, revision: 0, status, leaving: false, changedAtMs: 0 };
}

function recordAt(timeline: Timeline, requestId: string) {
  timeline.record({
    type: 'request.callerGone',
    requestId,
    atMs: 0,
    random: 0,
  });
}

describe('readFleetTimeline', () => {
  it('merges the entries that respond and reports the others as gaps', async () => {
    let wallMs = 0;
    const clock = () => (wallMs += 1);
    const localTimeline = createTimeline({ entryId: 'a', wallMs: clock });
    const other = createTimeline({ entryId: 'b', wallMs: clock });
    const server = await startPeerServer({
      host: '127.0.0.1',
      port: 0,
      handlers: {
        timeline: async function* (filter) {
          const records = other.read(fromWireFilter(filter));
          yield* await Promise.resolve(records.map(toWireRecord));
        },
      },
    });
    const client = createPeerClient({ self: { entryId: 'a', incarnation: 1 } });
    recordAt(localTimeline, 'r1');
    recordAt(other, 'r1');
    recordAt(other, 'r2');
    recordAt(localTimeline, 'r1');
    const members = [
      member('b', server.port, 'alive'),
      member('c', 1, 'dead'),
      member('d', 1, 'alive'),
    ];
    try {
      const merged = await readFleetTimeline(
        { requestId: 'r1' },
        {
          localTimeline,
          client,
          members: {
            ...membershipSlice.initial,
            members: new Map(members.map((m) => [m.address.entryId, m])),
          },
        },
      );
      expect({
        records: merged.records,
        gaps: merged.gaps.toSorted((a, b) =>
          a.entryId.localeCompare(b.entryId),
        ),
      }).toMatchSnapshot();
    } finally {
      client.close();
      await server.close();
    }
  });
});
