import { expect } from 'chai';
import { request } from 'undici';
import type { Entry } from '../createEntry/index.ts';
import {
  LOCAL_MODEL,
  LOCAL_OPERATOR_TOKEN,
  LOCAL_WORKSPACE_TOKEN,
  type LocalFleet,
  startLocalFleet,
} from './index.ts';

const headers = {
  authorization: `Bearer ${LOCAL_WORKSPACE_TOKEN}`,
  'content-type': 'application/json',
};

async function sendPrompt(entry: Entry, maxTokens = 5) {
  const reply = await request(`${entry.callersUrl}/v1/chat/completions`, {
    method: 'POST',
    headers,
    body: JSON.stringify({
      model: LOCAL_MODEL,
      stream: true,
      max_tokens: maxTokens,
      messages: [{ role: 'user', content: 'Who is next in the rota?' }],
    }),
  });
  return { statusCode: reply.statusCode, text: await reply.body.text() };
}

async function requestPayout(entry: Entry, key: string, member = 4) {
  const url = `${entry.callersUrl}/v1/services/ledger/payouts`;
  const reply = await request(url, {
    method: 'POST',
    headers: { ...headers, 'idempotency-key': key },
    body: JSON.stringify({ member }),
  });
  const ran = reply.headers['endivegate-ran'];
  return { statusCode: reply.statusCode, ran, text: await reply.body.text() };
}

describe('startLocalFleet', () => {
  let fleet: LocalFleet;
  const exits: [entryId: string, exitCode: number][] = [];

  before(async () => {
    fleet = await startLocalFleet({
      entryCount: 3,
      settings: { leaving: { drainTimeoutMs: 5_000 } },
      onExit: (exitCode, entryId) => exits.push([entryId, exitCode]),
    });
  });

  after(() => fleet.stop());

  it('streams a complete answer from every entry, whether it is a home or not', async () => {
    const answers = await Promise.all(
      fleet.entries.map((entry) => sendPrompt(entry)),
    );
    answers.forEach(({ statusCode, text }) => {
      expect(statusCode, text).to.equal(200);
      expect(text.match(/"delta":\{"content":/g)).to.have.length(5);
      expect(text).to.contain('"endivegate":{"ran":"yes"}');
      expect(text.endsWith('data: [DONE]\n\n')).to.equal(true);
    });
  });

  it('lists two homes in different data centres', async () => {
    const bodies = await Promise.all(
      fleet.entries.map(async (entry) => {
        const url = `${entry.callersUrl}/v1/entries`;
        const reply = await request(url, { headers });
        return reply.body.json() as Promise<{
          entries: { entryId: string; dataCentre: string }[];
        }>;
      }),
    );
    const ids = bodies.map(({ entries }) =>
      entries.map((e) => e.entryId).toSorted(),
    );
    expect(ids[0]).to.have.length(2);
    expect(ids[1]).to.deep.equal(ids[0]);
    expect(new Set(bodies[0]?.entries.map((e) => e.dataCentre)).size).to.equal(
      2,
    );
  });

  it('runs a payout once, whichever entries it is sent to', async () => {
    const answers = await Promise.all(
      [...fleet.entries, ...fleet.entries].map((entry) =>
        requestPayout(entry, 'p-1'),
      ),
    );
    expect(fleet.ledger.runs()).to.have.length(1);
    expect(new Set(answers.map(({ text }) => text)).size).to.equal(1);
    expect(answers.map(({ ran }) => ran)).to.deep.equal(Array(6).fill('yes'));
    const other = await requestPayout(fleet.entries[0]!, 'p-1', 5);
    expect([other.statusCode, other.ran]).to.deep.equal([422, 'no']);
    expect(fleet.ledger.runs()).to.have.length(1);
  });

  it('brings an accepted edit into force everywhere although the store goes down', async () => {
    const [editor] = fleet.entries as [Entry, ...Entry[]];
    const reply = await request(`${editor.operatorsUrl}/v1/table/edits`, {
      method: 'POST',
      headers: {
        authorization: `Bearer ${LOCAL_OPERATOR_TOKEN}`,
        'content-type': 'application/json',
      },
      body: JSON.stringify({
        editToken: 'edit-0001',
        author: 'test',
        changes: [
          {
            section: 'rows',
            address: ['*', '*', '*'],
            cell: 'weight',
            before: 1,
            after: 2,
          },
        ],
      }),
    });
    const { number } = (await reply.body.json()) as { number: number };
    await fleet.platform.setFaults({ isDown: true });
    const numbers = () =>
      fleet.entries.map((entry) => entry.runtime.state().table.number);
    while (numbers().some((inForce) => inForce !== number)) {
      await new Promise((resolve) => setTimeout(resolve, 20));
    }
    await fleet.platform.setFaults({ isDown: false });
    expect(numbers()).to.deep.equal([2, 2, 2]);
  });

  it('lets an entry leave without cutting a stream', async () => {
    const [leavingEntry, ...others] = fleet.entries as [Entry, Entry, Entry];
    const openAnswer = sendPrompt(leavingEntry, 60);
    await new Promise((resolve) => setTimeout(resolve, 50));
    leavingEntry.leave();
    const lateAnswer = await sendPrompt(leavingEntry);
    expect(lateAnswer.statusCode, lateAnswer.text).to.equal(200);
    const { text } = await openAnswer;
    const tokens = text.match(/"delta":\{"content":/g)?.length;
    expect(text).to.contain(`"completion_tokens":${String(tokens)}`);
    expect(text.endsWith('data: [DONE]\n\n')).to.equal(true);
    const { body } = await request(`${others[0].callersUrl}/v1/entries`, {
      headers,
    });
    expect(await body.text()).to.not.contain(leavingEntry.self.entryId);
    leavingEntry.leave();
    expect(exits).to.have.length(1);
  });
});
