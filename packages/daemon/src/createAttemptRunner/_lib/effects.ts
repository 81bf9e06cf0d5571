import type { RequestsEffect } from '@endivegate/core';

/** The effect of the requests slice with the given type. */
export type EffectOf<Type extends RequestsEffect['type']> = Extract<
  RequestsEffect,
  { readonly type: Type }
>;
