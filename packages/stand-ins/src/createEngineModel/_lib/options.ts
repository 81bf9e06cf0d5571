/** Options of {@link createEngineModel}. Speeds are those of one engine. */
export interface CreateEngineModelOptions {
  readonly engineId: string;
  /** KV cache memory, in tokens. */
  readonly kvCapacityTokens?: number;
  /** Prefill speed of a prompt's first tokens. */
  readonly prefillTokensPerSecond?: number;
  /** Context length at which a prefilled token costs twice the first one. */
  readonly prefillDoublingTokens?: number;
  /** Fixed duration of a batch step, without its sequences. */
  readonly decodeStepMs?: number;
  /** Time that each decoding sequence adds to a step. */
  readonly decodeStepPerSequenceMs?: number;
  /** Prompt tokens prefilled in one step, over all sequences. */
  readonly chunkTokens?: number;
  /** Largest number of sequences in the batch. */
  readonly maxBatch?: number;
  /** Queue length at which submissions are refused. */
  readonly maxQueue?: number;
  /** Prefix cache memory, in tokens. */
  readonly prefixCacheTokens?: number;
  /** Returns the number of tokens that the first `hashes` prefix hashes cover. */
  readonly prefixTokensOf?: (hashes: number) => number;
  /** Speed at which an imported KV cache is loaded. */
  readonly kvImportTokensPerSecond?: number;
  /** Age of the load that `load` reports. */
  readonly loadLagMs?: number;
  /** Time from a cache change until `cacheEvents` shows it. */
  readonly cacheEventLagMs?: number;
  /** Fraction of cache events that `cacheEvents` never shows. */
  readonly cacheEventLossRate?: number;
  /** Whether the model outputs every token or only the first of each sequence. */
  readonly emits?: 'everyToken' | 'firstToken';
  readonly seed?: number;
}

/** All options of an engine model. */
export type EngineModelSettings = Required<CreateEngineModelOptions>;

/** Tokens that each prefix hash covers beyond the one before it. */
const PREFIX_BLOCK_TOKENS = 1_024;

/** Defaults of every option but the engine's id. */
export const ENGINE_MODEL_DEFAULTS: Omit<EngineModelSettings, 'engineId'> = {
  kvCapacityTokens: 400_000,
  prefillTokensPerSecond: 20_000,
  prefillDoublingTokens: 200_000,
  decodeStepMs: 12,
  decodeStepPerSequenceMs: 0.3,
  chunkTokens: 2_048,
  maxBatch: 64,
  maxQueue: 128,
  prefixCacheTokens: 200_000,
  prefixTokensOf: (hashes) => hashes * PREFIX_BLOCK_TOKENS,
  kvImportTokensPerSecond: 400_000,
  loadLagMs: 500,
  cacheEventLagMs: 200,
  cacheEventLossRate: 0.02,
  emits: 'everyToken',
  seed: 1,
};
