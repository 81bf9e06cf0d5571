import { z } from 'zod';

/** Store key of the document with all suspects. */
export const SUSPECTS_KEY = 'suspects/recent';

/** A request that was in flight when targets crashed and may have caused it. */
export const suspectSchema = z.strictObject({
  /** Hash of the request's workspace, service and body. */
  fingerprint: z.string(),
  /** Crashes during which it was in flight, oldest first, in wall-clock time. */
  crashes: z.array(z.strictObject({ targetId: z.string(), atMs: z.number() })),
  /** Exclusive permission to run it, which expires at `untilMs`. */
  trial: z.strictObject({ token: z.string(), untilMs: z.number() }).optional(),
  /** Whether all entries refuse it. */
  blocked: z.boolean(),
  changedAtMs: z.number(),
});

/** A request that was in flight when targets crashed and may have caused it. */
export type Suspect = z.infer<typeof suspectSchema>;

/** All suspects of the fleet, stored as one value. */
export const suspectsDocumentSchema = z.strictObject({
  suspects: z.array(suspectSchema),
});

/** All suspects of the fleet, stored as one value. */
export type SuspectsDocument = z.infer<typeof suspectsDocumentSchema>;
