import { once } from 'node:events';
import {
  loadTable,
  startEntry,
  startStandIn,
  stopAll,
  TRIAL_MODEL,
  WORKSPACE_TOKEN,
} from '../_lib/trialSystem.ts';
import { waitUntilOk } from '../_lib/waitUntilOk.ts';

const OUT_DIR = 'bench/out/trial';
const PLATFORM_URL = 'http://127.0.0.1:4100';
const PROCESS_NUMBERS = [1, 2, 3];

/** Starts all processes of the trial and stops them on SIGINT or SIGTERM. */
async function main(): Promise<void> {
  const options = { outDir: OUT_DIR };
  const instances = 'examples/trial/instances.jsonc';
  const platform = startStandIn(
    'platform',
    ['platform', '--port', '4100', '--instances', instances],
    options,
  );
  const engines = PROCESS_NUMBERS.map((number) =>
    startStandIn(`engine-${number}`, engineArgs(number), options),
  );
  const ledger = startStandIn(
    'ledger-1',
    ['service', '--id', 'ledger-1', '--service', 'ledger', '--port', '4110'],
    options,
  );
  const standIns = [platform, ...engines, ledger];
  const stopped = Promise.race([
    once(process, 'SIGINT'),
    once(process, 'SIGTERM'),
  ]);
  try {
    await loadTable(PLATFORM_URL, 'examples/trial/table.jsonc');
    const entries = PROCESS_NUMBERS.map((number) =>
      startEntry(
        `entry-${number}`,
        `examples/trial/entry-${number}.jsonc`,
        options,
      ),
    );
    standIns.push(...entries);
    await Promise.all(
      PROCESS_NUMBERS.map((number) =>
        waitUntilOk(`http://127.0.0.1:820${number}/readyz`),
      ),
    );
    process.stdout.write(readyMessage());
    await stopped;
  } finally {
    await stopAll(standIns);
  }
}

function engineArgs(number: number): readonly string[] {
  return [
    'engine',
    ...['--id', `engine-${number}`],
    ...['--model', TRIAL_MODEL],
    ...['--port', `410${number}`],
    ...['--data-centre', `dc-${number}`],
    ...['--seed', String(number)],
  ];
}

function readyMessage(): string {
  return `Three entries, three engines, a ledger and the platform are ready.
Their output is in ${OUT_DIR}/. Ask which entries to use, and ask a question:

  curl -s http://127.0.0.1:8201/v1/entries -H 'authorization: Bearer ${WORKSPACE_TOKEN}'
  curl -N http://127.0.0.1:8202/v1/chat/completions \\
    -H 'authorization: Bearer ${WORKSPACE_TOKEN}' \\
    -H 'content-type: application/json' \\
    -d '{"model":"${TRIAL_MODEL}","stream":true,"messages":[{"role":"user","content":"Who is next?"}]}'

Make something fail (docs/PROTOCOLS.md lists all switches):

  curl -X POST http://127.0.0.1:4101/faults/crash
  curl -X PUT http://127.0.0.1:4100/faults -H 'content-type: application/json' -d '{"isDown":true}'

Stop with Ctrl-C.
`;
}

main().catch((error: unknown) => {
  process.stderr.write(`${String(error)}\n`);
  process.exitCode = 1;
});
