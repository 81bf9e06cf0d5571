import { decode, encode } from '@msgpack/msgpack';
import {
  encodeExactFields,
  exactFields,
  listedTargetSchema,
  wireIntegerSchema,
} from '@endivegate/contracts/forwarding';
import { z } from 'zod';

const wireTargetSchema = exactFields(listedTargetSchema);

const removalSchema = z.object({ type: z.literal('removed'), id: z.string() });

const targetChangeSchema = z.discriminatedUnion('type', [
  z.object({ type: z.literal('put'), target: wireTargetSchema }),
  removalSchema,
]);

const targetIdSchema = z.object({ target: z.object({ id: z.string() }) });

/** A change whose target cannot be read removes it: a watcher of an earlier build does not
 * check addresses. */
function readChange(row: unknown): z.infer<typeof targetChangeSchema>[] {
  const change = targetChangeSchema.safeParse(row);
  if (change.success) return [change.data];
  const { data } = targetIdSchema.safeParse(row);
  return data === undefined ? [] : [{ type: 'removed', id: data.target.id }];
}

/** Rows that can be read; the others name no target. */
const targetsSchema = z.array(z.unknown()).transform((rows) =>
  rows.flatMap((row) => {
    const { data } = wireTargetSchema.safeParse(row);
    return data === undefined ? [] : [data];
  }),
);

const evacuationSchema = exactFields(
  z.object({
    dataCentre: z.string(),
    era: wireIntegerSchema,
    revision: wireIntegerSchema,
    isEvacuated: z.boolean(),
    ageMs: z.number(),
  }),
);

/** Keys that later builds add are optional, those that this build does not know are
 * dropped, and a malformed optional key does not affect the rest: entries of two builds
 * follow one watcher. */
const newsFieldsSchema = z.object({
  name: z.string(),
  weight: z.number(),
  era: wireIntegerSchema,
  /** Revision after which the changes were made. */
  fromRevision: wireIntegerSchema,
  /** Revision up to which the sender follows the store. */
  revision: wireIntegerSchema,
  /** Time by which an answer of the store to the sender is overdue. */
  overdueMs: z.number(),
  /** Time for which removals are held after an outage of the store. */
  holdMs: z.number(),
  /** Time for which the sender has followed the store without a failure; 0 if it does
   * not, absent in news of earlier builds. */
  followedMs: z.number().optional().catch(undefined),
  /** Version of the sender's configuration; 0 if an earlier build has rounded it, so that
   * it is not known. */
  configVersion: wireIntegerSchema.catch(0),
  changes: z.array(z.unknown()).transform((rows) => rows.flatMap(readChange)),
  /** Evacuations in force and recent removals; absent if there are none. */
  evacuations: z.array(evacuationSchema).optional().catch(undefined),
});

const newsSchema = exactFields(newsFieldsSchema);

/** All targets that a watcher knows, for an entry that missed news. Added keys are
 * optional, as in news. */
export const snapshotSchema = exactFields(
  z.object({
    era: wireIntegerSchema,
    revision: wireIntegerSchema,
    holdMs: z.number(),
    targets: targetsSchema,
    /** Evacuations at the revision; absent if the sender does not know of them. */
    evacuations: z.array(evacuationSchema).optional().catch(undefined),
  }),
);

/** A change of the list of targets. */
export type TargetChange = z.infer<typeof targetChangeSchema>;

/** What a watcher of the store tells the entries that do not watch. */
export type StoreNews = z.infer<typeof newsSchema>;

/** See {@link snapshotSchema}. */
export type TargetSnapshot = z.infer<typeof snapshotSchema>;

/** Keeps a message within one network packet. */
const MAX_NEWS_BYTES = 1300;

/**
 * Encodes news. Changes that do not fit into a datagram are left out, and the
 * receivers fetch all targets instead; so are evacuations, which peers report too.
 */
export function encodeNews(news: StoreNews): Uint8Array {
  const bytes = pack(news);
  if (bytes.length <= MAX_NEWS_BYTES) return bytes;
  const { evacuations, ...rest } = news;
  const shortened = { ...rest, fromRevision: news.revision, changes: [] };
  const withEvacuations = pack({ ...shortened, evacuations });
  return evacuations === undefined || withEvacuations.length > MAX_NEWS_BYTES
    ? pack(shortened)
    : withEvacuations;
}

function pack({ evacuations, ...news }: StoreNews): Uint8Array {
  return encode({
    ...encodeExactFields(news),
    changes: news.changes.map((change) =>
      change.type === 'put'
        ? { ...change, target: encodeExactFields(change.target) }
        : change,
    ),
    ...encodeEvacuations(evacuations),
  });
}

function encodeEvacuations(evacuations: StoreNews['evacuations']): object {
  return evacuations === undefined
    ? {}
    : { evacuations: evacuations.map(encodeExactFields) };
}

/**
 * Encodes all targets that a watcher knows as JSON can hold them.
 *
 * @param snapshot - The targets, and the position of the store.
 * @returns What {@link snapshotSchema} reads.
 */
export function encodeSnapshot({
  evacuations,
  ...snapshot
}: TargetSnapshot): object {
  return {
    ...encodeExactFields(snapshot),
    targets: snapshot.targets.map(encodeExactFields),
    ...encodeEvacuations(evacuations),
  };
}

/** Decodes news; undefined if the bytes are malformed. */
export function decodeNews(bytes: Uint8Array): StoreNews | undefined {
  try {
    return newsSchema.safeParse(decode(bytes)).data;
  } catch {
    return undefined;
  }
}
