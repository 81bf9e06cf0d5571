#!/usr/bin/env node
process.stdout.write('endivegate 0.1.0\n');
