import type { Suspect, SuspectsDocument } from '@endivegate/contracts';

/** Time without a change after which a suspect is forgotten. */
export const SUSPECT_TTL_MS = 600_000;

/** Time after which an unfinished trial no longer blocks other trials. */
export const TRIAL_TIMEOUT_MS = 120_000;

/** Time within which crashes reported for a target count as a single crash. */
export const SAME_CRASH_WINDOW_MS = 5_000;

/** Time after a crash for collecting reports before its cause is decided. */
export const CRASH_REPORT_WINDOW_MS = 400;

/** Crashes after which a request is blocked, even with other suspects. */
export const MAX_CRASHES = 3;

/** Most suspects kept; the least recently changed ones are dropped first. */
const MAX_SUSPECTS = 2_000;

/** Report of an entry about a request. */
export type SuspectReport =
  | {
      readonly type: 'crash';
      readonly fingerprint: string;
      readonly targetId: string;
      readonly token: string;
      /** Whether the request should run again. */
      readonly wantsTrial: boolean;
    }
  /** Asks to run a suspect request as a trial. */
  | {
      readonly type: 'wantTrial';
      readonly fingerprint: string;
      readonly token: string;
    }
  /** The request ended without an answer; its trial is released. */
  | {
      readonly type: 'released';
      readonly fingerprint: string;
      readonly token: string;
    }
  /** The request was answered. */
  | { readonly type: 'cleared'; readonly fingerprint: string };

/** Decision on what an entry does with a suspect request. */
export type SuspectVerdict =
  /** Run it, apart from other suspects. */
  | { readonly type: 'trial' }
  /** Refuse it. */
  | { readonly type: 'blocked'; readonly forMs: number }
  /** Ask again after a short delay. */
  | { readonly type: 'wait' };

/** Result of {@link applySuspectReport}. */
export interface ApplySuspectReportResult {
  readonly document: SuspectsDocument;
  readonly verdict: SuspectVerdict;
}

/**
 * Applies a report to the suspects of the fleet and decides what the entry does
 * with the request.
 *
 * After one crash the request may run once more, as a trial on one entry of the
 * fleet at a time. After a second crash it is blocked, unless another request
 * was in flight at both crashes: then those requests run one after another, and
 * a third crash blocks.
 *
 * @param document - Suspects as stored.
 * @param report - What an entry observed or asks for.
 * @param nowMs - Wall clock time.
 * @returns The document to store and the verdict for the entry.
 *
 * @example
 * applySuspectReport({ suspects: [] }, report, Date.now()).verdict.type; // 'trial'
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
  const decision = decideVerdict(suspect, {
    others,
    token: report.token,
    nowMs,
  });
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
  const previousCrashes = known?.crashes ?? [];
  const crashes = previousCrashes.some((other) => isSameCrash(other, crash))
    ? previousCrashes
    : [...previousCrashes, crash];
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

function decideVerdict(
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
    return blockSuspect(suspect, nowMs);
  }
  if (hasActiveTrial(suspect, nowMs) && suspect.trial?.token !== token)
    return wait;
  if (suspect.crashes.length < 2) return grantTrial(suspect, token, nowMs);
  const last = suspect.crashes.at(-1);
  if (last !== undefined && nowMs - last.atMs < CRASH_REPORT_WINDOW_MS)
    return wait;
  const coSuspects = others.filter((other) => isCoSuspect(suspect, other));
  if (coSuspects.length === 0) return blockSuspect(suspect, nowMs);
  return coSuspects.some((coSuspect) => hasActiveTrial(coSuspect, nowMs))
    ? wait
    : grantTrial(suspect, token, nowMs);
}

function blockSuspect(suspect: Suspect, nowMs: number): Decision {
  const changedAtMs = suspect.blocked ? suspect.changedAtMs : nowMs;
  const forMs = Math.max(0, changedAtMs + SUSPECT_TTL_MS - nowMs);
  return {
    suspect: { ...suspect, blocked: true, trial: undefined, changedAtMs },
    verdict: { type: 'blocked', forMs },
  };
}

function grantTrial(suspect: Suspect, token: string, nowMs: number): Decision {
  const trial = { token, untilMs: nowMs + TRIAL_TIMEOUT_MS };
  return { suspect: { ...suspect, trial }, verdict: { type: 'trial' } };
}

function hasActiveTrial(suspect: Suspect, nowMs: number): boolean {
  return suspect.trial !== undefined && suspect.trial.untilMs > nowMs;
}

/**
 * Whether another suspect may be the cause instead: it was in flight at this
 * suspect's last crash and has at least as many crashes.
 */
function isCoSuspect(suspect: Suspect, other: Suspect): boolean {
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
