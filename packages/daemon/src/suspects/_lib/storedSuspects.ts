import {
  suspectsDocumentSchema,
  type SuspectsDocument,
} from '@endivegate/contracts';

/** The fleet's suspects with the version that the next write expects. */
export interface StoredSuspects {
  readonly document: SuspectsDocument;
  readonly version: number;
}

/**
 * Reads the stored suspects; what cannot be read counts as empty.
 *
 * @param stored - Value and version, undefined when the key is absent.
 * @returns The suspects.
 */
export function parseStored(
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
