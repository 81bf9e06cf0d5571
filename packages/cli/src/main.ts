#!/usr/bin/env node
process.stdout.write('endivegatectl 0.1.0\n');
