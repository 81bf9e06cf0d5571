import { z } from 'zod';

const portSchema = z.number().int().min(0).max(65_535);

/** Source of a secret: a file or an environment variable. */
export const secretSourceSchema = z.union([
  z.strictObject({ file: z.string().min(1) }),
  z.strictObject({ env: z.string().min(1) }),
]);

/** Source of a secret: a file or an environment variable. */
export type SecretSource = z.infer<typeof secretSourceSchema>;

const tlsSchema = z.strictObject({
  /** PEM files. */
  keyFile: z.string().min(1),
  certFile: z.string().min(1),
  /** When set, peers must present a certificate issued by this authority. */
  caFile: z.string().min(1).optional(),
});

/** Settings of an entry, as written in its settings file. */
export const settingsSchema = z.strictObject({
  entryId: z.string().min(1).max(64),
  region: z.string().min(1).max(64),
  dataCentre: z.string().min(1).max(64),
  /** Host name or IP address at which callers and peers reach this entry. */
  host: z.string().min(1),
  /** Address to listen on; defaults to `host`. */
  listenHost: z.string().min(1).optional(),
  callers: z.strictObject({
    port: portSchema,
    /** Maximum size of a request body. */
    maxBodyBytes: z
      .number()
      .int()
      .positive()
      .max(64 * 1024 * 1024)
      .default(16 * 1024 * 1024),
    /** Maximum size of the bodies of all open requests together. */
    maxHeldBytes: z
      .number()
      .int()
      .positive()
      .default(256 * 1024 * 1024),
    maxHeaderBytes: z.number().int().min(1_024).max(65_536).default(16_384),
    /** Time limit for receiving a complete request. */
    receiveTimeoutMs: z.number().int().positive().default(30_000),
    /** Time for which callers cache a response of `/v1/entries`. */
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
    /** Peers to contact when the instance list cannot be read, as `host:port`. */
    seeds: z.array(z.string().regex(/^.+:\d{1,5}$/)).default([]),
    /** Key shared by all entries, used to sign membership datagrams. */
    key: secretSourceSchema.optional(),
  }),
  platform: z.strictObject({
    url: z.url(),
    timeoutMs: z.number().int().positive().default(2_000),
  }),
  leaving: z
    .strictObject({
      /** Time for open streams to finish before they are closed. */
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

/** Settings of an entry, with defaults applied. */
export type Settings = z.output<typeof settingsSchema>;
