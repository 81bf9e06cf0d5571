import {
  suspectsDocumentSchema,
  type SuspectsDocument,
} from '@endivegate/contracts';

/** The fleet's suspects and their version, for the next compare-and-swap. */
export interface StoredSuspects {
  readonly document: SuspectsDocument;
  readonly version: number;
}

/**
 * Parses the stored suspects; an unreadable document counts as empty.
 *
 * @param stored - Value and version, undefined when the key is absent.
 * @returns The suspects.
 */
export function parseStoredSuspects(
  stored: { readonly value: string; readonly version: number } | undefined,
): StoredSuspects {
  if (stored === undefined) return { document: { suspects: [] }, version: 0 };
  try {
    const document = suspectsDocumentSchema.parse(JSON.parse(stored.value));
    return { document, version: stored.version };
  } catch {
    return { document: { suspects: [] }, version: stored.version };
  }
}
