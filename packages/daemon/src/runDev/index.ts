import { createLogger } from '../createLogger/index.ts';
import type { Entry } from '../createEntry/index.ts';
import { createDeferredExitCode, leaveOnSignals } from '../runServe/index.ts';
import {
  LOCAL_MODEL,
  LOCAL_OPERATOR_TOKEN,
  LOCAL_WORKSPACE_TOKEN,
  startLocalFleet,
} from '../startLocalFleet/index.ts';

/** Options of {@link runDev}. */
export interface RunDevOptions {
  /** Port for callers; 0 for any free port. */
  readonly port: number;
  /** Port for operators; 0 for any free port. */
  readonly operatorsPort: number;
}

/**
 * Runs `endivegate dev`, one entry with in-process stand-ins, until it has left
 * after a stop signal.
 *
 * @param options - Ports.
 * @returns The exit code.
 */
export async function runDev(options: RunDevOptions): Promise<number> {
  const exit = createDeferredExitCode();
  const fleet = await startLocalFleet({
    ...options,
    logger: (entryId) => createLogger({ entryId }),
    onExit: exit.resolve,
  });
  fleet.entries.forEach((entry) => {
    leaveOnSignals(Promise.resolve(entry));
    process.stdout.write(formatWelcome(entry));
  });
  const exitCode = await exit.promise;
  await fleet.stop();
  return exitCode;
}

function formatWelcome(entry: Entry): string {
  return `endivegate is ready at ${entry.callersUrl}

Ask a question:

  curl -N ${entry.callersUrl}/v1/chat/completions \\
    -H 'authorization: Bearer ${LOCAL_WORKSPACE_TOKEN}' \\
    -H 'content-type: application/json' \\
    -d '{"model":"${LOCAL_MODEL}","stream":true,"max_tokens":16,
         "messages":[{"role":"user","content":"Who is next in the rota?"}]}'

Look at the table as an operator:

  ENDIVEGATE_TOKEN=${LOCAL_OPERATOR_TOKEN} \\
    npx endivegatectl table show --url ${entry.operatorsUrl}

Stop with Ctrl-C.
`;
}
