import { expect } from 'chai';
import * as E from 'fp-ts/lib/Either.js';
import type { EventLog } from '../createEventLog/index.ts';
import type {
  StoreChange,
  StoreError,
  StoredItem,
  StorePort,
} from '../storePort/index.ts';
import { followPrefix } from './index.ts';

const silent: EventLog = {
  info: () => undefined,
  warn: () => undefined,
  droppedLines: () => 0,
  flush: (done) => {
    done();
  },
};

const item = (key: string, revision: number): StoredItem => ({
  key,
  value: Buffer.from(key),
  revision,
});

const put = (key: string, revision: number): StoreChange => ({
  type: 'put',
  item: item(key, revision),
});

type Scripted =
  | {
      readonly list: readonly StoredItem[];
      readonly revision: number;
      readonly era?: number;
    }
  | {
      readonly changes: readonly StoreChange[];
      readonly revision: number;
      readonly era?: number;
    }
  | { readonly error: StoreError };

/** Wait times that the watches of all scripts asked for. */
const waitsMs = new Set<number>();

/**
 * Runs `followPrefix` against scripted answers of the store and returns its
 * calls.
 */
async function follow(script: readonly Scripted[]): Promise<readonly string[]> {
  const seen: string[] = [];
  let step = 0;
  let clockMs = 0;
  let stop: () => void = () => undefined;
  await new Promise<void>((resolve) => {
    const next = (call: string): Scripted | undefined => {
      const scripted = script[step];
      step += 1;
      if (scripted === undefined) {
        stop();
        resolve();
        return undefined;
      }
      seen.push(call);
      return scripted;
    };
    const store = {
      list: () => () => {
        const scripted = next('list');
        if (scripted === undefined || 'error' in scripted) {
          return Promise.resolve(
            E.left(
              scripted?.error ?? { type: 'unanswered', reason: 'script ended' },
            ),
          );
        }
        const items = 'list' in scripted ? scripted.list : [];
        const { revision, era = 1 } = scripted;
        return Promise.resolve(E.right({ items, revision, era }));
      },
      watch:
        (query: { readonly afterRevision: number; readonly waitMs: number }) =>
        () => {
          waitsMs.add(query.waitMs);
          const scripted = next(`watch ${query.afterRevision}`);
          if (scripted === undefined || 'error' in scripted) {
            return Promise.resolve(
              E.left(
                scripted?.error ?? {
                  type: 'unanswered',
                  reason: 'script ended',
                },
              ),
            );
          }
          const changes = 'changes' in scripted ? scripted.changes : [];
          return Promise.resolve(
            E.right({
              changes,
              revision: scripted.revision,
              era: scripted.era ?? 1,
            }),
          );
        },
    } as unknown as StorePort;
    stop = followPrefix({
      store,
      log: silent,
      prefix: 'x/',
      waitMs: () => 1000,
      batchDelayMs: () => 0,
      onList: (items) => {
        seen.push(`listed ${items.map((one) => one.key).join()}`);
      },
      onChange: (change) => {
        if (change.type === 'put' && change.item.key === 'x/fails') {
          throw new Error('from a callback');
        }
        seen.push(change.type === 'put' ? `put ${change.item.key}` : 'removed');
      },
      onLost: () => {
        seen.push('lost');
      },
      onRestored: (era) => {
        seen.push(`restored ${era}`);
      },
      now: () => clockMs,
      sleep: (ms) => {
        clockMs += ms;
        return Promise.resolve();
      },
      random: () => 0.5,
    });
  });
  return seen;
}

describe('followPrefix', () => {
  it('continues to watch from the revision of each answer', async () => {
    const seen = await follow([
      { list: [item('x/a', 3)], revision: 5 },
      { changes: [put('x/b', 6)], revision: 6 },
      { changes: [], revision: 9 },
      { changes: [{ type: 'removed', key: 'x/a' }], revision: 10 },
    ]);
    expect(seen).to.deep.equal([
      'list',
      'listed x/a',
      'watch 5',
      'put x/b',
      'watch 6',
      'watch 9',
      'removed',
    ]);
  });

  it('lists again when the revision is no longer available', async () => {
    const seen = await follow([
      { list: [], revision: 5 },
      { error: { type: 'historyGone' } },
      { list: [item('x/b', 8)], revision: 8 },
      { changes: [], revision: 8 },
    ]);
    expect(seen).to.deep.equal([
      'list',
      'listed ',
      'watch 5',
      'list',
      'listed x/b',
      'watch 8',
    ]);
  });

  it('lists again, and does not mix revisions, when the store was restored', async () => {
    const seen = await follow([
      { list: [item('x/a', 3)], revision: 5 },
      { changes: [put('x/b', 6)], revision: 6 },
      { changes: [put('x/c', 8)], revision: 8, era: 2 },
      { list: [item('x/a', 3)], revision: 8, era: 2 },
      { changes: [], revision: 9, era: 2 },
    ]);
    expect(seen).to.deep.equal([
      'list',
      'listed x/a',
      'watch 5',
      'put x/b',
      'watch 6',
      'list',
      'restored 2',
      'listed x/a',
      'watch 8',
    ]);
  });

  it('drops a late list of an earlier era', async () => {
    const seen = await follow([
      { list: [], revision: 5, era: 2 },
      { error: { type: 'historyGone' } },
      { list: [item('x/old', 3)], revision: 9, era: 1 },
      { list: [item('x/new', 3)], revision: 4, era: 2 },
      { changes: [], revision: 4, era: 2 },
    ]);
    expect(seen).to.deep.equal([
      'list',
      'listed ',
      'watch 5',
      'list',
      'list',
      'listed x/new',
      'watch 4',
    ]);
  });

  it('reports the store as lost only after repeated failures', async () => {
    const refused: Scripted = { error: { type: 'refused', status: 503 } };
    const once = await follow([refused, { list: [], revision: 1 }]);
    expect(once).not.to.include('lost');
    const long = await follow([
      { list: [], revision: 1 },
      ...Array<Scripted>(8).fill(refused),
      { list: [], revision: 1 },
    ]);
    expect(long.filter((one) => one === 'lost')).to.have.length(1);
  });

  // An error of a callback ended the following for good.
  it('lists again after an error of a callback', async () => {
    expect(
      await follow([
        { list: [item('x/a', 1)], revision: 1 },
        { changes: [put('x/fails', 2)], revision: 2 },
        { list: [item('x/b', 3)], revision: 3 },
        { changes: [], revision: 3 },
      ]),
    ).to.deep.equal([
      'list',
      'listed x/a',
      'watch 1',
      'list',
      'listed x/b',
      'watch 3',
    ]);
  });

  it('randomises the wait of a watch', async () => {
    await follow([
      { list: [], revision: 1 },
      { changes: [], revision: 1 },
    ]);
    expect([...waitsMs]).to.deep.equal([750]);
  });
});
