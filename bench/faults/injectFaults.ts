import { setTimeout as sleep } from 'node:timers/promises';
import type { FaultSystem } from './startSystem.ts';

/** Kinds of faults that a run injects. */
export const FAULT_KINDS = [
  'engineCrash',
  'engineSilent',
  'engineCut',
  'engineCrossed',
  'engineDoubled',
  'engineLate',
  'ledgerCrashBefore',
  'ledgerCrashAfter',
  'ledgerCut',
  'ledgerSilent',
  'storeDown',
  'storeSlow',
  'storeReplyLost',
  'entryKilled',
  'entryPaused',
] as const;

/** Kind of an injected fault. */
export type FaultKind = (typeof FAULT_KINDS)[number];

const FAULT_DURATION_MS = 1_500;
const PAUSE_MS = 2_000;
const RESTART_AFTER_MS = 500;
const FAULT_RATE = 0.4;

/**
 * Injects one fault and reverts it after a fixed time, unless it ends by itself.
 *
 * @param kind - Kind of fault.
 * @param system - The running system.
 * @param random - Uniform in [0, 1); selects the affected engine or entry.
 */
export async function injectFault(
  kind: FaultKind,
  system: FaultSystem,
  random: () => number,
): Promise<void> {
  const engine = pick(system.engines, random);
  const entry = pick(system.entries, random);
  const { ledger, platform } = system;
  const withFault = async (start: () => unknown, end: () => unknown) => {
    await start();
    await sleep(FAULT_DURATION_MS);
    await end();
  };
  const withLedgerFault = (
    name: 'crashBeforeRate' | 'crashAfterRate' | 'cutRate' | 'silentRate',
  ) =>
    withFault(
      () => {
        ledger.setFaults({ [name]: FAULT_RATE });
      },
      () => {
        ledger.setFaults({ [name]: 0 });
      },
    );
  const withEngineFault = (name: 'cutRate' | 'crossedRate' | 'doubledRate') =>
    withFault(
      () => {
        engine.setFaults({ [name]: FAULT_RATE });
      },
      () => {
        engine.setFaults({ [name]: 0 });
      },
    );
  switch (kind) {
    case 'engineCrash':
      engine.crash();
      return;
    case 'engineSilent':
      engine.silenceOpenConnections();
      return;
    case 'engineCut':
      return withEngineFault('cutRate');
    case 'engineCrossed':
      return withEngineFault('crossedRate');
    case 'engineDoubled':
      return withEngineFault('doubledRate');
    case 'engineLate':
      return withFault(
        () => {
          engine.setFaults({ delayMs: 1_000 });
        },
        () => {
          engine.setFaults({ delayMs: 0 });
        },
      );
    case 'ledgerCrashBefore':
      return withLedgerFault('crashBeforeRate');
    case 'ledgerCrashAfter':
      return withLedgerFault('crashAfterRate');
    case 'ledgerCut':
      return withLedgerFault('cutRate');
    case 'ledgerSilent':
      return withLedgerFault('silentRate');
    case 'storeDown':
      return withFault(
        () => platform.setFaults({ isDown: true }),
        () => platform.setFaults({ isDown: false }),
      );
    case 'storeSlow':
      return withFault(
        () => platform.setFaults({ delayMs: 700 }),
        () => platform.setFaults({ delayMs: 0 }),
      );
    case 'storeReplyLost':
      return withFault(
        () => platform.setFaults({ lostReplyRate: FAULT_RATE }),
        () => platform.setFaults({ lostReplyRate: 0 }),
      );
    case 'entryKilled':
      entry.disturbedAtMs.push(performance.now());
      entry.process.child.kill('SIGKILL');
      await sleep(RESTART_AFTER_MS);
      return entry.restart();
    case 'entryPaused':
      entry.disturbedAtMs.push(performance.now());
      entry.process.child.kill('SIGSTOP');
      await sleep(PAUSE_MS);
      entry.process.child.kill('SIGCONT');
      entry.disturbedAtMs.push(performance.now());
      return;
  }
}

function pick<T>(all: readonly T[], random: () => number): T {
  const one = all[Math.floor(random() * all.length)];
  if (one === undefined) throw new Error('cannot pick from an empty list');
  return one;
}
