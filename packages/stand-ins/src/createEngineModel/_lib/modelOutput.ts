/** An output of an engine model with its time. */
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
  /** The submission reached its deadline before it ended. */
  | { readonly type: 'expired'; readonly outputTokens: number }
);
