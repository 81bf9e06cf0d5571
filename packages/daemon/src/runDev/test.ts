import { expect } from 'chai';
import { request } from 'undici';
import { type Dev, DEV_WORKSPACE_TOKEN, startDev } from './index.ts';

const headers = {
  authorization: `Bearer ${DEV_WORKSPACE_TOKEN}`,
  'content-type': 'application/json',
};

describe('startDev', () => {
  let dev: Dev;

  before(async () => {
    dev = await startDev({ port: 0, operatorsPort: 0 });
  });

  after(() => dev.stop());

  it('streams the whole answer of an engine and says that it ran', async () => {
    const reply = await request(`${dev.entry.callersUrl}/v1/chat/completions`, {
      method: 'POST',
      headers,
      body: JSON.stringify({
        model: 'demo-model',
        stream: true,
        max_tokens: 5,
        messages: [{ role: 'user', content: 'Who is next in the rota?' }],
      }),
    });
    const text = await reply.body.text();
    expect(reply.statusCode).to.equal(200);
    expect(text.match(/"delta":\{"content":/g)).to.have.length(5);
    expect(text).to.contain('"completion_tokens":5');
    expect(text).to.contain('"endivegate":{"ran":"yes"}');
    expect(text.endsWith('data: [DONE]\n\n')).to.equal(true);
  });

  it('passes a call of a plain service through', async () => {
    const url = `${dev.entry.callersUrl}/v1/services/ledger/payouts`;
    const reply = await request(url, {
      method: 'POST',
      headers: { ...headers, 'idempotency-key': 'payout-1' },
      body: JSON.stringify({ member: 4 }),
    });
    expect(reply.statusCode).to.equal(200);
    expect(reply.headers['endivegate-ran']).to.equal('yes');
    await reply.body.dump();
  });

  it('counts ended requests', async () => {
    const reply = await request(`${dev.entry.callersUrl}/metrics`);
    expect(await reply.body.text()).to.contain(
      'endivegate_requests_ended_total{length_class="short",outcome="answered",ran="yes"} 2',
    );
  });
});
