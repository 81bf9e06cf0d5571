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
import { type TextPosition, positionAt } from './_lib/positionAt.ts';

/** A problem in a file, with its position. */
export interface Finding {
  readonly file: string;
  /** Line of the finding, 1-based. */
  readonly line: number;
  /** Column of the finding, 1-based. */
  readonly column: number;
  /** Dotted path of the field; empty for the whole document. */
  readonly path: string;
  /** Description of the problem and of the expected value. */
  readonly message: string;
}

/** Options of {@link parseJsonc}. */
export interface ParseJsoncOptions {
  /** File name to report in findings; defaults to `<input>`. */
  readonly file?: string;
}

/**
 * Parses JSON with comments and validates it against a schema.
 *
 * All findings are returned together, in the order of their positions.
 *
 * @param text - The document.
 * @param schema - The schema of the document.
 * @param options - Name of the file.
 * @returns The parsed value, or all findings with their positions.
 *
 * @example
 * parseJsonc('{ "port": 1 } // internal', z.strictObject({ port: z.number() }));
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
    return E.left(createSyntaxFindings(text, file, errors));
  }
  const result = schema.safeParse(getNodeValue(root));
  if (result.success) return E.right(result.data);
  const findings = result.error.issues
    .flatMap(splitUnknownKeys)
    .map((issue) => createSchemaFinding(issue, { text, file, root }));
  return E.left(findings.toSorted(comparePositions));
}

function createSyntaxFindings(
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
    ...positionAt(text, error.offset),
    path: '',
    message: `syntax: ${printParseErrorCode(error.error)}`,
  }));
}

interface SchemaIssue {
  readonly path: readonly PropertyKey[];
  readonly message: string;
}

/** Splits an issue about several unknown keys into one issue for each key. */
function splitUnknownKeys(issue: z.core.$ZodIssue): readonly SchemaIssue[] {
  if (issue.code !== 'unrecognized_keys') return [issue];
  return issue.keys.map((key) => ({
    path: [...issue.path, key],
    message: 'unknown key',
  }));
}

interface ParsedDocument {
  readonly text: string;
  readonly file: string;
  readonly root: Node;
}

function createSchemaFinding(
  issue: SchemaIssue,
  document: ParsedDocument,
): Finding {
  return {
    file: document.file,
    ...positionOfPath(issue.path, document),
    path: issue.path.map(String).join('.'),
    message: issue.message,
  };
}

/** Returns the position of a field, or of its nearest existing ancestor. */
function positionOfPath(
  path: readonly PropertyKey[],
  document: ParsedDocument,
): TextPosition {
  const segments = path.map((key) =>
    typeof key === 'number' ? key : String(key),
  );
  const node = findNodeAtLocation(document.root, segments);
  if (node !== undefined) {
    const isProperty = node.parent?.type === 'property';
    const anchor = isProperty ? (node.parent ?? node) : node;
    return positionAt(document.text, anchor.offset);
  }
  if (path.length === 0) return positionAt(document.text, document.root.offset);
  return positionOfPath(path.slice(0, -1), document);
}

function comparePositions(a: Finding, b: Finding): number {
  return a.line - b.line || a.column - b.column;
}
