import type { RequestsEffect } from '@endivegate/core';

/** One kind of effect of the requests slice. */
export type EffectOf<Type extends RequestsEffect['type']> = Extract<
  RequestsEffect,
  { readonly type: Type }
>;
