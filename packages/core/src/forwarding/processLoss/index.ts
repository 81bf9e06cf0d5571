import type { PeersState } from '../peerList/index.ts';
import { peerTimes } from '../peerTimes/index.ts';
import type { RosterState, TargetProcess } from '../targetRoster/index.ts';

/**
 * What the lists say of a process that serves a request: it is listed, another process
 * has taken its place, or it is missing. A process may go on serving for many seconds after it
 * was taken off the list.
 */
export type ProcessStanding = 'listed' | 'restarted' | 'unlisted';

/** What shows that a process has ended: a later process has its id, another process
 * answers at its address, or it does not answer, and is unlisted or uses the memory no more
 * that other processes have set aside for it. */
export type LossFact = 'restarted' | 'replaced' | 'unlisted' | 'memoryUnused';

/** What is known of a process that serves requests. Times are monotonic. */
export interface LossEvidence {
  readonly standing: ProcessStanding;
  /** Since when it has had this standing. */
  readonly sinceMs: number;
  /** When the next check is due, if the process is silent. */
  readonly checkDueAtMs: number;
  /** Checks without an answer since the last one that was answered. */
  readonly unanswered: number;
  /** When the first of them began. */
  readonly unansweredSinceMs: number;
  /** Whether another process answered a check. */
  readonly isReplaced: boolean;
}

/** The end of a check: the process or its host answered, another process did, or
 * nothing came. */
export type CheckResult = 'alive' | 'replaced' | 'unanswered';

/** What the process is last known to have sent before it counts as lost has arrived after
 * this time. */
const SETTLE_MS = 250;

/** A process that sent something within this time is not checked. */
const MIN_SILENCE_MS = 1000;

/** Time until a process that answered is checked again. */
const CHECK_INTERVAL_MS = 1000;

/** The same after a check without an answer. */
const RECHECK_INTERVAL_MS = 100;

/** A single packet may be lost. */
const MIN_UNANSWERED = 2;

/**
 * Determines what the list of targets says of a process. An earlier start time does not
 * show that the process has ended: the list may come from an older copy of the store.
 *
 * @param roster - The listed targets.
 * @param process - The process; its start time is 0 if it is not known.
 * @returns Its standing.
 *
 * @example
 * targetStanding(state.roster, plan.target); // 'listed'
 */
export function targetStanding(
  roster: RosterState,
  { id, bornMs }: TargetProcess,
): ProcessStanding {
  const listed = roster.targets.get(id);
  if (listed === undefined) return 'unlisted';
  return bornMs > 0 && listed.bornMs > bornMs ? 'restarted' : 'listed';
}

/**
 * Determines what the messages of peers say of one that serves a relayed request. One
 * that is silent counts as unlisted.
 *
 * @param peers - The known peers.
 * @param process - Name and start time of the peer.
 * @param nowMs - Current monotonic time.
 * @returns Its standing.
 *
 * @example
 * peerStanding(state.peers, plan.target, performance.now());
 */
export function peerStanding(
  peers: PeersState,
  { id, bornMs }: TargetProcess,
  nowMs: number,
): ProcessStanding {
  const peer = peers.get(id);
  if (peer === undefined) return 'unlisted';
  if (peer.startedAtUnixMs > bornMs) return 'restarted';
  const { silenceMs } = peerTimes(peers.size + 1);
  return nowMs - peer.heardAtMs < silenceMs ? 'listed' : 'unlisted';
}

/**
 * Updates the evidence on a process with its standing. What checks said of a process is
 * dropped once it is listed again.
 *
 * @param known - The evidence so far; undefined if there is none.
 * @param standing - The current standing.
 * @param nowMs - Current monotonic time.
 * @returns The evidence.
 *
 * @example
 * noteStanding(undefined, 'unlisted', performance.now());
 */
export function noteStanding(
  known: LossEvidence | undefined,
  standing: ProcessStanding,
  nowMs: number,
): LossEvidence {
  const isSettled = known?.isReplaced === true || known?.standing === standing;
  if (known !== undefined && isSettled) return known;
  if (known !== undefined && standing !== 'listed') {
    return { ...known, standing, sinceMs: nowMs };
  }
  return {
    standing,
    sinceMs: nowMs,
    checkDueAtMs: nowMs,
    unanswered: 0,
    unansweredSinceMs: Infinity,
    isReplaced: false,
  };
}

