import type { EngineStreamLine, EngineSubmission } from '@endivegate/contracts';
import type { ModelOutput } from '../../createEngineModel/index.ts';
import { promptDigest, tokenText } from '../../_lib/tokenText.ts';

/** Ended attempts whose answers can still be resumed. */
const KEPT_ENDED_ATTEMPTS = 2_000;

/** An attempt as the HTTP side of an engine sees it. */
export interface EngineAttempt {
  readonly attemptId: string;
  readonly submission: EngineSubmission;
  readonly digest: string;
  emittedTokens: number;
  end: EngineStreamLine | undefined;
  /** Called whenever there is more to send. */
  readonly listeners: Set<() => void>;
}

/** Attempts of an engine by id. */
export interface Attempts {
  readonly add: (submission: EngineSubmission) => EngineAttempt;
  readonly get: (attemptId: string) => EngineAttempt | undefined;
  /** Applies outputs of the model and wakes the streams. */
  readonly apply: (outputs: readonly ModelOutput[]) => void;
  /** Running attempts in order of submission. */
  readonly running: () => readonly EngineAttempt[];
  readonly remove: (attemptId: string) => void;
  readonly clear: () => void;
}

/**
 * Creates the attempts of an engine stand-in.
 *
 * @returns The attempts, none yet.
 */
export function createAttempts(): Attempts {
  const running = new Map<string, EngineAttempt>();
  const ended = new Map<string, EngineAttempt>();

  function settle(attempt: EngineAttempt): void {
    running.delete(attempt.attemptId);
    ended.set(attempt.attemptId, attempt);
    if (ended.size <= KEPT_ENDED_ATTEMPTS) return;
    const [oldest] = ended.keys();
    if (oldest !== undefined) ended.delete(oldest);
  }

  function applyOne(output: ModelOutput): EngineAttempt | undefined {
    const attempt = running.get(output.attemptId);
    if (!attempt) return undefined;
    if (output.type === 'token') attempt.emittedTokens = output.offset + 1;
    const end = endLine(output);
    if (end) {
      attempt.end = end;
      settle(attempt);
    }
    return attempt;
  }

  return {
    add: (submission) => {
      const attempt: EngineAttempt = {
        attemptId: submission.attemptId,
        submission,
        digest: promptDigest(submission.prompt),
        emittedTokens: 0,
        end: undefined,
        listeners: new Set(),
      };
      running.set(attempt.attemptId, attempt);
      return attempt;
    },
    get: (attemptId) => running.get(attemptId) ?? ended.get(attemptId),
    apply: (outputs) => {
      const changed = new Set(outputs.map(applyOne));
      changed.forEach((attempt) => {
        attempt?.listeners.forEach((listener) => {
          listener();
        });
      });
    },
    running: () => [...running.values()],
    remove: (attemptId) => {
      running.delete(attemptId);
    },
    clear: () => {
      running.clear();
      ended.clear();
    },
  };
}

/**
 * Returns the stream line of one token.
 *
 * @param attempt - The attempt.
 * @param offset - Place of the token, from 0.
 * @returns The line.
 */
export function tokenLine(
  attempt: EngineAttempt,
  offset: number,
): EngineStreamLine {
  return {
    type: 'token',
    attemptId: attempt.attemptId,
    offset,
    text: tokenText(attempt.digest, offset),
  };
}

function endLine(output: ModelOutput): EngineStreamLine | undefined {
  const { attemptId } = output;
  if (output.type === 'expired') {
    return { type: 'failed', attemptId, reason: 'time is over' };
  }
  if (output.type !== 'end') return undefined;
  const { finishReason, outputTokens } = output;
  return { type: 'end', attemptId, finishReason, outputTokens };
}
