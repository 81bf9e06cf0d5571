/** Benchmarks have commands of their own; tests make no timing measurements. */
process.stdout.write('Name a benchmark; see package.json.\n');
