import type { Suspect, SuspectsDocument } from '@endivegate/contracts';

/** Time without a change after which a suspicion ends. */
export const SUSPECT_TTL_MS = 600_000;

/** Longest time for which a trial keeps other trials out. */
export const TRIAL_TIMEOUT_MS = 120_000;

/** Time within which reports of one target's crash are about one crash. */
export const SAME_CRASH_WINDOW_MS = 5_000;

/** Time in which all entries report a crash before its cause is judged. */
export const CRASH_REPORT_WINDOW_MS = 400;

/** Crashes after which a request is blocked, whoever else was there. */
export const MAX_CRASHES = 3;

/** Most suspects kept; the ones changed longest ago are dropped first. */
const MAX_SUSPECTS = 2_000;

/** What an entry reports about a request. */
export type SuspectReport =
  | {
      readonly type: 'crash';
      readonly fingerprint: string;
      readonly targetId: string;
      readonly token: string;
      /** Whether the request is to run again. */
      readonly wantsTrial: boolean;
    }
  /** Asks for the right to run a suspect. */
  | {
      readonly type: 'wantTrial';
      readonly fingerprint: string;
      readonly token: string;
    }
  /** The request ended without an answer and gives its trial back. */
  | {
      readonly type: 'released';
      readonly fingerprint: string;
      readonly token: string;
    }
  /** The request was answered. */
  | { readonly type: 'cleared'; readonly fingerprint: string };

/** What an entry may do with a suspect. */
export type SuspectVerdict =
  /** Run it, apart from other suspects. */
  | { readonly type: 'trial' }
  /** Refuse it. */
  | { readonly type: 'blocked'; readonly forMs: number }
  /** Ask again a little later. */
  | { readonly type: 'wait' };

/** Result of {@link applySuspectReport}. */
export interface ApplySuspectReportResult {
  readonly document: SuspectsDocument;
  readonly verdict: SuspectVerdict;
}

/**
 * Merges a report into the suspects of the fleet and judges its request.
 *
 * One suspicion lets the request run once more, one entry at a time in the
 * whole fleet. After a second crash it is blocked, unless another request was
 * also at both: then those run one after another, and the third crash blocks.
 *
 * @param document - Suspects as stored.
 * @param report - What an entry saw or wants.
 * @param nowMs - Wall clock time.
 * @returns The document to store and what the entry may do.
 *
 * @example
 * judgeSuspect({ suspects: [] }, report, Date.now()).verdict.type; // 'trial'
 */
export function applySuspectReport(
  document: SuspectsDocument,
  report: SuspectReport,
  nowMs: number,
): ApplySuspectReportResult {
  const others = document.suspects.filter(
    (suspect) =>
      suspect.fingerprint !== report.fingerprint &&
      nowMs - suspect.changedAtMs < SUSPECT_TTL_MS,
  );
  const known = document.suspects.find(
    (suspect) =>
      suspect.fingerprint === report.fingerprint &&
      nowMs - suspect.changedAtMs < SUSPECT_TTL_MS,
  );
  if (report.type === 'cleared' || (report.type === 'wantTrial' && !known)) {
    return { document: { suspects: others }, verdict: { type: 'trial' } };
  }
  const suspect =
    report.type === 'crash' ? addCrash(known, report, nowMs) : known;
  if (suspect === undefined) return { document, verdict: { type: 'wait' } };
  if (report.type === 'released') {
    const suspects = [...others, withoutTrial(suspect, report.token)];
    return { document: { suspects }, verdict: { type: 'wait' } };
  }
  const decision = decide(suspect, { others, token: report.token, nowMs });
  const wantsTrial = report.type !== 'crash' || report.wantsTrial;
  const decided = wantsTrial
    ? decision.suspect
    : withoutTrial(decision.suspect, report.token);
  const suspects = [...others, decided].slice(-MAX_SUSPECTS);
  return { document: { suspects }, verdict: decision.verdict };
}

function withoutTrial(suspect: Suspect, token: string): Suspect {
  return suspect.trial?.token === token
    ? { ...suspect, trial: undefined }
    : suspect;
}

function addCrash(
  known: Suspect | undefined,
  report: Extract<SuspectReport, { readonly type: 'crash' }>,
  nowMs: number,
): Suspect {
  const { fingerprint, targetId, token } = report;
  const crash = { targetId, atMs: nowMs };
  const before = known?.crashes ?? [];
  const crashes = before.some((other) => isSameCrash(other, crash))
    ? before
    : [...before, crash];
  const blocked = known?.blocked ?? false;
  const trial = known?.trial;
  return withoutTrial(
    { fingerprint, crashes, trial, blocked, changedAtMs: nowMs },
    token,
  );
}

interface Decision {
  readonly suspect: Suspect;
  readonly verdict: SuspectVerdict;
}

function decide(
  suspect: Suspect,
  options: {
    readonly others: readonly Suspect[];
    readonly token: string;
    readonly nowMs: number;
  },
): Decision {
  const { others, token, nowMs } = options;
  const wait: Decision = { suspect, verdict: { type: 'wait' } };
  if (suspect.blocked || suspect.crashes.length >= MAX_CRASHES) {
    return block(suspect, nowMs);
  }
  if (isOnTrial(suspect, nowMs) && suspect.trial?.token !== token) return wait;
  if (suspect.crashes.length < 2) return grant(suspect, token, nowMs);
  const last = suspect.crashes.at(-1);
  if (last !== undefined && nowMs - last.atMs < CRASH_REPORT_WINDOW_MS)
    return wait;
  const rivals = others.filter((other) => isRival(suspect, other));
  if (rivals.length === 0) return block(suspect, nowMs);
  return rivals.some((rival) => isOnTrial(rival, nowMs))
    ? wait
    : grant(suspect, token, nowMs);
}

function block(suspect: Suspect, nowMs: number): Decision {
  const changedAtMs = suspect.blocked ? suspect.changedAtMs : nowMs;
  const forMs = Math.max(0, changedAtMs + SUSPECT_TTL_MS - nowMs);
  return {
    suspect: { ...suspect, blocked: true, trial: undefined, changedAtMs },
    verdict: { type: 'blocked', forMs },
  };
}

function grant(suspect: Suspect, token: string, nowMs: number): Decision {
  const trial = { token, untilMs: nowMs + TRIAL_TIMEOUT_MS };
  return { suspect: { ...suspect, trial }, verdict: { type: 'trial' } };
}

function isOnTrial(suspect: Suspect, nowMs: number): boolean {
  return suspect.trial !== undefined && suspect.trial.untilMs > nowMs;
}

/** Whether the other was at the suspect's last crash and at one more. */
function isRival(suspect: Suspect, other: Suspect): boolean {
  const last = suspect.crashes.at(-1);
  return (
    last !== undefined &&
    other.crashes.length >= suspect.crashes.length &&
    other.crashes.some((crash) => isSameCrash(crash, last))
  );
}

function isSameCrash(
  a: Suspect['crashes'][number],
  b: Suspect['crashes'][number],
): boolean {
  return (
    a.targetId === b.targetId &&
    Math.abs(a.atMs - b.atMs) <= SAME_CRASH_WINDOW_MS
  );
}
