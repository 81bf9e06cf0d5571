#!/usr/bin/env node
import { createRequire } from 'node:module';
import * as E from 'fp-ts/lib/Either.js';
import { type Command, HELP, parseCommand } from './parseCommand/index.ts';
import { runCheck } from './runCheck/index.ts';
import { runDev } from './runDev/index.ts';
import { runServe } from './runServe/index.ts';

const EXIT_USAGE_ERROR = 2;
const EXIT_START_FAILED = 1;

function run(command: Command): Promise<number> {
  switch (command.type) {
    case 'help':
      return print(HELP);
    case 'version':
      return print(`${readVersion()}\n`);
    case 'check':
      return runCheck(command);
    case 'serve':
      return runServe(command.settingsFile);
    case 'dev':
      return runDev(command);
  }
}

function print(text: string): Promise<number> {
  process.stdout.write(text);
  return Promise.resolve(0);
}

function readVersion(): string {
  const require = createRequire(import.meta.url);
  const manifest = require('../package.json') as { readonly version: string };
  return manifest.version;
}

async function main(): Promise<void> {
  const command = parseCommand(process.argv.slice(2));
  if (E.isLeft(command)) {
    process.stderr.write(`endivegate: ${command.left}\n\n${HELP}`);
    process.exitCode = EXIT_USAGE_ERROR;
    return;
  }
  try {
    process.exitCode = await run(command.right);
  } catch (error) {
    process.stderr.write(`endivegate: ${String(error)}\n`);
    process.exitCode = EXIT_START_FAILED;
  }
}

void main();
