import type { KeyValue, PlatformPort } from '@endivegate/contracts';
import type { SuspectsEffect, SuspectsEvent } from '@endivegate/core';
import { expect } from 'chai';
import * as TE from 'fp-ts/lib/TaskEither.js';
import type { Runtime } from '../runtime/index.ts';
import { clearSuspect, createSuspectsHandler, listSuspects } from './index.ts';

/** In-memory store of one key; it can be down or lose the next reply. */
function createStore() {
  let stored: KeyValue | undefined;
  let writes = 0;
  const store = { isDown: false, losesNextReply: false };
  const platform = {
    get: () =>
      store.isDown ? TE.left({ type: 'unreachable' }) : TE.right(stored),
    compareAndSwap: (put) => {
      if ((stored?.version ?? 0) !== put.expectedVersion) {
        return TE.left({ type: 'conflict', current: stored });
      }
      writes += 1;
      stored = { ...put, version: put.expectedVersion + 1 };
      if (!store.losesNextReply) return TE.right(stored);
      store.losesNextReply = false;
      return TE.left({ type: 'replyLost' });
    },
  } as Partial<PlatformPort> as PlatformPort;
  return { platform, store, writes: () => writes };
}

function crashReport(fingerprint: string, targetId = 'e1'): SuspectsEffect {
  const token = `r-${fingerprint}`;
  return {
    type: 'suspects.announce',
    requestId: token,
    report: { type: 'crash', fingerprint, targetId, token, wantsTrial: true },
  };
}

/** Runs all reports concurrently and returns their verdicts. */
async function announce(
  platform: PlatformPort,
  effects: readonly SuspectsEffect[],
): Promise<string[]> {
  const { handle } = createSuspectsHandler({ platform, wallClockMs: () => 0 });
  const verdicts: string[] = [];
  await new Promise<void>((resolve) => {
    const runtime = {
      dispatch: (event: SuspectsEvent) => {
        if (event.type !== 'suspects.verdictReceived') return;
        verdicts.push(`${event.fingerprint}: ${event.verdict.type}`);
        if (verdicts.length === effects.length) resolve();
      },
    } as Partial<Runtime> as Runtime;
    effects.forEach((effect) => {
      handle(effect, runtime);
    });
  });
  return verdicts;
}

const manyCrashes = Array.from({ length: 30 }, (_, i) => crashReport(`f${i}`));

describe('createSuspectsHandler', () => {
  it('merges the reports of one crash into few writes', async () => {
    const { platform, writes } = createStore();
    const verdicts = await announce(platform, manyCrashes);
    expect(new Set(verdicts.map((v) => v.split(' ')[1]))).to.deep.equal(
      new Set(['trial']),
    );
    expect(writes()).to.equal(2);
    const listed = await listSuspects(platform)();
    expect(listed).to.have.nested.property('right.length', 30);
  });

  it('judges a report once even when the reply to its write is lost', async () => {
    const { platform, store } = createStore();
    store.losesNextReply = true;
    expect(await announce(platform, [crashReport('f')])).to.deep.equal([
      'f: trial',
    ]);
    expect(await listSuspects(platform)()).toMatchSnapshot();
  });

  it('grants one trial when two entries report concurrently', async () => {
    const { platform } = createStore();
    const rival = crashReport('f', 'e2');
    const other = { ...rival, report: { ...rival.report, token: 'other' } };
    const verdicts = await Promise.all([
      announce(platform, [crashReport('f')]),
      announce(platform, [other as SuspectsEffect]),
    ]);
    expect(verdicts.flat().toSorted()).to.deep.equal(['f: trial', 'f: wait']);
  });

  it('reports that the store is down', async () => {
    const { platform, store } = createStore();
    store.isDown = true;
    const verdicts = await announce(platform, [crashReport('f')]);
    expect(verdicts).to.deep.equal(['f: storeDown']);
  });

  it('clears a suspect by its fingerprint', async () => {
    const { platform } = createStore();
    await announce(platform, [crashReport('f'), crashReport('g')]);
    const cleared = await clearSuspect(platform, 'f')();
    const again = await clearSuspect(platform, 'f')();
    expect([cleared, again]).toMatchSnapshot();
    const listed = await listSuspects(platform)();
    expect(listed).to.have.nested.property('right.length', 1);
  });
});
