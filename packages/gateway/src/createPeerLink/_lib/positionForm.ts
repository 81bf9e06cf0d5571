import {
  type ExactInteger,
  wireIntegerSchema,
} from '@endivegate/contracts/forwarding';

/** Era and revision of the store in a row: as numbers, which builds before
 * {@link ExactInteger} read, or with digits where a number would be rounded. Each form has
 * an extension of its own, as earlier builds drop a list with a row that they cannot read. */
export type PositionForm = 'numbers' | 'digits';

/** A position of the store. */
interface Position {
  readonly era: ExactInteger;
  readonly revision: ExactInteger;
}

/** Fields of a position in a row. */
export const positionFields = [wireIntegerSchema, wireIntegerSchema] as const;

/** Whether a position is told in a form. */
export function hasForm(
  { era, revision }: Position,
  form: PositionForm,
): boolean {
  const isRounded = typeof era === 'bigint' || typeof revision === 'bigint';
  return isRounded === (form === 'digits');
}

/** Encodes a position as fields of a row. */
export function positionRow({
  era,
  revision,
}: Position): [number | string, number | string] {
  return [encodeInteger(era), encodeInteger(revision)];
}

function encodeInteger(value: ExactInteger): number | string {
  return typeof value === 'bigint' ? String(value) : value;
}
