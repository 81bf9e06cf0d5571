import {
  formatFindings,
  instanceListSchema,
  parseJsonc,
  type InstanceList,
} from '@endivegate/contracts';
import * as E from 'fp-ts/lib/Either.js';
import { readFile } from 'node:fs/promises';
import {
  parseStandInCommand,
  STAND_IN_HELP,
  type StandInCommand,
} from './parseStandInCommand/index.ts';
import { startEngineStandIn } from './startEngineStandIn/index.ts';
import { startPlatformStandIn } from './startPlatformStandIn/index.ts';
import { startServiceStandIn } from './startServiceStandIn/index.ts';

const EXIT_CODE = {
  stopped: 0,
  startFailed: 1,
  invalidCommandLine: 2,
} as const;

/** A running stand-in. */
interface RunningStandIn {
  readonly url: string;
  readonly close: () => Promise<void>;
}

async function start(
  command: Exclude<StandInCommand, { type: 'help' }>,
): Promise<RunningStandIn> {
  switch (command.type) {
    case 'engine':
      return startEngineStandIn(command.options);
    case 'service':
      return startServiceStandIn(command.options);
    case 'platform':
      return startPlatformStandIn({
        ...command.options,
        ...(command.instancesFile === undefined
          ? {}
          : { instances: await readInstances(command.instancesFile) }),
      });
  }
}

async function readInstances(file: string): Promise<InstanceList> {
  const text = await readFile(file, 'utf8');
  const parsed = parseJsonc(text, instanceListSchema, { file });
  if (E.isLeft(parsed)) throw new Error(formatFindings(parsed.left));
  return parsed.right;
}

async function run(): Promise<number> {
  const command = parseStandInCommand(process.argv.slice(2));
  if (E.isLeft(command)) {
    process.stderr.write(`${command.left}\n\n${STAND_IN_HELP}`);
    return EXIT_CODE.invalidCommandLine;
  }
  if (command.right.type === 'help') {
    process.stdout.write(STAND_IN_HELP);
    return EXIT_CODE.stopped;
  }
  const running = await start(command.right);
  process.stdout.write(`${command.right.type} listens on ${running.url}\n`);
  await new Promise((resolve) => {
    process.once('SIGTERM', resolve);
    process.once('SIGINT', resolve);
  });
  await running.close();
  return EXIT_CODE.stopped;
}

run().then(
  (code) => {
    process.exitCode = code;
  },
  (error: unknown) => {
    process.stderr.write(`${String(error)}\n`);
    process.exitCode = EXIT_CODE.startFailed;
  },
);
