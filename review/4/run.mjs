/** See claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 otherwise. */
import { randomBytes } from 'node:crypto';
import { isTroubled, openRecord, startDeployment } from '../lib/case.mjs';
import { BOUNDS, call, pause } from '../lib/entry.mjs';
import {
  createConfig,
  createTenants,
  HOST,
  newAttemptId,
} from '../lib/deployment.mjs';

const ENTRIES = 6;
const SERVERS = 3;
const WORK_MS = 15;
const PACE_MS = 50;

/** `revoke`: count 3, gap_s 0.1. */
const REVOKED = 3;
const GAP_MS = 100;

const record = openRecord(import.meta.dirname);
const tenants = createTenants()
  .slice(0, REVOKED)
  .map((tenant) => ({ ...tenant, ApiKeys: tenant.ApiKeys.slice(0, 1) }));
const ran = new Map();

const deployment = await startDeployment({
  record,
  entries: ENTRIES,
  config: createConfig({ version: 7, tenants }),
  servers: Array.from({ length: SERVERS }, (_, index) => ({
    service: 'workshop',
    zone: `zone-${'abc'[index]}`,
    handle({ id, request, attempt, answer }) {
      ran.set(attempt, { id, tenant: request.headers['endivegate-tenant'] });
      setTimeout(() => answer(200, `done ${attempt}`), WORK_MS);
    },
  })),
});
const { entries, store, ended, finish } = deployment;
const sent = [];

async function ask(key, holder) {
  const attempt = newAttemptId();
  const entry = entries[Math.floor(Math.random() * entries.length)];
  const result = await call(entry.front, {
    method: 'POST',
    path: `/booking/${attempt}`,
    headers: {
      Host: HOST,
      'Endivegate-Attempt-Id': attempt,
      'Endivegate-Deadline-Ms': '1000',
      Authorization: `Bearer ${key}`,
    },
    body: '{"truck":4}',
    timeoutMs: 2000,
  });
  sent.push({ attempt, holder, entry: entry.name, ...result });
}

let count = 0;
const timer = setInterval(() => {
  count += 1;
  const tenant = tenants[count % (REVOKED + 1)];
  if (tenant === undefined) void ask(randomBytes(10).toString('hex'), 'nobody');
  else void ask(tenant.ApiKeys[0], tenant.Name);
}, PACE_MS);

await pause(2000);
let acknowledgedAtMs = performance.now();
if (isTroubled) {
  for (let taken = 1; taken <= REVOKED; taken += 1) {
    const config = createConfig({
      version: 7 + taken * 2,
      tenants: tenants.slice(taken),
    });
    store.put('op/config', config);
    acknowledgedAtMs = performance.now();
    record.write(
      `version ${config.Version}: ${config.Tenants.length} tenants have a key`,
    );
    await pause(GAP_MS);
  }
}
await pause(6000);
clearInterval(timer);
await pause(2500);

const fromMs = acknowledgedAtMs + BOUNDS.ConfigApplyMs;
sent.sort((a, b) => a.sentAtMs - b.sentAtMs);
sent.forEach(({ attempt, holder, entry, status, reason, sentAtMs }) => {
  const run = ran.get(attempt);
  const text = `${attempt} to ${entry} with a key of ${holder}: ${status || reason}`;
  const by = run === undefined ? '' : `, run by ${run.id} for ${run.tenant}`;
  record.write(text + by, sentAtMs);
});
record.write('the newest version is bound to be in force', fromMs);
const isRevoked = ({ holder, sentAtMs }) =>
  holder === 'nobody' || (isTroubled && sentAtMs > fromMs);
const broken = sent.filter((one) => isRevoked(one) && ran.has(one.attempt));
if (ended.length > 0) finish(2, 'an entry ended by itself');
const served = sent.filter(({ status }) => status === 200).length;
if (served === 0) finish(2, 'nothing is served');
if (broken.length > 0) {
  const strange = broken.filter(({ holder }) => holder === 'nobody').length;
  finish(
    1,
    `ROUTE broken: ${strange} requests ran with keys that no configuration ever held, and ${broken.length - strange} with keys that were taken away`,
  );
}
finish(0, 'ROUTE held');
