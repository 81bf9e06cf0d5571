import { readFile } from 'node:fs/promises';

const BYTES_PER_KB = 1_024;
const BYTES_PER_MB = 1_048_576;

/** Clock ticks per second (USER_HZ) in `/proc/<pid>/stat`. */
const TICKS_PER_SECOND = 100;
const MS_PER_TICK = 1_000 / TICKS_PER_SECOND;

/**
 * Returns the resident memory of a process, on Linux.
 *
 * @param pid - Process id.
 * @returns Its resident set, in megabytes.
 */
export async function residentMb(pid: number): Promise<number> {
  const status = await readFile(`/proc/${pid}/status`, 'utf8');
  const kb = Number(/VmRSS:\s+(\d+)/.exec(status)?.[1] ?? NaN);
  return (kb * BYTES_PER_KB) / BYTES_PER_MB;
}

/**
 * Returns the CPU time of a process, on Linux.
 *
 * @param pid - Process id.
 * @returns User and system time since its start, in milliseconds.
 */
export async function cpuTimeMs(pid: number): Promise<number> {
  const stat = await readFile(`/proc/${pid}/stat`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const ticks = Number(fields[11]) + Number(fields[12]);
  return ticks * MS_PER_TICK;
}
