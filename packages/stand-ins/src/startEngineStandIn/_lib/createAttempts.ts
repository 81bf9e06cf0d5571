import type { EngineStreamLine, EngineSubmission } from '@endivegate/contracts';
import type { ModelOutput } from '../../createEngineModel/index.ts';
import { promptDigest, tokenText } from '../../_lib/tokenText.ts';

/** Ended attempts that are kept so that their streams can be resumed. */
const MAX_ENDED_ATTEMPTS = 2_000;

/** An attempt as tracked by the HTTP server of an engine. */
export interface EngineAttempt {
  readonly attemptId: string;
  readonly submission: EngineSubmission;
  readonly digest: string;
  emittedTokens: number;
  end: EngineStreamLine | undefined;
  /** Callbacks for new output to send. */
  readonly listeners: Set<() => void>;
}

/** Attempts of an engine by id. */
export interface Attempts {
  readonly add: (submission: EngineSubmission) => EngineAttempt;
  readonly get: (attemptId: string) => EngineAttempt | undefined;
  /** Applies outputs of the model and notifies the streams. */
  readonly apply: (outputs: readonly ModelOutput[]) => void;
  /** Running attempts in order of submission. */
  readonly running: () => readonly EngineAttempt[];
  readonly remove: (attemptId: string) => void;
  readonly clear: () => void;
}

/**
 * Creates the registry of attempts of an engine stand-in.
 *
 * @returns The registry, initially empty.
 */
export function createAttempts(): Attempts {
  const running = new Map<string, EngineAttempt>();
  const ended = new Map<string, EngineAttempt>();

  function markEnded(attempt: EngineAttempt): void {
    running.delete(attempt.attemptId);
    ended.set(attempt.attemptId, attempt);
    if (ended.size <= MAX_ENDED_ATTEMPTS) return;
    const [oldest] = ended.keys();
    if (oldest !== undefined) ended.delete(oldest);
  }

  function applyOutput(output: ModelOutput): EngineAttempt | undefined {
    const attempt = running.get(output.attemptId);
    if (!attempt) return undefined;
    if (output.type === 'token') attempt.emittedTokens = output.offset + 1;
    const end = endLine(output);
    if (end) {
      attempt.end = end;
      markEnded(attempt);
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
      const changed = new Set(outputs.map(applyOutput));
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
 * @param offset - Index of the token, from 0.
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
