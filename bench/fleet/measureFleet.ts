import type { EntryAddress } from '@endivegate/contracts';
import { fork, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import type {
  WorkerReply,
  MemberSightings,
  WorkerCommand,
  WorkerTotals,
} from './messages.ts';

/** Cost and propagation delays of a fleet of one size. */
export interface FleetFigures {
  readonly members: number;
  /** Sent and received, per member. */
  readonly packetsPerS: number;
  readonly bytesPerS: number;
  readonly cpuPercent: number;
  readonly falseSuspicions: number;
  readonly tableInForceMs: number;
  readonly leavingKnownMs: number;
  readonly firstSuspectMs: number;
  readonly allSuspectMs: number;
  readonly allDeadMs: number;
  /** Results after the loss of a whole data centre. */
  readonly centreLost: {
    readonly members: number;
    /**
     * Time until 99 % of the pairs of survivor and lost member had detected the
     * loss.
     */
    readonly suspectP99Ms: number;
    readonly deadP99Ms: number;
    /**
     * Pairs in which the survivor had not declared the lost member dead at the
     * end.
     */
    readonly unaware: number;
    readonly bytesPerS: number;
    readonly cpuPercent: number;
  };
}

const DATA_CENTRES = 7;
const MAX_WORKERS = 6;
const MEMBERS_PER_WORKER = 25;
const WARM_UP_MS = 6_000;
const STEADY_MS = 8_000;
const DISSEMINATION_MS = 4_000;
const DETECTION_MS = 13_000;
const CENTRE_LOSS_MS = 30_000;

interface Worker {
  readonly child: ChildProcess;
  readonly entryIds: Set<string>;
}

interface Snapshot {
  readonly atMs: number;
  readonly totals: readonly WorkerTotals[];
  readonly sightings: readonly MemberSightings[];
}

/** Measures a fleet of membership-only members over UDP on loopback. */
export async function measureFleet(size: number): Promise<FleetFigures> {
  const count = Math.min(MAX_WORKERS, Math.ceil(size / MEMBERS_PER_WORKER));
  const { workers, addresses } = await startWorkers(size, count);
  const entries = addresses.map((address) => ({ ...address, leaving: false }));
  sendToWorkers(workers, { type: 'list', entries });
  await sleep(WARM_UP_MS);

  const before = await takeSnapshot(workers);
  await sleep(STEADY_MS);
  const after = await takeSnapshot(workers);

  const [first, second, third] = addresses.slice(1);
  const installedAtMs = Date.now();
  sendToWorkers(workers, {
    type: 'install',
    entryId: first!.entryId,
    number: 2,
  });
  sendToWorkers(workers, { type: 'leave', entryId: second!.entryId });
  await sleep(DISSEMINATION_MS);
  const spread = await takeSnapshot(workers);

  const killedAtMs = Date.now();
  sendToWorkers(workers, { type: 'kill', entryIds: [third!.entryId] });
  await sleep(DETECTION_MS);
  const detected = await takeSnapshot(workers);

  const lostIds = addresses
    .filter(
      ({ dataCentre, entryId }) =>
        dataCentre === 'centre-6' && entryId !== third!.entryId,
    )
    .map(({ entryId }) => entryId);
  const lostAtMs = Date.now();
  sendToWorkers(workers, { type: 'kill', entryIds: lostIds });
  await sleep(100);
  const centreBefore = await takeSnapshot(workers);
  await sleep(CENTRE_LOSS_MS);
  const centreAfter = await takeSnapshot(workers);
  workers.forEach(({ child }) => child.kill());

  const killed = new Set([third!.entryId, ...lostIds]);
  const pairCount = (size - 1 - lostIds.length) * lostIds.length;
  const delaysOf = (kinds: readonly ('suspect' | 'dead')[]) =>
    firstSightingDelays(centreAfter, {
      kinds,
      subjects: new Set(lostIds),
      sinceMs: lostAtMs,
    });
  const suspects = sightingDelays(
    detected,
    'suspect',
    third!.entryId,
    killedAtMs,
  );
  return {
    members: size,
    ...rates(before, after),
    falseSuspicions: centreAfter.sightings.reduce(
      (sum, member) =>
        sum + member.suspect.filter(([id]) => !killed.has(id)).length,
      0,
    ),
    tableInForceMs: latestOf(
      sightingDelays(spread, 'table', '2', installedAtMs),
      size,
    ),
    leavingKnownMs: latestOf(
      sightingDelays(spread, 'leaving', second!.entryId, installedAtMs),
      size,
    ),
    firstSuspectMs: Math.min(...suspects),
    allSuspectMs: latestOf(suspects, size - 1),
    allDeadMs: latestOf(
      sightingDelays(detected, 'dead', third!.entryId, killedAtMs),
      size - 1,
    ),
    centreLost: {
      members: lostIds.length,
      suspectP99Ms: percentile99(delaysOf(['suspect', 'dead']), pairCount),
      deadP99Ms: percentile99(delaysOf(['dead']), pairCount),
      unaware: pairCount - delaysOf(['dead']).length,
      ...omitPackets(rates(centreBefore, centreAfter)),
    },
  };
}

async function startWorkers(size: number, count: number) {
  const path = fileURLToPath(new URL('./worker.ts', import.meta.url));
  const execArgv = ['--conditions=endivegate-source', '--import=tsx'];
  const indexes = Array.from({ length: size }, (_, index) => index);
  const addresses: EntryAddress[] = [];
  const workers = await Promise.all(
    Array.from({ length: count }, async (_, workerIndex): Promise<Worker> => {
      const child = fork(path, { execArgv });
      const own = indexes.filter((index) => index % count === workerIndex);
      const message: WorkerCommand = {
        type: 'start',
        indexes: own,
        dataCentres: DATA_CENTRES,
      };
      child.send(message);
      const reply = await nextReply(child);
      if (reply.type !== 'started') throw new Error('worker did not start');
      addresses.push(...reply.addresses);
      return {
        child,
        entryIds: new Set(reply.addresses.map((a) => a.entryId)),
      };
    }),
  );
  addresses.sort((a, b) => a.entryId.localeCompare(b.entryId));
  return { workers, addresses };
}

function sendToWorkers(
  workers: readonly Worker[],
  message: WorkerCommand,
): void {
  workers.forEach(({ child }) => {
    child.send(message);
  });
}

async function nextReply(child: ChildProcess): Promise<WorkerReply> {
  const [reply] = (await once(child, 'message')) as [WorkerReply];
  return reply;
}

async function takeSnapshot(workers: readonly Worker[]): Promise<Snapshot> {
  const replies = workers.map(({ child }) => nextReply(child));
  sendToWorkers(workers, { type: 'measure' });
  const measured = (await Promise.all(replies)).flatMap((reply) =>
    reply.type === 'measured' ? [reply] : [],
  );
  return {
    atMs: Date.now(),
    totals: measured.map(({ totals }) => totals),
    sightings: measured.flatMap(({ sightings }) => sightings),
  };
}

function rates(before: Snapshot, after: Snapshot) {
  const seconds = (after.atMs - before.atMs) / 1_000;
  const sum = (snapshot: Snapshot, field: keyof WorkerTotals) =>
    snapshot.totals.reduce((total, worker) => total + worker[field], 0);
  const perMember = (field: keyof WorkerTotals) =>
    (sum(after, field) - sum(before, field)) / seconds / sum(after, 'members');
  return {
    packetsPerS: perMember('packets'),
    bytesPerS: perMember('bytes'),
    cpuPercent: perMember('cpuMs') / 10,
  };
}

function omitPackets({ bytesPerS, cpuPercent }: ReturnType<typeof rates>) {
  return { bytesPerS, cpuPercent };
}

function sightingDelays(
  snapshot: Snapshot,
  kind: 'suspect' | 'dead' | 'leaving' | 'table',
  subject: string,
  sinceMs: number,
): readonly number[] {
  return snapshot.sightings.flatMap((member) =>
    member[kind]
      .filter(([id]) => id === subject)
      .map(([, atMs]) => atMs - sinceMs),
  );
}

/**
 * Returns the longest delay; NaN if fewer than the expected number are known.
 */
function latestOf(all: readonly number[], expected: number): number {
  return all.length >= expected ? Math.max(...all) : Number.NaN;
}

/**
 * Returns, for each survivor and subject, the delay until the subject was first
 * seen in one of the states.
 */
function firstSightingDelays(
  snapshot: Snapshot,
  options: {
    readonly kinds: readonly ('suspect' | 'dead')[];
    readonly subjects: ReadonlySet<string>;
    readonly sinceMs: number;
  },
): readonly number[] {
  return snapshot.sightings.flatMap((member) => {
    const seen = options.kinds
      .flatMap((kind) => member[kind])
      .filter(([id]) => options.subjects.has(id))
      .toSorted(([, a], [, b]) => b - a);
    return [...new Map(seen).values()].map((atMs) => atMs - options.sinceMs);
  });
}

/**
 * Returns the 99th percentile over the expected number of delays; NaN if too
 * few are known.
 */
function percentile99(all: readonly number[], expected: number): number {
  const sorted = all.toSorted((a, b) => a - b);
  return sorted[Math.ceil(0.99 * expected) - 1] ?? Number.NaN;
}
