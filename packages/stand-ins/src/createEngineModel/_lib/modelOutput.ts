/** What an engine model produced, and when. */
export type ModelOutput = {
  readonly attemptId: string;
  readonly atMs: number;
} & (
  | { readonly type: 'started' }
  /** The token at `offset`, counted from 0. */
  | { readonly type: 'token'; readonly offset: number }
  | {
      readonly type: 'end';
      readonly finishReason: 'stop' | 'length';
      readonly outputTokens: number;
    }
  /** The submission's time ran out before its end. */
  | { readonly type: 'expired'; readonly outputTokens: number }
);
