import type { TableState } from '../table/index.ts';

/**
 * Finds the workspace that a bearer token belongs to.
 *
 * The token is looked up by its SHA-256 hash, so that the duration of the
 * lookup reveals nothing about the token.
 *
 * @param state - State of the table slice.
 * @param tokenHash - SHA-256 of the token, in lower-case hex.
 * @returns The workspace's id, or undefined if the token is unknown.
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
