import * as E from 'fp-ts/lib/Either.js';
import {
  findNodeAtLocation,
  getNodeValue,
  type Node,
  type ParseError,
  parseTree,
  printParseErrorCode,
} from 'jsonc-parser';
import type { z } from 'zod';
import { type Place, placeAt } from './_lib/placeAt.ts';

/** One thing that is wrong with a file, and where. */
export interface Finding {
  readonly file: string;
  /** Line of the finding, from 1. */
  readonly line: number;
  /** Column of the finding, from 1. */
  readonly column: number;
  /** Dotted path of the field; empty for the whole document. */
  readonly path: string;
  /** What is wrong, and what is expected instead. */
  readonly message: string;
}

/** Options of {@link parseJsonc}. */
export interface ParseJsoncOptions {
  /** Name of the file for findings; `<input>` by default. */
  readonly file?: string;
}

/**
 * Parses JSON with comments and checks it against a schema.
 *
 * All findings are collected and returned together, in the file's order.
 *
 * @param text - The document.
 * @param schema - The schema that it has to meet.
 * @param options - Name of the file.
 * @returns The parsed value, or every finding with its place.
 *
 * @example
 * parseJsonc('{ "port": 1 } // trial', z.strictObject({ port: z.number() }));
 */
export function parseJsonc<Schema extends z.ZodType>(
  text: string,
  schema: Schema,
  options: ParseJsoncOptions = {},
): E.Either<readonly Finding[], z.output<Schema>> {
  const file = options.file ?? '<input>';
  const errors: ParseError[] = [];
  const root = parseTree(text, errors, { allowTrailingComma: true });
  if (root === undefined || errors.length > 0) {
    return E.left(syntaxFindings(text, file, errors));
  }
  const checked = schema.safeParse(getNodeValue(root));
  if (checked.success) return E.right(checked.data);
  const findings = checked.error.issues
    .flatMap(splitUnknownKeys)
    .map((issue) => schemaFinding(issue, { text, file, root }));
  return E.left(findings.toSorted(byPlace));
}

function syntaxFindings(
  text: string,
  file: string,
  errors: readonly ParseError[],
): readonly Finding[] {
  if (errors.length === 0) {
    return [
      { file, line: 1, column: 1, path: '', message: 'document is empty' },
    ];
  }
  return errors.map((error) => ({
    file,
    ...placeAt(text, error.offset),
    path: '',
    message: `syntax: ${printParseErrorCode(error.error)}`,
  }));
}

interface SchemaIssue {
  readonly path: readonly PropertyKey[];
  readonly message: string;
}

/** Turns one issue about several unknown keys into one issue for each key. */
function splitUnknownKeys(issue: z.core.$ZodIssue): readonly SchemaIssue[] {
  if (issue.code !== 'unrecognized_keys') return [issue];
  return issue.keys.map((key) => ({
    path: [...issue.path, key],
    message: 'unknown key',
  }));
}

interface Document {
  readonly text: string;
  readonly file: string;
  readonly root: Node;
}

function schemaFinding(issue: SchemaIssue, document: Document): Finding {
  return {
    file: document.file,
    ...placeOfPath(issue.path, document),
    path: issue.path.map(String).join('.'),
    message: issue.message,
  };
}

/** Returns the place of a field, or of its closest parent that exists. */
function placeOfPath(path: readonly PropertyKey[], document: Document): Place {
  const segments = path.map((key) =>
    typeof key === 'number' ? key : String(key),
  );
  const node = findNodeAtLocation(document.root, segments);
  if (node !== undefined) {
    const isProperty = node.parent?.type === 'property';
    const anchor = isProperty ? (node.parent ?? node) : node;
    return placeAt(document.text, anchor.offset);
  }
  if (path.length === 0) return placeAt(document.text, document.root.offset);
  return placeOfPath(path.slice(0, -1), document);
}

function byPlace(a: Finding, b: Finding): number {
  return a.line - b.line || a.column - b.column;
}
