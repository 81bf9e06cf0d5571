#!/usr/bin/env node
import { createHost } from './createHost.ts';
import { runCommandLine } from './runCommandLine/index.ts';

void runCommandLine(process.argv.slice(2), createHost()).then((exitCode) => {
  process.exitCode = exitCode;
});
