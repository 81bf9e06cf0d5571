import { expect } from 'chai';
import { request } from 'undici';
import type { Entry } from '../createEntry/index.ts';
import {
  LOCAL_MODEL,
  LOCAL_WORKSPACE_TOKEN,
  type LocalFleet,
  startLocalFleet,
} from '../startLocalFleet/index.ts';

const TOKENS = 50;

/** Slows engines down, so that a stream lasts longer than callers keep an entry list. */
const TIME_SCALE = 0.1;

const headers = {
  authorization: `Bearer ${LOCAL_WORKSPACE_TOKEN}`,
  'content-type': 'application/json',
};

const chat = {
  model: LOCAL_MODEL,
  stream: true,
  max_tokens: TOKENS,
  messages: [{ role: 'user', content: 'Who is next in the rota?' }],
};

async function until(condition: () => boolean): Promise<void> {
  while (!condition()) {
    await new Promise((resolve) => setTimeout(resolve, 20));
  }
}

const hasOpenRequest = ({ runtime }: Entry): boolean =>
  runtime.state().leaving.openRequestIds.size > 0;

describe('an entry that leaves', () => {
  let fleet: LocalFleet;
  const exited = new Map<string, Promise<void>>();

  async function start(drainTimeoutMs: number): Promise<void> {
    exited.clear();
    fleet = await startLocalFleet({
      entryCount: 3,
      engine: { timeScale: TIME_SCALE },
      settings: {
        callers: { port: 0, entriesTtlMs: 1 },
        leaving: { drainTimeoutMs },
      },
      onExit: (_exitCode, entryId) => {
        const entry = fleet.entries.find((one) => one.self.entryId === entryId);
        if (entry !== undefined) exited.set(entryId, entry.stop());
      },
    });
  }

  afterEach(async () => {
    const { entries, engines, ledger, platform } = fleet;
    await Promise.all(
      entries.map((entry) => exited.get(entry.self.entryId) ?? entry.stop()),
    );
    await Promise.all(
      [...engines, ledger, platform].map((standIn) => standIn.close()),
    );
  });

  /** Returns an entry that runs requests of the workspace itself, or relays them, as it is no
   * home of it. */
  async function findEntry(runs: 'runs' | 'relays'): Promise<Entry> {
    const [first] = fleet.entries as [Entry, ...Entry[]];
    const { body } = await request(`${first.callersUrl}/v1/entries`, {
      headers,
    });
    const homes = await body.text();
    const isHome = ({ self }: Entry) => homes.includes(`"${self.entryId}"`);
    return fleet.entries.find((entry) => isHome(entry) === (runs === 'runs'))!;
  }

  // Guards against relayed answers that are cut off, since only requests that the entry runs
  // itself keep its process.
  it('ends after the answers that it relays', async () => {
    await start(60_000);
    const entry = await findEntry('relays');
    const { body } = await request(`${entry.callersUrl}/v1/chat/completions`, {
      method: 'POST',
      headers,
      body: JSON.stringify(chat),
    });
    entry.leave();
    const text = await body.text();
    expect(text.endsWith('data: [DONE]\n\n')).to.equal(true);
    await until(() => exited.has(entry.self.entryId));
  });

  it('ends after the answers that others relay from it', async () => {
    await start(60_000);
    const relaying = await findEntry('relays');
    const homes = fleet.entries.filter((entry) => entry !== relaying);
    const { body } = await request(
      `${relaying.callersUrl}/v1/chat/completions`,
      { method: 'POST', headers, body: JSON.stringify(chat) },
    );
    homes.forEach((home) => {
      home.leave();
    });
    const text = await body.text();
    expect(text.endsWith('data: [DONE]\n\n')).to.equal(true);
    await until(() => homes.every(({ self }) => exited.has(self.entryId)));
  });

  // Guards against requests that get no response at the end of the drain timeout, though it is
  // known by then that they are not answered.
  (['runs', 'relays'] as const).forEach((kind) => {
    it(`says that a request which it ${kind} is broken off at the drain timeout`, async () => {
      await start(200);
      const entry = await findEntry(kind);
      const url = `${entry.callersUrl}/v1/chat/completions`;
      const answer = request(url, {
        method: 'POST',
        headers,
        body: JSON.stringify({ ...chat, stream: false }),
      });
      await until(() => fleet.entries.some(hasOpenRequest));
      entry.leave();
      const { statusCode, headers: received, body } = await answer;
      expect(statusCode).to.be.at.least(500);
      expect(received['endivegate-ran']).to.equal('unknown');
      expect(await body.json()).to.have.property('error');
      await until(() => exited.has(entry.self.entryId));
    });
  });
});
