import { z } from 'zod';
import { targetSchema } from '../../addresses/index.ts';

/** Changes of the instance list, as its reader reports them; idempotent. */
export const targetsUpdateSchema = z.strictObject({
  /** Complete records of new and changed targets. */
  changed: z.array(targetSchema),
  removedIds: z.array(z.string().min(1)),
});

/** Changes of the instance list, as its reader reports them. */
export type TargetsUpdate = z.infer<typeof targetsUpdateSchema>;
