/** Benchmarks are commands of their own; tests never time anything. */
process.stdout.write('Name a benchmark; see package.json.\n');
