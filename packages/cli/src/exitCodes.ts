import type { AdminErrorBody } from '@endivegate/contracts';

/** Exit codes of `endivegatectl`. */
export const EXIT_CODES = {
  ok: 0,
  failed: 1,
  invalidCommandLine: 2,
  conflict: 3,
  findings: 4,
  storeDown: 5,
  inDoubt: 6,
  entriesLagging: 7,
  entryUnreachable: 8,
} as const;

/** Exit code of `endivegatectl`. */
export type ExitCode = (typeof EXIT_CODES)[keyof typeof EXIT_CODES];

/** Exit code for each type of error response. */
export const EXIT_CODE_OF_ERROR: Readonly<
  Record<AdminErrorBody['error']['type'], ExitCode>
> = {
  unauthorized: EXIT_CODES.entryUnreachable,
  invalid_request: EXIT_CODES.failed,
  not_found: EXIT_CODES.failed,
  conflict: EXIT_CODES.conflict,
  invalid_table: EXIT_CODES.findings,
  store_down: EXIT_CODES.storeDown,
  in_doubt: EXIT_CODES.inDoubt,
  internal: EXIT_CODES.failed,
};

/** Description of the exit codes, printed by `--help`. */
export const EXIT_CODE_HELP = `Exit codes:
  0  done
  1  failed, or refused by the entry
  2  invalid command line
  3  conflict: others changed the same cells; nothing was changed
  4  findings in the table or file; nothing was changed
  5  the store is down; nothing was changed
  6  in doubt: the edit may have been accepted; send it again with --edit-token
  7  accepted, but some live entries do not have it in force yet (--wait)
  8  the entry cannot be reached, or it refused the token
`;
