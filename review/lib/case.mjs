/** What all cases share: the record, the stand-ins of a deployment and the end. */
import { appendFileSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { loopbackRange, pause, startFleet, waitUntilReady } from './entry.mjs';
import { startProxy } from './proxy.mjs';
import { startServer } from './server.mjs';
import { startStore } from './store.mjs';

const START_SPREAD_MS = 300;

/** Whether the disruption takes place. */
export const isTroubled = process.env.TROUBLE !== '0';

/** Longest time that a script may take. */
const LIMIT_MS = 118_000;

/** Exit code of a case that could not run. */
const COULD_NOT_RUN = 2;

/** Opens `record.txt` in the folder of a case. An error of the script, or one that
 * takes too long, ends it as a case that could not run. */
export function openRecord(folder) {
  const path = join(folder, 'record.txt');
  writeFileSync(path, '');
  const startedAtMs = performance.now();
  const at = (ms = performance.now()) => Math.round(ms - startedAtMs);
  /** Writes a line with the time of its event, in ms from the start. */
  const write = (text, atMs) => appendFileSync(path, `${at(atMs)} ${text}\n`);
  const giveUp = (reason) => {
    write(reason);
    process.stderr.write(`${reason}\n`);
    process.exit(COULD_NOT_RUN);
  };
  process.on('uncaughtException', (error) => {
    giveUp(String(error.message));
  });
  setTimeout(() => giveUp('out of time'), LIMIT_MS).unref();
  return { at, write };
}

/**
 * Starts a store, servers and entries on loopback addresses, and waits until the
 * entries are ready.
 *
 * @param options.servers list of `{ service, zone, slots, handle, viaProxy }`
 * @param options.entries number of entries
 * @param options.config first configuration
 */
export async function startDeployment({ record, servers, entries, config }) {
  const range = loopbackRange();
  const store = await startStore(`${range}.200`);
  store.put('op/config', config);
  const started = await Promise.all(
    servers.map((one) => startServer({ host: `${range}.201`, store, ...one })),
  );
  // Servers start within 0.3 s of each other.
  for (const server of started) {
    server.register();
    await pause(START_SPREAD_MS / started.length);
  }
  const storeProxies = await Promise.all(
    Array.from({ length: entries }, () =>
      startProxy(`${range}.202`, store.address),
    ),
  );
  const fleet = await startFleet({
    range,
    count: entries,
    storeAddressOf: (index) => storeProxies[index].address,
  });
  const deployment = {
    range,
    store,
    servers: started,
    storeProxies,
    entries: fleet.entries,
    ended: fleet.ended,
    /** Ends all processes and exits. */
    finish(code, text) {
      record.write(text);
      process.stdout.write(`${text}\n`);
      fleet.close();
      started.forEach((server) => server.close());
      storeProxies.forEach((proxy) => proxy.close());
      store.close();
      process.exit(code);
    },
  };
  if (!(await waitUntilReady(fleet.entries))) {
    deployment.finish(2, 'the entries are not ready');
  }
  await pause(200);
  return deployment;
}
