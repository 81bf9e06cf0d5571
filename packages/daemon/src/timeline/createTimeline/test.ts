import { expect } from 'chai';
import { createTimeline } from './index.ts';

const ended = (requestId: string) =>
  ({
    type: 'request.ended',
    requestId,
    ran: 'yes',
    end: { type: 'answered' },
    atMs: 0,
    random: 0,
  }) as const;

describe('createTimeline', () => {
  it('keeps the latest events within the maximum size, in clock order', () => {
    const timeline = createTimeline({
      entryId: 'a',
      maxBytes: 2_000,
      wallMs: () => 5,
    });
    Array.from({ length: 1_000 }, (_, index) => {
      timeline.record(ended(`r${index}`));
    });
    const ids = timeline.read({}).map(({ event }) => event.requestId);
    expect(timeline.usedBytes()).to.be.within(1_500, 2_000);
    expect(ids.at(-1)).to.equal('r999');
    expect(ids).to.deep.equal(
      ids.map((_, index) => `r${1_000 - ids.length + index}`),
    );
  });

  it('timestamps an event after a received message later than the message', () => {
    let wallMs = 100;
    const timeline = createTimeline({ entryId: 'a', wallMs: () => wallMs });
    timeline.observe({ wallMs: 150, counter: 4 });
    wallMs = 90;
    timeline.record(ended('r1'));
    expect(timeline.read({})).toMatchSnapshot();
  });

  it('stores neither ticks nor prompt content', () => {
    const timeline = createTimeline({ entryId: 'a', wallMs: () => 5 });
    timeline.record({ type: 'clock.ticked', atMs: 0, random: 0 });
    timeline.record({
      type: 'request.received',
      atMs: 0,
      random: 0,
      request: {
        requestId: 'r1',
        workspace: 'w',
        service: 'm',
        kind: 'chat',
        promptTokens: 3,
        maxOutputTokens: 4,
        lengthClass: 'short',
        arrivedAtMs: 0,
        deadlineAtMs: 9,
        priority: 0,
        fingerprint: 'f',
        prefixHashes: ['h'],
        idempotencyKey: 'k',
        repeatable: true,
      },
    });
    expect(timeline.read({})).toMatchSnapshot();
  });
});
