/**
 * Integers that another system counts, such as versions of configurations and revisions
 * of a store. Nothing bounds them, and each digit counts.
 */
import { z } from 'zod';

/**
 * A non-negative integer of any size: a number up to `Number.MAX_SAFE_INTEGER`, a bigint
 * beyond. Equal integers have the same representation, so `===`, `<` and maps treat both
 * alike.
 */
export type ExactInteger = number | bigint;

/** Keeps a few of them within one network packet. */
const MAX_DIGITS = 100;

const DIGITS = new RegExp(`^\\d{1,${MAX_DIGITS}}$`);

/** An exact integer in memory. Numbers beyond `Number.MAX_SAFE_INTEGER` are refused, as
 * they have been rounded. */
export const exactIntegerSchema = z.union([
  z.number().int().nonnegative(),
  z.bigint().nonnegative().transform(normalize),
]);

/** An exact integer in a message between entries: a number, or digits beyond
 * `Number.MAX_SAFE_INTEGER`. */
export const wireIntegerSchema = z.union([
  exactIntegerSchema,
  z.string().transform((text, context) => {
    const value = parseExactInteger(text);
    if (value !== undefined) return value;
    context.addIssue({ code: 'custom', message: 'expected digits' });
    return z.NEVER;
  }),
]);

/**
 * Reads an integer from its digits.
 *
 * @param text - One to 100 decimal digits.
 * @returns The integer; undefined for any other text.
 *
 * @example
 * parseExactInteger('9007199254740993'); // 9007199254740993n
 */
export function parseExactInteger(text: string): ExactInteger | undefined {
  return DIGITS.test(text) ? normalize(BigInt(text)) : undefined;
}

/**
 * Orders two integers.
 *
 * @param a - The first one.
 * @param b - The second one.
 * @returns -1, 0 or 1 if `a` is lower than, equal to or higher than `b`.
 *
 * @example
 * [3, 1, 2].toSorted(compareExactIntegers); // [1, 2, 3]
 */
export function compareExactIntegers(a: ExactInteger, b: ExactInteger): number {
  return Number(a > b) - Number(a < b);
}

/**
 * Returns the highest of some integers.
 *
 * @param values - The integers.
 * @returns The highest one; 0 if there are none.
 *
 * @example
 * highestExactInteger([7, 9007199254740993n]); // 9007199254740993n
 */
export function highestExactInteger(
  values: Iterable<ExactInteger>,
): ExactInteger {
  return [...values].reduce(
    (highest, one) => (one > highest ? one : highest),
    0,
  );
}

/** Key under which {@link encodeExactFields} adds digits. */
const EXACT_KEY = 'exact';

/** An object as {@link encodeExactFields} encodes it. */
export type ExactFieldsEncoded<T> = {
  readonly [Key in keyof T]: T[Key] extends ExactInteger ? number : T[Key];
} & {
  /** Digits of the fields that are rounded, by the name of the field. */
  readonly [EXACT_KEY]?: Readonly<Record<string, string>>;
};

/**
 * Encodes the integers of an object for builds that read numbers only: as doubles, with
 * the digits of those that doubles cannot hold beside them. Without such integers, the
 * object stays as it is.
 *
 * @param value - The object; its bigints are at its top level.
 * @returns An object that {@link exactFields} reads.
 *
 * @example
 * encodeExactFields({ version: 9007199254740993n });
 * // { version: 9007199254740992, exact: { version: '9007199254740993' } }
 */
export function encodeExactFields<T extends object>(
  value: T,
): ExactFieldsEncoded<T> {
  const rounded = Object.entries(value).filter(
    (field): field is [string, bigint] => typeof field[1] === 'bigint',
  );
  return {
    ...value,
    ...Object.fromEntries(rounded.map(([key, one]) => [key, Number(one)])),
    ...(rounded.length === 0
      ? {}
      : {
          [EXACT_KEY]: Object.fromEntries(
            rounded.map(([key, one]) => [key, String(one)]),
          ),
        }),
  } as ExactFieldsEncoded<T>;
}

const digitsSchema = z.object({
  [EXACT_KEY]: z.record(z.string(), z.string()),
});

/**
 * Makes the schema of an object read what {@link encodeExactFields} has encoded. The
 * integers of the object are of {@link wireIntegerSchema}.
 *
 * @param schema - Schema of the object.
 * @returns The schema of the encoded object.
 *
 * @example
 * exactFields(z.object({ version: wireIntegerSchema }));
 */
export function exactFields<Schema extends z.ZodType>(schema: Schema) {
  return z.preprocess((value) => {
    const parsed = digitsSchema.safeParse(value);
    return parsed.success && typeof value === 'object'
      ? { ...value, ...parsed.data[EXACT_KEY] }
      : value;
  }, schema);
}

function normalize(value: bigint): ExactInteger {
  return value <= Number.MAX_SAFE_INTEGER ? Number(value) : value;
}
