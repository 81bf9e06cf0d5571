import { z } from 'zod';

const portSchema = z.number().int().min(0).max(65_535);

/** A secret: read from a file, or from an environment variable. */
export const secretSourceSchema = z.union([
  z.strictObject({ file: z.string().min(1) }),
  z.strictObject({ env: z.string().min(1) }),
]);

/** A secret: read from a file, or from an environment variable. */
export type SecretSource = z.infer<typeof secretSourceSchema>;

const tlsSchema = z.strictObject({
  /** PEM files. */
  keyFile: z.string().min(1),
  certFile: z.string().min(1),
  /** When given, peers must present a certificate of this authority. */
  caFile: z.string().min(1).optional(),
});

/** Settings of one entry, as read from its file. */
export const settingsSchema = z.strictObject({
  entryId: z.string().min(1).max(64),
  region: z.string().min(1).max(64),
  dataCentre: z.string().min(1).max(64),
  /** Address that callers and peers reach this entry at. */
  host: z.string().min(1),
  /** Address to listen on; `host` when absent. */
  listenHost: z.string().min(1).optional(),
  callers: z.strictObject({
    port: portSchema,
    /** Largest request body. */
    maxBodyBytes: z
      .number()
      .int()
      .positive()
      .max(64 * 1024 * 1024)
      .default(16 * 1024 * 1024),
    maxHeaderBytes: z.number().int().min(1_024).max(65_536).default(16_384),
    /** Time a caller has to send its whole request. */
    receiveTimeoutMs: z.number().int().positive().default(30_000),
    /** Time for which callers keep an answer of `/v1/entries`. */
    entriesTtlMs: z.number().int().positive().default(15_000),
    maxOpenRequests: z.number().int().positive().default(4_000),
  }),
  operators: z.strictObject({
    port: portSchema,
    token: secretSourceSchema,
  }),
  peers: z.strictObject({
    port: portSchema,
    tls: tlsSchema.optional(),
    /** `host:port` of peers to try when the instance list cannot be read. */
    seeds: z.array(z.string().regex(/^.+:\d{1,5}$/)).default([]),
    /** Key shared by all entries, which signs membership datagrams. */
    key: secretSourceSchema.optional(),
  }),
  platform: z.strictObject({
    url: z.url(),
    timeoutMs: z.number().int().positive().default(2_000),
  }),
  leaving: z
    .strictObject({
      /** Time for open streams to finish before they are cut. */
      drainTimeoutMs: z.number().int().positive().default(600_000),
    })
    .default({ drainTimeoutMs: 600_000 }),
  log: z
    .strictObject({
      level: z
        .enum(['trace', 'debug', 'info', 'warn', 'error'])
        .default('info'),
    })
    .default({ level: 'info' }),
});

/** Settings of one entry, with defaults applied. */
export type Settings = z.output<typeof settingsSchema>;