/**
 * Updates the evidence on a process with the end of a check.
 *
 * @param known - The evidence so far.
 * @param check - The result, begin and end of the check, and whether this entry reaches
 * other processes; without a path, silence says nothing.
 * @returns The evidence.
 *
 * @example
 * noteCheck(evidence, { result: 'alive', startedAtMs, endedAtMs, hasPath: true });
 */
export function noteCheck(
  known: LossEvidence,
  check: {
    readonly result: CheckResult;
    readonly startedAtMs: number;
    readonly endedAtMs: number;
    readonly hasPath: boolean;
  },
): LossEvidence {
  const { result, startedAtMs, endedAtMs, hasPath } = check;
  const isAnswered = result !== 'unanswered';
  const checked = {
    ...known,
    checkDueAtMs:
      endedAtMs + (isAnswered ? CHECK_INTERVAL_MS : RECHECK_INTERVAL_MS),
  };
  if (!isAnswered) {
    if (!hasPath) return checked;
    return {
      ...checked,
      unanswered: known.unanswered + 1,
      unansweredSinceMs: Math.min(known.unansweredSinceMs, startedAtMs),
    };
  }
  return {
    ...checked,
    unanswered: 0,
    unansweredSinceMs: Infinity,
    isReplaced: result === 'replaced',
  };
}

/** How long a process has been silent towards a send. */
export interface SendSilence {
  readonly nowMs: number;
  /** Time since it sent something; 0 while this entry does not read. */
  readonly silenceMs: number;
}

/** Memory that other processes have set aside for a send: none, or what they say of it. */
export type MemoryUse = 'none' | 'unknown' | 'used' | 'unused';

/**
 * Whether a process has to be checked: its standing does not tell whether it has ended,
 * and it is silent. While it is listed, only sends that hold memory elsewhere are worth it.
 *
 * @param evidence - What is known of the process.
 * @param silence - Its silence, and whether the send holds memory.
 * @returns Whether a check is due.
 *
 * @example
 * isCheckDue(evidence, { nowMs, silenceMs: 3000, holdsMemory: true });
 */
export function isCheckDue(
  evidence: LossEvidence,
  {
    nowMs,
    silenceMs,
    holdsMemory,
  }: SendSilence & { readonly holdsMemory: boolean },
): boolean {
  const { standing, isReplaced, checkDueAtMs } = evidence;
  const isDoubtful =
    standing === 'unlisted' || (standing === 'listed' && holdsMemory);
  if (!isDoubtful || isReplaced) return false;
  return silenceMs >= MIN_SILENCE_MS && nowMs >= checkDueAtMs;
}

/**
 * Decides whether a send to a process is over because the process has ended, though its
 * connection does not say so.
 *
 * Silence is not enough: a process that reads a long prompt sends nothing for seconds, and
 * this entry may be cut off from it alone. Neither is being unlisted: a process that
 * leaves is taken off the list and goes on serving. It has ended if it leaves checks
 * unanswered, has sent nothing since the first of them, and is unlisted as well, or does not use
 * its memory at other processes any more.
 *
 * @param evidence - What is known of the process.
 * @param send - Its silence towards this send, and the use of the send's memory.
 * @returns What shows that it has ended; undefined if nothing does.
 *
 * @example
 * lossOf(evidence, { nowMs, silenceMs: 3000, memory: 'unused' }); // 'memoryUnused'
 */
export function lossOf(
  evidence: LossEvidence,
  { nowMs, silenceMs, memory }: SendSilence & { readonly memory: MemoryUse },
): LossFact | undefined {
  const { standing, isReplaced, unanswered, unansweredSinceMs } = evidence;
  if (silenceMs < SETTLE_MS) return undefined;
  if (standing === 'restarted') return 'restarted';
  if (isReplaced) return 'replaced';
  const isUnanswered =
    unanswered >= MIN_UNANSWERED && silenceMs >= nowMs - unansweredSinceMs;
  if (!isUnanswered) return undefined;
  if (standing === 'unlisted') return 'unlisted';
  return memory === 'unused' ? 'memoryUnused' : undefined;
}
