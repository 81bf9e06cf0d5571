/** A key is taken away by a configuration whose version is a 64-bit number. */
import path from 'node:path';
import { fileURLToPath } from 'node:url';
import { call, runCase } from '../lib-3/common.mjs';
import { BOUNDS, createFleet, sleep } from '../lib-3/entries.mjs';
import { startServers } from '../lib-3/servers.mjs';
import { startStore } from '../lib-3/store.mjs';

const HERE = path.dirname(fileURLToPath(import.meta.url));

/** Versions increase in uneven steps. */
const FIRST_VERSION =
  process.env.VERSIONS === 'small' ? 10n : 1_796_000_000_000_000_003n;
const STEPS = [0n, 3n, 8n];

/** The longer of the bounds on configurations and on keys. */
const BOUND_MS = Math.max(BOUNDS.ConfigApplyMs, BOUNDS.RevokeMs);
const REVOKE_AT_MS = 5000;
const END_MS = 25_000;
const REQUEST_EVERY_MS = 100;

await runCase(path.join(HERE, 'record.txt'), async (test) => {
  const { record, hasTrouble, onEnd } = test;
  const store = await startStore('127.0.0.1');
  onEnd(() => store.close());
  const ran = new Set();
  const servers = await startServers({
    store,
    count: 3,
    service: 'ledger',
    run({ server, attempt, reply }) {
      ran.add(attempt);
      record.add(`server ${server.id} runs ${attempt}`);
      setTimeout(() => reply(200, `answer to ${attempt}`), 20);
    },
  });
  onEnd(() => servers.close());

  function configure(step, keys) {
    const version = FIRST_VERSION + STEPS[step];
    const config = {
      Version: 'VERSION',
      Routes: [
        {
          Name: 'booking',
          Host: 'a.example',
          Prefix: '/booking/',
          RouteType: 'non_idempotent',
          TimeoutMs: 1000,
          TargetLatencyMs: 150,
          Priority: 1,
          Service: 'ledger',
          MaxAttempts: 1,
        },
      ],
      Services: [{ Name: 'ledger', MaxConnections: 96 }],
      Tenants: [{ Name: 't1', ApiKeys: keys }],
      Limits: {
        MaxHeaderBytes: 16_384,
        MaxBodyBytes: 4_194_304,
        HeaderTimeoutMs: 3000,
        IdleTimeoutMs: 15_000,
      },
    };
    const text = JSON.stringify(config).replace('"VERSION"', String(version));
    store.put('op/config', text);
    record.say(`the store acknowledges version ${version}: ${keys.join(' ')}`);
  }

  configure(0, ['key1', 'key2']);
  const fleet = await createFleet({ store, count: 3 });
  onEnd(() => fleet.stop());
  fleet.entries.forEach(fleet.start);
  if (!(await fleet.awaitReady())) throw new Error('no entry is ready');
  await sleep(BOUNDS.StableWindowMs);

  const startAt = performance.now();
  const now = () => performance.now() - startAt;
  const sent = [];
  const open = [];
  let number = 0;
  async function ask() {
    number += 1;
    const attempt = `a${number}`;
    const key = number % 2 === 0 ? 'key1' : 'key2';
    const entry = fleet.entries[number % fleet.entries.length];
    sent.push({ attempt, key, atMs: now() });
    record.add(`client sends ${attempt} with ${key} to ${entry.name}`);
    const answer = await call(
      {
        ...entry.front,
        method: 'POST',
        path: `/booking/${number}`,
        headers: {
          Host: 'a.example',
          Authorization: `Bearer ${key}`,
          'Endivegate-Attempt-Id': attempt,
          'Endivegate-Deadline-Ms': '1000',
          'Content-Length': 7,
        },
        timeoutMs: 3000,
      },
      'booking',
    );
    record.add(`client gets ${answer.status} for ${attempt}`);
  }
  const traffic = setInterval(() => open.push(ask()), REQUEST_EVERY_MS);
  onEnd(() => clearInterval(traffic));
  await sleep(REVOKE_AT_MS);
  const revokedAtMs = now();
  const keys = hasTrouble ? ['key1'] : ['key1', 'key2'];
  configure(1, keys);
  await sleep(END_MS - now());
  clearInterval(traffic);
  await Promise.all(open);

  const late = sent.filter(
    ({ key, atMs }) => !keys.includes(key) && atMs > revokedAtMs + BOUND_MS,
  );
  const broken = late.filter(({ attempt }) => ran.has(attempt));
  record.say(
    `${broken.length} of ${late.length} requests with a withdrawn key ran that were sent ` +
      `later than ${BOUND_MS} ms after the acknowledgement`,
  );
  return broken.length > 0;
});
