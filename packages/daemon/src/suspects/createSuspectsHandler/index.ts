import {
  SUSPECTS_KEY,
  type PlatformPort,
  type SuspectsDocument,
} from '@endivegate/contracts';
import {
  applySuspectReport,
  SUSPECT_TTL_MS,
  type RootEffect,
  type SuspectsEffect,
  type SuspectVerdict,
} from '@endivegate/core';
import * as E from 'fp-ts/lib/Either.js';
import type { EffectHandler, Runtime } from '../../runtime/index.ts';
import {
  parseStoredSuspects,
  type StoredSuspects,
} from '../_lib/storedSuspects.ts';

/** Attempts to write the suspects before the store is reported as down. */
const MAX_WRITE_ATTEMPTS = 8;

/** How long a watch waits for a change; a waiting watch is one store call. */
const WATCH_WAIT_MS = 30_000;

/** Minimum delay between two watches. */
const MIN_WATCH_PERIOD_MS = 1_000;

/** Delay between two watches while the store does not respond. */
const STORE_DOWN_WATCH_DELAY_MS = 5_000;

/** Options of {@link createSuspectsHandler}. */
export interface CreateSuspectsHandlerOptions {
  readonly platform: PlatformPort;
  readonly wallClockMs?: () => number;
  readonly storeTimeoutMs?: number;
}

/** Writes reports of the suspects slice and watches the fleet's suspects. */
export interface SuspectsHandler {
  readonly handle: EffectHandler;
  /** Watches the stored suspects; returns a function that stops watching. */
  readonly follow: (runtime: Runtime) => () => void;
}

interface PendingReport {
  readonly effect: SuspectsEffect;
  readonly runtime: Runtime;
}

/**
 * Creates the handler of the suspects slice over the store.
 *
 * Reports that arrive while a write is in progress are batched into the next
 * write, so that a crash of an engine with many requests causes few writes.
 *
 * @param options - The store, clock and timeout.
 * @returns The handler.
 */
export function createSuspectsHandler(
  options: CreateSuspectsHandlerOptions,
): SuspectsHandler {
  const { platform } = options;
  const wallClockMs = options.wallClockMs ?? Date.now;
  const timeoutMs = options.storeTimeoutMs ?? 1_000;
  const callOptions = { purpose: 'suspects', timeoutMs } as const;
  let pendingReports: readonly PendingReport[] = [];
  let isWriting = false;

  async function readSuspects(): Promise<StoredSuspects | undefined> {
    const stored = await platform.get(SUSPECTS_KEY, callOptions)();
    if (E.isLeft(stored)) return undefined;
    return parseStoredSuspects(stored.right);
  }

  /** Merges reports into the stored document; undefined if the store is down. */
  async function mergeReports(
    batch: readonly PendingReport[],
  ): Promise<readonly SuspectVerdict[] | undefined> {
    for (let attempts = 0; attempts < MAX_WRITE_ATTEMPTS; attempts += 1) {
      const stored = await readSuspects();
      if (stored === undefined) return undefined;
      const merged = judgeReports(stored.document, batch, wallClockMs());
      const written = await platform.compareAndSwap(
        {
          key: SUSPECTS_KEY,
          value: JSON.stringify(merged.document),
          expectedVersion: stored.version,
        },
        callOptions,
      )();
      if (E.isRight(written)) return merged.verdicts;
      const isRetryable = ['conflict', 'replyLost'].includes(written.left.type);
      if (!isRetryable) return undefined;
    }
    return undefined;
  }

  async function writePendingReports(): Promise<void> {
    if (isWriting) return;
    isWriting = true;
    while (pendingReports.length > 0) {
      const batch = pendingReports;
      pendingReports = [];
      const verdicts = await mergeReports(batch);
      batch.forEach(({ effect, runtime }, index) => {
        runtime.dispatch({
          type: 'suspects.verdictReceived',
          requestId: effect.requestId,
          fingerprint: effect.report.fingerprint,
          verdict: verdicts?.[index] ?? { type: 'storeDown' },
        });
      });
    }
    isWriting = false;
  }

  async function watchOnce(runtime: Runtime, revision: number) {
    const watched = await platform.watch(
      {
        prefix: SUSPECTS_KEY,
        afterRevision: revision,
        waitMs: WATCH_WAIT_MS,
      },
      { purpose: 'suspects', timeoutMs: WATCH_WAIT_MS + timeoutMs },
    )();
    const stored = await readSuspects();
    if (stored !== undefined)
      dispatchSuspects(runtime, stored.document, wallClockMs());
    return E.isRight(watched)
      ? { revision: watched.right.revision, delayMs: MIN_WATCH_PERIOD_MS }
      : { revision, delayMs: STORE_DOWN_WATCH_DELAY_MS };
  }

  return {
    handle: (effect: RootEffect, runtime) => {
      if (effect.type !== 'suspects.announce') return;
      pendingReports = [...pendingReports, { effect, runtime }];
      void writePendingReports();
    },
    follow: (runtime) => {
      let isStopped = false;
      let timer: NodeJS.Timeout | undefined;
      const startWatch = (revision: number): void => {
        void watchOnce(runtime, revision).then((watchResult) => {
          if (isStopped) return;
          timer = setTimeout(
            startWatch,
            watchResult.delayMs,
            watchResult.revision,
          );
        });
      };
      startWatch(0);
      return () => {
        isStopped = true;
        clearTimeout(timer);
      };
    },
  };
}

function judgeReports(
  document: SuspectsDocument,
  batch: readonly PendingReport[],
  nowMs: number,
): {
  readonly document: SuspectsDocument;
  readonly verdicts: readonly SuspectVerdict[];
} {
  return batch.reduce<{
    document: SuspectsDocument;
    verdicts: readonly SuspectVerdict[];
  }>(
    (accumulated, { effect }) => {
      const judged = applySuspectReport(
        accumulated.document,
        effect.report,
        nowMs,
      );
      return {
        document: judged.document,
        verdicts: [...accumulated.verdicts, judged.verdict],
      };
    },
    { document, verdicts: [] },
  );
}

function dispatchSuspects(
  runtime: Runtime,
  document: SuspectsDocument,
  nowMs: number,
): void {
  runtime.dispatch({
    type: 'suspects.loaded',
    suspects: document.suspects.map(
      ({ fingerprint, blocked, crashes, changedAtMs }) => ({
        fingerprint,
        blocked,
        crashes: crashes.length,
        remainingMs: Math.max(0, changedAtMs + SUSPECT_TTL_MS - nowMs),
      }),
    ),
  });
}
