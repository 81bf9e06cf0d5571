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

describe('an entry that leaves', () => {
  let fleet: LocalFleet;
  const exited = new Map<string, Promise<void>>();

  before(async () => {
    fleet = await startLocalFleet({
      entryCount: 3,
      engine: { timeScale: TIME_SCALE },
      settings: { callers: { port: 0, entriesTtlMs: 1 } },
      onExit: (_exitCode, entryId) => {
        const entry = fleet.entries.find((one) => one.self.entryId === entryId);
        if (entry !== undefined) exited.set(entryId, entry.stop());
      },
    });
  });

  after(async () => {
    const { entries, engines, ledger, platform } = fleet;
    await Promise.all(
      entries.map((entry) => exited.get(entry.self.entryId) ?? entry.stop()),
    );
    await Promise.all(
      [...engines, ledger, platform].map((standIn) => standIn.close()),
    );
  });

  /** Returns the entry that relays requests of the workspace, as it is no home of it. */
  async function relayingEntry(): Promise<Entry> {
    const [first] = fleet.entries as [Entry, ...Entry[]];
    const { body } = await request(`${first.callersUrl}/v1/entries`, {
      headers,
    });
    const homes = await body.text();
    const relaying = fleet.entries.find(
      ({ self }) => !homes.includes(`"${self.entryId}"`),
    );
    expect(relaying, homes).to.not.equal(undefined);
    return relaying!;
  }

  // Guards against relayed answers that are cut off, since only requests that the entry runs
  // itself keep its process.
  it('ends after the answers that it relays', async () => {
    const entry = await relayingEntry();
    const { body } = await request(`${entry.callersUrl}/v1/chat/completions`, {
      method: 'POST',
      headers,
      body: JSON.stringify(chat),
    });
    entry.leave();
    const text = await body.text();
    expect(text.endsWith('data: [DONE]\n\n')).to.equal(true);
    while (!exited.has(entry.self.entryId)) {
      await new Promise((resolve) => setTimeout(resolve, 20));
    }
  });
});
