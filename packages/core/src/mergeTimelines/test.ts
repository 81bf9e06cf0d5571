import { expect } from 'chai';
import { matchTimeline, type TimelineRecord } from '../matchTimeline/index.ts';
import { mergeTimelines } from './index.ts';

const record = (
  entryId: string,
  wallMs: number,
  event: TimelineRecord['event'],
): TimelineRecord => ({ entryId, timestamp: { wallMs, counter: 0 }, event });

const records = [
  record('a', 10, {
    type: 'request.received',
    requestId: 'r1',
    workspace: 'w',
  }),
  record('a', 20, {
    type: 'request.received',
    requestId: 'r2',
    workspace: 'v',
  }),
  record('a', 30, { type: 'attempt.started', requestId: 'r1', targetId: 't' }),
  record('a', 40, { type: 'request.ended', requestId: 'r1' }),
];

describe('matchTimeline', () => {
  it('selects all records of the requests of a workspace or target', () => {
    const times = (filter: Parameters<typeof matchTimeline>[1]) =>
      matchTimeline(records, filter).map(({ timestamp }) => timestamp.wallMs);
    expect(times({ workspace: 'w' })).to.deep.equal([10, 30, 40]);
    expect(times({ targetId: 't' })).to.deep.equal([10, 30, 40]);
    expect(times({ requestId: 'r2' })).to.deep.equal([20]);
    expect(times({ sinceWallMs: 25 })).to.deep.equal([30, 40]);
    expect(times({ limit: 1 })).to.deep.equal([40]);
  });
});

describe('mergeTimelines', () => {
  it('orders the records of all entries and reports the missing entries', () => {
    const other = record('b', 25, { type: 'entry.started' });
    const merged = mergeTimelines([
      { type: 'records', records },
      { type: 'gap', entryId: 'c', reason: 'dead' },
      { type: 'records', records: [other] },
    ]);
    expect(
      merged.records.map((r) => `${r.entryId}${r.timestamp.wallMs}`),
    ).to.deep.equal(['a10', 'a20', 'b25', 'a30', 'a40']);
    expect(merged.gaps).to.deep.equal([{ entryId: 'c', reason: 'dead' }]);
  });
});
