import { expect } from 'chai';
import { shutdownBudget } from '@endivegate/core/forwarding';
import { createEventLog } from '../../../createEventLog/index.ts';
import { createShutdownState } from '../shutdownState.ts';
import { finishRequests } from './index.ts';

/** More than the time between two checks. */
const SETTLE_MS = 120;

/** The event loop passes that a check waits for, and one more. */
const PASSES = 4;

const nextPass = (): Promise<void> =>
  new Promise((resolve) => {
    setImmediate(resolve);
  });

async function settle(): Promise<void> {
  await new Promise((resolve) => setTimeout(resolve, SETTLE_MS));
  await Array.from({ length: PASSES }).reduce<Promise<void>>(
    (before) => before.then(nextPass),
    Promise.resolve(),
  );
}

/** An entry that has begun to shut down, with a clock of its own. */
function startShutdown({ receivedBytes = (): number => 0 } = {}) {
  const seen: string[] = [];
  let elapsedMs = 0;
  let openRequests = 1;
  const budget = shutdownBudget({ graceMs: 8000 });
  const shutdown = createShutdownState({ budget, now: () => elapsedMs });
  shutdown.onEnd(() => seen.push('requests ended'));
  shutdown.begin(0);
  finishRequests(
    {
      shutdown,
      budget,
      callerServer: { openRequests: () => openRequests, receivedBytes },
      log: createEventLog({ entryId: 'e', write: () => true }),
    },
    () => seen.push('exit'),
  );
  return async (atMs: number, open: number): Promise<readonly string[]> => {
    elapsedMs = atMs;
    openRequests = open;
    await settle();
    return [...seen];
  };
}

const ENDED = ['requests ended'];

describe('finishRequests', () => {
  it('exits once callers hold no address and no request is open', async () => {
    const at = startShutdown();
    expect(await at(3400, 0)).to.deep.equal([]);
    expect(await at(3600, 1)).to.deep.equal([]);
    expect(await at(3600, 0)).to.deep.equal([...ENDED, 'exit']);
  });

  // A process that had stood still exited before it had read the requests that had arrived.
  it('does not exit while requests arrive', async () => {
    let bytes = 0;
    let isBusy = true;
    const receivedBytes = (): number => (isBusy ? (bytes += 100) : bytes);
    const at = startShutdown({ receivedBytes });
    expect(await at(3600, 0)).to.deep.equal([]);
    isBusy = false;
    expect(await at(3600, 0)).to.deep.equal([...ENDED, 'exit']);
  });

  // A whole answer was lost where its caller had not read it 150 ms after the end of requests.
  it('waits for callers that still read their answers', async () => {
    const at = startShutdown();
    expect(await at(7500, 1)).to.deep.equal(ENDED);
    expect(await at(7790, 1)).to.deep.equal(ENDED);
    expect(await at(7790, 0)).to.deep.equal([...ENDED, 'exit']);
  });

  it('exits before it is killed, whatever callers have not read', async () => {
    const at = startShutdown();
    expect(await at(7790, 1)).to.deep.equal(ENDED);
    expect(await at(7800, 1)).to.deep.equal([...ENDED, 'exit']);
    expect(await at(8000, 1)).to.deep.equal([...ENDED, 'exit']);
  });
});
