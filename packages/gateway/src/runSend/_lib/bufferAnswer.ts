import {
  type BlockPool,
  collectBytes,
  createBlockPool,
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

interface ReceivedAnswer {
  readonly byteLength: () => number;
  readonly breakOff: () => void;
}

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

/** Answers that an entry is receiving, and their size together. */
interface ReceivedAnswers {
  readonly answers: Set<ReceivedAnswer>;
  readonly blocks: BlockPool;
  totalBytes: number;
}

const receivedByOwner = new WeakMap<object, ReceivedAnswers>();

/**
 * Creates the buffer of an answer: of a plain one until it is complete, or of a stream's
 * incomplete event.
 *
 * When all answers of an entry together exceed their limit, the largest is
 * broken off, so that an answer without end does not cost a smaller one.
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
  const received = receivedBy(owner, limits);
  const { blocks } = received;
  const collector = collectBytes({ maxBytes: limits.maxAnswerBytes, blocks });
  let countedBytes = 0;
  const self: ReceivedAnswer = {
    byteLength: () => countedBytes,
    breakOff() {
      release();
      onExcess('answers');
    },
  };

  function count(bytes: number): void {
    received.totalBytes += bytes - countedBytes;
    countedBytes = bytes;
    if (bytes > 0) received.answers.add(self);
    else received.answers.delete(self);
    if (received.answers.size === 0) blocks.clear();
  }

  function makeRoom(): void {
    if (received.totalBytes > limits.maxTotalBytes) {
      largestOf(received.answers)?.breakOff();
    }
  }

  function release(): void {
    collector.clear();
    count(0);
  }

  return {
    blocks,
    add(chunk) {
      if (!collector.add(chunk)) {
        release();
        onExcess('answer');
        return;
      }
      count(collector.byteLength());
      makeRoom();
    },
    holdEvent(bytes) {
      count(bytes);
      makeRoom();
    },
    bytes() {
      const { buffer, byteOffset, byteLength } = collector.bytes();
      return Buffer.from(buffer, byteOffset, byteLength);
    },
    release,
  };
}

function receivedBy(
  owner: object,
  { maxTotalBytes }: BufferAnswerLimits,
): ReceivedAnswers {
  const known = receivedByOwner.get(owner);
  if (known !== undefined) return known;
  const received = {
    answers: new Set<ReceivedAnswer>(),
    blocks: createBlockPool({ maxUnusedBytes: maxTotalBytes }),
    totalBytes: 0,
  };
  receivedByOwner.set(owner, received);
  return received;
}

function largestOf(
  answers: ReadonlySet<ReceivedAnswer>,
): ReceivedAnswer | undefined {
  return [...answers].toSorted((a, b) => b.byteLength() - a.byteLength())[0];
}
