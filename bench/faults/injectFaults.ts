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

const SPELL_MS = 1_500;
const PAUSE_MS = 2_000;
const RESTART_AFTER_MS = 500;
const FAULTY_SHARE = 0.4;

/**
 * Injects one fault and takes it back after a while.
 *
 * @param kind - What goes wrong.
 * @param system - The running system.
 * @param random - Uniform in [0, 1), to pick the victim.
 */
export async function injectFault(
  kind: FaultKind,
  system: FaultSystem,
  random: () => number,
): Promise<void> {
  const engine = pick(system.engines, random);
  const entry = pick(system.entries, random);
  const { ledger, platform } = system;
  const spell = async (start: () => unknown, end: () => unknown) => {
    await start();
    await sleep(SPELL_MS);
    await end();
  };
  const ledgerSpell = (
    name: 'crashBeforeRate' | 'crashAfterRate' | 'cutRate' | 'silentRate',
  ) =>
    spell(
      () => {
        ledger.setFaults({ [name]: FAULTY_SHARE });
      },
      () => {
        ledger.setFaults({ [name]: 0 });
      },
    );
  const engineSpell = (name: 'cutRate' | 'crossedRate' | 'doubledRate') =>
    spell(
      () => {
        engine.setFaults({ [name]: FAULTY_SHARE });
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
      return engineSpell('cutRate');
    case 'engineCrossed':
      return engineSpell('crossedRate');
    case 'engineDoubled':
      return engineSpell('doubledRate');
    case 'engineLate':
      return spell(
        () => {
          engine.setFaults({ delayMs: 1_000 });
        },
        () => {
          engine.setFaults({ delayMs: 0 });
        },
      );
    case 'ledgerCrashBefore':
      return ledgerSpell('crashBeforeRate');
    case 'ledgerCrashAfter':
      return ledgerSpell('crashAfterRate');
    case 'ledgerCut':
      return ledgerSpell('cutRate');
    case 'ledgerSilent':
      return ledgerSpell('silentRate');
    case 'storeDown':
      return spell(
        () => platform.setFaults({ isDown: true }),
        () => platform.setFaults({ isDown: false }),
      );
    case 'storeSlow':
      return spell(
        () => platform.setFaults({ delayMs: 700 }),
        () => platform.setFaults({ delayMs: 0 }),
      );
    case 'storeReplyLost':
      return spell(
        () => platform.setFaults({ lostReplyRate: FAULTY_SHARE }),
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
  if (one === undefined) throw new Error('nothing to pick from');
  return one;
}
