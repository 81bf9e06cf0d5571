import type { TableState } from '../table/index.ts';

/**
 * Finds the workspace that a bearer token belongs to.
 *
 * The look-up is by the token's SHA-256 hash, so its time tells nothing about
 * the token.
 *
 * @param state - State of the table slice.
 * @param tokenHash - SHA-256 of the token, in lower-case hex.
 * @returns The workspace's id, or undefined when no workspace has the token.
 *
 * @example
 * findWorkspace(runtime.state().table, sha256(token)); // 'kigali-a'
 */
export function findWorkspace(
  state: TableState,
  tokenHash: string,
): string | undefined {
  return state.workspaceByTokenHash.get(tokenHash);
}
