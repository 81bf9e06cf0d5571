import { z } from 'zod';

/** Key of the document that holds all suspects. */
export const SUSPECTS_KEY = 'suspects/recent';

/** A request that was in flight when targets crashed. */
export const suspectSchema = z.strictObject({
  /** Hash of workspace, service and body. */
  fingerprint: z.string(),
  /** Crashes at which it was in flight, oldest first, by wall clocks. */
  crashes: z.array(z.strictObject({ targetId: z.string(), atMs: z.number() })),
  /** Who may run it now, alone, and until when. */
  trial: z.strictObject({ token: z.string(), untilMs: z.number() }).optional(),
  /** Whether it is refused everywhere. */
  blocked: z.boolean(),
  changedAtMs: z.number(),
});

/** A request that was in flight when targets crashed. */
export type Suspect = z.infer<typeof suspectSchema>;

/** All suspects of the fleet, as one value of the store. */
export const suspectsDocumentSchema = z.strictObject({
  suspects: z.array(suspectSchema),
});

/** All suspects of the fleet, as one value of the store. */
export type SuspectsDocument = z.infer<typeof suspectsDocumentSchema>;
