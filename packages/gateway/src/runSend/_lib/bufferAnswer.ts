import {
  type AnswerBudget,
  type BlockPool,
  collectBytes,
  createAnswerBudget,
} from '@endivegate/core/forwarding';

/** What is kept of an answer that is being received. */
export interface AnswerBuffer {
  /** Adds to a plain answer, which is kept until it is complete. */
  readonly add: (chunk: Buffer) => void;
  /** Sets the size of the incomplete event of a stream, which is kept elsewhere. */
  readonly holdEvent: (bytes: number) => void;
  /** Memory for what is kept elsewhere. */
  readonly blocks: BlockPool;
  /** All bytes; valid beyond `release`. */
  readonly bytes: () => Buffer;
  /** Drops the answer, and stops counting it among those that are being received. */
  readonly release: () => void;
}

/** Limits of {@link bufferAnswer}. */
export interface BufferAnswerLimits {
  /** Maximum size of one answer. */
  readonly maxAnswerBytes: number;
  /** Maximum size of all answers that an entry is receiving. */
  readonly maxTotalBytes: number;
}

/** A limit that was exceeded. */
export type AnswerExcess = 'answer' | 'answers';

const MIB = 1024 * 1024;

/** No bound of plain answers is stated; answers of several MB are sound. */
const MAX_ANSWER_BYTES = 32 * MIB;

const MAX_TOTAL_BYTES = 64 * MIB;

/** Part of the machine's memory that all answers may take. */
const ANSWERS_SHARE = 0.1875;

const DEFAULT_MEMORY_BYTES = 250_000_000;

/**
 * Returns the limits of an entry.
 *
 * @param memoryBytes - Memory of its machine; that of a small one by default.
 */
export function answerLimits(
  memoryBytes = DEFAULT_MEMORY_BYTES,
): BufferAnswerLimits {
  const maxTotalBytes = Math.min(MAX_TOTAL_BYTES, memoryBytes * ANSWERS_SHARE);
  return {
    maxAnswerBytes: Math.min(MAX_ANSWER_BYTES, maxTotalBytes),
    maxTotalBytes,
  };
}

/** Budgets of the entries that a process runs. */
const budgetByOwner = new WeakMap<object, AnswerBudget>();

/**
 * Creates the buffer of an answer: of a plain one until it is complete, or of a stream's
 * incomplete event.
 *
 * @param owner - Identifies the entry; all its answers count together.
 * @param onExcess - Called once when this answer has to be broken off.
 * @param limits - Sizes.
 * @returns The buffer.
 */
export function bufferAnswer(
  owner: object,
  onExcess: (limit: AnswerExcess) => void,
  limits: BufferAnswerLimits,
): AnswerBuffer {
  const budget = budgetOf(owner, limits);
  const { blocks } = budget;
  const collector = collectBytes({ maxBytes: limits.maxAnswerBytes, blocks });
  const held = budget.hold(() => {
    collector.clear();
    onExcess('answers');
  });

  function release(): void {
    collector.clear();
    held.release();
  }

  return {
    blocks,
    add(chunk) {
      if (collector.add(chunk)) {
        held.resize(collector.byteLength());
        return;
      }
      release();
      onExcess('answer');
    },
    holdEvent: held.resize,
    bytes() {
      const { buffer, byteOffset, byteLength } = collector.bytes();
      return Buffer.from(buffer, byteOffset, byteLength);
    },
    release,
  };
}

function budgetOf(
  owner: object,
  { maxTotalBytes }: BufferAnswerLimits,
): AnswerBudget {
  const known = budgetByOwner.get(owner);
  if (known !== undefined) return known;
  const budget = createAnswerBudget({ maxBytes: maxTotalBytes });
  budgetByOwner.set(owner, budget);
  return budget;
}
