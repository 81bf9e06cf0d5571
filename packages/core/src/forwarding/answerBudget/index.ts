import { type BlockPool, createBlockPool } from '../blockPool/index.ts';

/** Bytes that are held of one answer. */
export interface HeldAnswer {
  /** Sets the number of bytes. Answers may be given up for it, this one included. */
  readonly resize: (bytes: number) => void;
  readonly release: () => void;
}

/** A bound on the bytes of all answers that are being received. */
export interface AnswerBudget {
  /**
   * Adds an answer without bytes.
   *
   * @param onExcess - Called once if the answer has to be given up; it is released by then.
   */
  readonly hold: (onExcess: () => void) => HeldAnswer;
  /** Memory for large answers. */
  readonly blocks: BlockPool;
  readonly usedBytes: () => number;
}

/** Options of {@link createAnswerBudget}. */
export interface CreateAnswerBudgetOptions {
  readonly maxBytes: number;
}

interface CountedAnswer {
  readonly onExcess: () => void;
  bytes: number;
}

/**
 * Creates a bound on the bytes of answers. When all together exceed it, the largest is
 * given up, so that an answer without end does not cost a smaller one.
 *
 * @param options - Size.
 * @returns The empty budget.
 *
 * @example
 * const held = createAnswerBudget({ maxBytes: 64_000_000 }).hold(() => body.destroy());
 */
export function createAnswerBudget({
  maxBytes,
}: CreateAnswerBudgetOptions): AnswerBudget {
  const answers = new Set<CountedAnswer>();
  const blocks = createBlockPool({ maxUnusedBytes: maxBytes });
  let usedBytes = 0;

  function count(answer: CountedAnswer, bytes: number): void {
    usedBytes += bytes - answer.bytes;
    answer.bytes = bytes;
    if (bytes > 0) answers.add(answer);
    else answers.delete(answer);
    if (answers.size === 0) blocks.clear();
  }

  function giveUpLargest(): void {
    const [largest] = [...answers].toSorted((a, b) => b.bytes - a.bytes);
    if (largest === undefined) return;
    count(largest, 0);
    largest.onExcess();
  }

  return {
    hold(onExcess) {
      const answer: CountedAnswer = { onExcess, bytes: 0 };
      return {
        resize(bytes) {
          count(answer, bytes);
          if (usedBytes > maxBytes) giveUpLargest();
        },
        release() {
          count(answer, 0);
        },
      };
    },
    blocks,
    usedBytes: () => usedBytes,
  };
}
