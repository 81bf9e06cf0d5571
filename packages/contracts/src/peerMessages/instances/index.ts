import { z } from 'zod';
import { targetSchema } from '../../addresses/index.ts';

/** What a reader of the instance list saw change; repeating it is harmless. */
export const targetsUpdateSchema = z.strictObject({
  /** Targets that came or changed, whole. */
  changed: z.array(targetSchema),
  removedIds: z.array(z.string().min(1)),
});

/** What a reader of the instance list saw change. */
export type TargetsUpdate = z.infer<typeof targetsUpdateSchema>;
