import { z } from 'zod';
import { engineAssignmentSchema } from '../wire/engine/index.ts';
import {
  tableChangeSchema,
  tableConflictSchema,
  tableDocumentSchema,
  tableFindingSchema,
} from '../table/index.ts';

const nameSchema = z.string().min(1).max(256);
const unixMsSchema = z.number().int().nonnegative();

/** Fields common to all edits of the table. */
const editFields = {
  /** Identifies the edit: an edit that is sent again with its token applies once. */
  editToken: z.string().regex(/^[A-Za-z0-9-]{8,64}$/),
  author: z.string().min(1).max(128),
  note: z.string().max(1_000).default(''),
};

/** Body of `POST /v1/table/edits`. */
export const tableEditBodySchema = z.strictObject({
  ...editFields,
  changes: z.array(tableChangeSchema).min(1).max(100_000),
});

/** Body of `POST /v1/table/replacements`: a whole table, merged by cell. */
export const tableReplacementBodySchema = z.strictObject({
  ...editFields,
  /** Table number on which the author based the edit. */
  baseNumber: z.number().int().nonnegative(),
  /** Validated separately as a table, so that all findings are reported together. */
  document: z.unknown(),
});

/** Body of `POST /v1/table/rollbacks`. */
export const tableRollbackBodySchema = z.strictObject({
  ...editFields,
  /** Earlier number whose content is restored under a new number. */
  number: z.number().int().positive(),
});

/** Response to an accepted edit. */
export const acceptedEditSchema = z.object({
  number: z.number().int().nonnegative(),
  changes: z.array(tableChangeSchema),
});

/** A table version: its number and content. */
export const tableBodySchema = z.object({
  number: z.number().int().nonnegative(),
  document: tableDocumentSchema,
});

/** A table version: its number and content. */
export type TableBody = z.infer<typeof tableBodySchema>;

/** Retained versions of the table, oldest first. */
export const tableHistoryBodySchema = z.object({
  versions: z.array(
    z.object({
      number: z.number().int().positive(),
      author: z.string(),
      note: z.string(),
      atUnixMs: unixMsSchema,
    }),
  ),
});

/** Table number in force at each entry. */
export const tableStatusBodySchema = z.object({
  /** Number in force at the responding entry. */
  number: z.number().int().nonnegative(),
  entries: z.array(
    z.object({
      entryId: z.string(),
      dataCentre: z.string(),
      /** 0 if the entry has no table or has not reported its number yet. */
      number: z.number().int().nonnegative(),
    }),
  ),
});

/** Table number in force at each entry. */
export type TableStatusBody = z.infer<typeof tableStatusBodySchema>;

/** Entries as known to the responding entry. */
export const membersBodySchema = z.object({
  members: z.array(
    z.object({
      entryId: z.string(),
      incarnation: z.number(),
      region: z.string(),
      dataCentre: z.string(),
      state: z.enum(['live', 'suspect', 'leaving', 'dead']),
    }),
  ),
});

/** Entries as known to the responding entry. */
export type MembersBody = z.infer<typeof membersBodySchema>;

/** Identifies a call that must not be executed twice. */
export const onceKeySchema = z.strictObject({
  workspace: nameSchema,
  service: nameSchema,
  idempotencyKey: z.string().min(1).max(512),
});

/** Identifies a call that must not be executed twice. */
export type OnceKey = z.infer<typeof onceKeySchema>;

/** A claimed call, in the form shown to operators. */
export const onceRecordSchema = z.object({
  ...onceKeySchema.shape,
  state: z.enum(['claimed', 'notRun', 'unknown', 'done', 'failed', 'settled']),
  reason: z.string().optional(),
  entryId: z.string(),
  targetId: z.string(),
  createdAtUnixMs: unixMsSchema,
  changedAtUnixMs: unixMsSchema,
});

/** A claimed call, in the form shown to operators. */
export type OnceRecord = z.infer<typeof onceRecordSchema>;

