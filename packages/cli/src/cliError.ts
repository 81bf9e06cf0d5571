import type { TableConflict, TableFinding } from '@endivegate/contracts';
import type { ExitCode } from './exitCodes.ts';

/** Why a command failed. */
export interface CliError {
  readonly exitCode: ExitCode;
  readonly message: string;
  readonly conflicts?: readonly TableConflict[] | undefined;
  readonly findings?: readonly TableFinding[] | undefined;
}
