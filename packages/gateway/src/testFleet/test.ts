import { expect } from 'chai';
import type { RequestListener } from 'node:http';
import { sign } from '../testGateway/index.ts';
import { settle, startTestFleet, type TestFleet } from './index.ts';

const ENTRIES = 8;
const LIMIT_PER_S = 1;

/** From this long after a target first named its limit, it is kept. */
const KNOWN_AFTER_MS = 3000;
const WINDOW_MS = 4000;

/** One and a half times what the limit allows in the window, and 5 requests. */
const MAX_IN_WINDOW = 1.5 * LIMIT_PER_S * (WINDOW_MS / 1000) + 5;

const REQUEST_INTERVAL_MS = 20;

describe('a fleet of entries', () => {
  let fleet: TestFleet | undefined;

  afterEach(() => {
    fleet?.stop();
    fleet = undefined;
  });

  // Guards against eight entries that each send to a target in need as if it had named
  // no limit, or as if the limit were theirs alone.
  it('sends a target no more requests than the limit that it names', async () => {
    const limitedAtMs: number[] = [];
    const answer: RequestListener = (request, response) => {
      sign(request, response);
      response.end('fine');
    };
    const answerWithLimit: RequestListener = (request, response) => {
      limitedAtMs.push(performance.now());
      response.setHeader('x-limit', String(LIMIT_PER_S));
      answer(request, response);
    };
    fleet = await startTestFleet({
      entries: ENTRIES,
      targets: [answerWithLimit, answer, answer, answer, answer],
      route: { repeat: 'idempotent' },
    });
    const startedAtMs = performance.now();
    const endsAtMs = startedAtMs + KNOWN_AFTER_MS + WINDOW_MS + 1000;
    const statuses: Promise<number>[] = [];
    while (performance.now() < endsAtMs) {
      statuses.push(fleet.ask(statuses.length % ENTRIES));
      await settle(REQUEST_INTERVAL_MS);
    }
    const [firstAtMs = 0] = limitedAtMs;
    const kept = limitedAtMs.filter((ms) => ms >= firstAtMs + KNOWN_AFTER_MS);
    const most = Math.max(
      ...kept.map(
        (fromMs) =>
          kept.filter((ms) => ms >= fromMs && ms < fromMs + WINDOW_MS).length,
      ),
    );
    expect(most).to.be.at.most(MAX_IN_WINDOW);
    expect(new Set(await Promise.all(statuses))).to.deep.equal(new Set([200]));
  });
});
