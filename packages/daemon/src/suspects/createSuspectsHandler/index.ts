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
import { parseStored, type StoredSuspects } from '../_lib/storedSuspects.ts';

/** Tries to write the suspects before the store counts as down. */
const MAX_WRITE_TRIES = 8;

/** Time that one watch waits; a waiting watch is one call of the store. */
const WATCH_WAIT_MS = 30_000;

/** Shortest time between two watches. */
const MIN_WATCH_PERIOD_MS = 1_000;

/** Time between two watches while the store does not answer. */
const STORE_DOWN_WATCH_DELAY_MS = 5_000;

/** Options of {@link createSuspectsHandler}. */
export interface CreateSuspectsHandlerOptions {
  readonly platform: PlatformPort;
  readonly wallClockMs?: () => number;
  readonly storeTimeoutMs?: number;
}

/** Runs the reports of the suspects slice and follows the fleet's suspects. */
export interface SuspectsHandler {
  readonly handle: EffectHandler;
  /** Follows the suspects until stopped; returns the function that stops. */
  readonly follow: (runtime: Runtime) => () => void;
}

interface Waiting {
  readonly effect: SuspectsEffect;
  readonly runtime: Runtime;
}

/**
 * Creates the handler of the suspects slice over the store.
 *
 * Reports that come while a write is under way are merged into the next one,
 * so that a crash under many requests costs few writes.
 *
 * @param options - The store and clocks.
 * @returns The handler.
 */
export function createSuspectsHandler(
  options: CreateSuspectsHandlerOptions,
): SuspectsHandler {
  const { platform } = options;
  const wallClockMs = options.wallClockMs ?? Date.now;
  const timeoutMs = options.storeTimeoutMs ?? 1_000;
  const call = { purpose: 'suspects', timeoutMs } as const;
  let waiting: readonly Waiting[] = [];
  let isWriting = false;

  async function read(): Promise<StoredSuspects | undefined> {
    const stored = await platform.get(SUSPECTS_KEY, call)();
    if (E.isLeft(stored)) return undefined;
    return parseStored(stored.right);
  }

  /** Merges reports into the store; undefined when it is down. */
  async function merge(
    batch: readonly Waiting[],
  ): Promise<readonly SuspectVerdict[] | undefined> {
    for (let tries = 0; tries < MAX_WRITE_TRIES; tries += 1) {
      const stored = await read();
      if (stored === undefined) return undefined;
      const merged = judgeAll(stored.document, batch, wallClockMs());
      const written = await platform.compareAndSwap(
        {
          key: SUSPECTS_KEY,
          value: JSON.stringify(merged.document),
          expectedVersion: stored.version,
        },
        call,
      )();
      if (E.isRight(written)) return merged.verdicts;
      const isWorthwhile = ['conflict', 'replyLost'].includes(
        written.left.type,
      );
      if (!isWorthwhile) return undefined;
    }
    return undefined;
  }

  async function drain(): Promise<void> {
    if (isWriting) return;
    isWriting = true;
    while (waiting.length > 0) {
      const batch = waiting;
      waiting = [];
      const verdicts = await merge(batch);
      batch.forEach(({ effect, runtime }, index) => {
        runtime.dispatch({
          type: 'suspects.judged',
          requestId: effect.requestId,
          fingerprint: effect.report.fingerprint,
          verdict: verdicts?.[index] ?? { type: 'storeDown' },
        });
      });
    }
    isWriting = false;
  }

  async function followOnce(runtime: Runtime, revision: number) {
    const watched = await platform.watch(
      {
        prefix: SUSPECTS_KEY,
        afterRevision: revision,
        waitMs: WATCH_WAIT_MS,
      },
      { purpose: 'suspects', timeoutMs: WATCH_WAIT_MS + timeoutMs },
    )();
    const stored = await read();
    if (stored !== undefined) learn(runtime, stored.document, wallClockMs());
    return E.isRight(watched)
      ? { revision: watched.right.revision, delayMs: MIN_WATCH_PERIOD_MS }
      : { revision, delayMs: STORE_DOWN_WATCH_DELAY_MS };
  }

  return {
    handle: (effect: RootEffect, runtime) => {
      if (effect.type !== 'suspects.announce') return;
      waiting = [...waiting, { effect, runtime }];
      void drain();
    },
    follow: (runtime) => {
      let isStopped = false;
      let timer: NodeJS.Timeout | undefined;
      const next = (revision: number): void => {
        void followOnce(runtime, revision).then((reached) => {
          if (isStopped) return;
          timer = setTimeout(next, reached.delayMs, reached.revision);
        });
      };
      next(0);
      return () => {
        isStopped = true;
        clearTimeout(timer);
      };
    },
  };
}

function judgeAll(
  document: SuspectsDocument,
  batch: readonly Waiting[],
  nowMs: number,
): {
  readonly document: SuspectsDocument;
  readonly verdicts: readonly SuspectVerdict[];
} {
  return batch.reduce<{
    document: SuspectsDocument;
    verdicts: readonly SuspectVerdict[];
  }>(
    (done, { effect }) => {
      const judged = applySuspectReport(done.document, effect.report, nowMs);
      return {
        document: judged.document,
        verdicts: [...done.verdicts, judged.verdict],
      };
    },
    { document, verdicts: [] },
  );
}

function learn(
  runtime: Runtime,
  document: SuspectsDocument,
  nowMs: number,
): void {
  runtime.dispatch({
    type: 'suspects.learned',
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
