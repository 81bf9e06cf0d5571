/** Returns the used heap size after a forced garbage collection. */
export function usedHeapBytes(): number {
  if (!globalThis.gc) throw new Error('run with --expose-gc');
  globalThis.gc();
  globalThis.gc();
  return process.memoryUsage().heapUsed;
}

/**
 * Returns the CPU time of a function in microseconds per call, after a warm-up.
 */
export function cpuUsPerCall(
  calls: number,
  run: (call: number) => void,
): number {
  for (let call = 0; call < calls / 10; call += 1) run(call);
  const start = process.cpuUsage();
  for (let call = 0; call < calls; call += 1) run(call);
  const { user, system } = process.cpuUsage(start);
  return (user + system) / calls;
}
