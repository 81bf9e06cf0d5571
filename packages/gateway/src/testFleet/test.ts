import { expect } from 'chai';
import type { RequestListener } from 'node:http';
import { sign } from '../testGateway/index.ts';
import {
  settle,
  startTestFleet,
  type TestFleet,
  type TestFleetAnswer,
} from './index.ts';

const ENTRIES = 8;
const LIMIT_PER_S = 1;

/** From this long after a target first named its limit, it is kept. */
const KNOWN_AFTER_MS = 3000;
const WINDOW_MS = 4000;

/** One and a half times what the limit allows in the window, and 5 requests. */
const MAX_IN_WINDOW = 1.5 * LIMIT_PER_S * (WINDOW_MS / 1000) + 5;

const REQUEST_INTERVAL_MS = 20;

const answer: RequestListener = (request, response) => {
  sign(request, response);
  response.end('fine');
};

const answerWithLimit =
  (requestsPerS: number): RequestListener =>
  (request, response) => {
    response.setHeader('x-limit', String(requestsPerS));
    answer(request, response);
  };

describe('a fleet of entries', () => {
  let fleet: TestFleet | undefined;

  afterEach(() => {
    fleet?.stop();
    fleet = undefined;
  });

  // Guards against holding a request that no target may take until its deadline.
  it('refuses at once, with the time until the next permit, when all targets are at their limits', async () => {
    fleet = await startTestFleet({
      entries: 1,
      targets: [answerWithLimit(0.5), answerWithLimit(0.5)],
      route: { repeat: 'idempotent' },
    });
    const first = [await fleet.ask(0), await fleet.ask(0)];
    const refused = await fleet.ask(0);
    expect(first.map(({ status }) => status)).to.deep.equal([200, 200]);
    expect(refused).to.deep.equal({ status: 503, retryAfterS: 1 });
  });

  // Guards against eight entries that each send to a target in need as if it had named
  // no limit, or as if the limit were theirs alone.
  it('sends a target no more requests than the limit that it names', async () => {
    const limitedAtMs: number[] = [];
    const limited: RequestListener = (request, response) => {
      limitedAtMs.push(performance.now());
      answerWithLimit(LIMIT_PER_S)(request, response);
    };
    fleet = await startTestFleet({
      entries: ENTRIES,
      targets: [limited, answer, answer, answer, answer],
      route: { repeat: 'idempotent' },
    });
    const startedAtMs = performance.now();
    const endsAtMs = startedAtMs + KNOWN_AFTER_MS + WINDOW_MS + 1000;
    const answers: Promise<TestFleetAnswer>[] = [];
    while (performance.now() < endsAtMs) {
      answers.push(fleet.ask(answers.length % ENTRIES));
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
    const statuses = (await Promise.all(answers)).map(({ status }) => status);
    expect(new Set(statuses)).to.deep.equal(new Set([200]));
  });
});
