import type { TableConflict, TableFinding } from '@endivegate/contracts';
import type { ExitCode } from './exitCodes.ts';

/** The error of a failed command. */
export interface CliError {
  readonly exitCode: ExitCode;
  readonly message: string;
  readonly conflicts?: readonly TableConflict[] | undefined;
  readonly findings?: readonly TableFinding[] | undefined;
}
