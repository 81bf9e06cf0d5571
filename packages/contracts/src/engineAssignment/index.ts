import { z } from 'zod';

/** What an engine serves, and in which role. */
export const engineAssignmentSchema = z.object({
  models: z.array(
    z.object({
      model: z.string(),
      version: z.string(),
      adapters: z.array(z.string()),
    }),
  ),
  role: z.enum(['mixed', 'long', 'short']),
});