/** Response of `GET /v1/once`. */
export const onceBodySchema = z.object({ records: z.array(onceRecordSchema) });

/** Query of `GET /v1/once`. */
export const onceQuerySchema = z.strictObject({
  workspace: nameSchema,
  service: nameSchema.optional(),
  /** `true` selects only calls whose outcome is in doubt. */
  inDoubt: z.enum(['true', 'false']).optional(),
});

/** Query of `GET /v1/once`. */
export type OnceQuery = z.infer<typeof onceQuerySchema>;

/** Body of `POST /v1/once/settlements`. */
export const onceSettlementBodySchema = z.strictObject({
  ...onceKeySchema.shape,
  /** Outcome that the operator determined at the service. */
  outcome: z.enum(['ran', 'notRun']),
  by: z.string().min(1).max(128),
});

/** Body of `POST /v1/once/settlements`. */
export type OnceSettlement = z.infer<typeof onceSettlementBodySchema>;

/** Requests that were in flight when targets crashed. */
export const suspectsBodySchema = z.object({
  suspects: z.array(
    z.object({
      fingerprint: z.string(),
      crashes: z.number().int().nonnegative(),
      /** Whether the request is currently refused. */
      refused: z.boolean(),
      expiresInMs: z.number(),
    }),
  ),
});

/** Requests that were in flight when targets crashed. */
export type SuspectsBody = z.infer<typeof suspectsBodySchema>;

/** Wanted and actual state of models and engines. */
export const ordersBodySchema = z.object({
  models: z.array(
    z.object({
      model: z.string(),
      version: z.string(),
      wantedEngines: z.number().int(),
      servingEngines: z.number().int(),
      /** Entry that places the model's requests; absent when unknown. */
      placer: z.string().optional(),
      fencingNumber: z.number().int().optional(),
    }),
  ),
  engines: z.array(
    z.object({
      targetId: z.string(),
      wanted: engineAssignmentSchema.optional(),
      seen: engineAssignmentSchema.optional(),
      state: z.enum(['settled', 'ordered', 'waiting', 'failed', 'unknown']),
    }),
  ),
});

/** Wanted and actual state of models and engines. */
export type OrdersBody = z.infer<typeof ordersBodySchema>;

/** Query of `GET /v1/timeline`. */
export const timelineQuerySchema = z.strictObject({
  requestId: nameSchema.optional(),
  workspace: nameSchema.optional(),
  targetId: nameSchema.optional(),
  sinceUnixMs: z.coerce.number().int().nonnegative().optional(),
  limit: z.coerce.number().int().positive().max(10_000).optional(),
});

/** Query of `GET /v1/timeline`. */
export type TimelineQuery = z.infer<typeof timelineQuerySchema>;

/** Events of all entries, ordered by hybrid timestamp. */
export const timelineBodySchema = z.object({
  records: z.array(
    z.object({
      wallMs: z.number(),
      counter: z.number(),
      entryId: z.string(),
      event: z.record(z.string(), z.unknown()),
    }),
  ),
  /** Entries whose events are missing. */
  gaps: z.array(z.object({ entryId: z.string(), reason: z.string() })),
});

/** Events of all entries, ordered by hybrid timestamp. */
export type TimelineBody = z.infer<typeof timelineBodySchema>;

/** Error response of the operators' API. */
export const adminErrorBodySchema = z.object({
  error: z.object({
    type: z.enum([
      'unauthorized',
      'invalid_request',
      'not_found',
      'conflict',
      'invalid_table',
      'store_down',
      'in_doubt',
      'internal',
    ]),
    message: z.string(),
    conflicts: z.array(tableConflictSchema).optional(),
    findings: z.array(tableFindingSchema).optional(),
  }),
});

/** Error response of the operators' API. */
export type AdminErrorBody = z.infer<typeof adminErrorBodySchema>;
