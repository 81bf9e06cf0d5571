import { expect } from 'chai';
import * as E from 'fp-ts/lib/Either.js';
import fc from 'fast-check';
import {
  TABLE_MANIFEST_KEY,
  tableManifestSchema,
  type TableChange,
  type TableDocument,
  type TableManifest,
} from '@endivegate/contracts';
import { changeTable } from '../changeTable/index.ts';
import { collectTableGarbage } from '../collectTableGarbage/index.ts';
import {
  readManifest,
  readSnapshot,
  type TableStore,
} from '../readTable/index.ts';
import { replaceTable } from '../replaceTable/index.ts';
import { rollBackTable } from '../rollBackTable/index.ts';
import {
  createFakeStore,
  type CreateFakeStoreOptions,
  type Fault,
} from '../test.fakeStore.ts';
import {
  editTable,
  type AcceptedEdit,
  type EditTableOptions,
  type TableEdit,
} from './index.ts';

const empty: TableDocument = { rows: [], workspaces: [], models: [] };
const row = { workspace: '*', service: '*', kind: '*' };
const withRow = (cells: object): TableDocument => ({
  ...empty,
  rows: [{ ...row, ...cells }],
});

function weightChange(before: number, after: number): TableChange {
  const address = ['*', '*', '*'];
  return { section: 'rows', address, cell: 'weight', before, after };
}

/** Creates a generator of distinct numbers in [0, 1), the same in every run. */
function createPseudoRandom(): () => number {
  let count = 0;
  return () => {
    count += 1;
    return (count * 0.618_033_988_749_895) % 1;
  };
}

function setUp(options: CreateFakeStoreOptions = {}) {
  const fake = createFakeStore(options);
  const store: TableStore = {
    platform: fake.platform,
    cached: () => undefined,
  };
  const defaults: EditTableOptions = {
    nowUnixMs: () => 0,
    random: createPseudoRandom(),
    sleep: () => Promise.resolve(),
  };
  const edit = (
    editToken: string,
    change: TableEdit['change'],
    more: Partial<EditTableOptions> = {},
  ) =>
    editTable(
      store,
      { editToken, author: `author-${editToken}`, note: '', change },
      { ...defaults, ...more },
    )();
  const manifest = (): TableManifest =>
    tableManifestSchema.parse(
      JSON.parse(fake.values.get(TABLE_MANIFEST_KEY)?.value ?? '{}'),
    );
  const readNewestDocument = async (): Promise<TableDocument | undefined> => {
    const snapshot = await readSnapshot(store, manifest().history.at(-1))();
    return E.isRight(snapshot) ? snapshot.right.document : undefined;
  };
  return { fake, store, edit, manifest, readNewestDocument };
}

/** The part of an accepted edit that is reported to operators. */
const reportedResult = ({ number, changes }: AcceptedEdit) => ({
  number,
  changes,
});

const replaceEmptyTable = (store: TableStore, document: TableDocument) =>
  replaceTable(store, { baseNumber: 0, document, author: 'first' });

describe('editTable', () => {
  it('accepts a first table and a change to it', async () => {
    const { store, edit, readNewestDocument } = setUp();
    await edit('t1', replaceEmptyTable(store, withRow({ weight: 1 })));
    const second = await edit(
      't2',
      changeTable(store, [weightChange(1, 2)], 'a'),
    );
    expect({
      second: E.map(reportedResult)(second),
      inForce: await readNewestDocument(),
    }).toMatchSnapshot();
  });

  it('reports a conflict with both values and their authors', async () => {
    const { store, edit } = setUp();
    await edit('t1', replaceEmptyTable(store, withRow({ weight: 1 })));
    await edit('t2', changeTable(store, [weightChange(1, 2)], 'a'));
    expect(
      await edit('t3', changeTable(store, [weightChange(1, 3)], 'b')),
    ).toMatchSnapshot();
  });

  it('reports all findings of an invalid table', async () => {
    const { store, edit } = setUp();
    expect(
      await edit(
        't1',
        replaceEmptyTable(store, withRow({ weight: -1, colour: 1 })),
      ),
    ).toMatchSnapshot();
  });

  it('rolls back to older content under a new version number', async () => {
    const { store, edit, readNewestDocument, manifest } = setUp();
    await edit('t1', replaceEmptyTable(store, withRow({ weight: 1 })));
    await edit('t2', changeTable(store, [weightChange(1, 2)], 'a'));
    await edit('t3', rollBackTable(store, 1));
    expect(await readNewestDocument()).to.deep.equal(withRow({ weight: 1 }));
    expect(manifest().history.at(-1)?.number).to.equal(3);
  });

  it('numbers a new version above the active one after the store lost its data', async () => {
    const { store, edit, manifest } = setUp();
    await edit('t1', replaceEmptyTable(store, empty), { activeNumber: 57 });
    expect(manifest().history.at(-1)?.number).to.equal(58);
  });

  it('resolves a lost reply by finding its edit token in the history', async () => {
    const faults: Fault[] = ['replyLost'];
    const { store, edit, manifest } = setUp({
      fault: (name) =>
        name === `swap ${TABLE_MANIFEST_KEY}`
          ? (faults.shift() ?? 'none')
          : 'none',
    });
    const accepted = await edit(
      't1',
      replaceEmptyTable(store, withRow({ weight: 1 })),
    );
    expect(accepted).to.have.nested.property('right.number', 1);
    expect(manifest().history).to.have.length(1);
  });

  it('accepts a resent edit only once', async () => {
    const { store, edit, manifest } = setUp();
    const change = replaceEmptyTable(store, withRow({ weight: 1 }));
    const once = await edit('t1', change);
    const again = await edit('t1', change);
    expect(E.map(reportedResult)(again)).to.deep.equal(
      E.map(reportedResult)(once),
    );
    expect(manifest().history).to.have.length(1);
  });

  it('reports an edit as in doubt when the store goes down after the swap', async () => {
    let isDown = false;
    const { store, edit } = setUp({
      fault: (name) => {
        if (isDown) return 'unreachable';
        isDown = name === `swap ${TABLE_MANIFEST_KEY}`;
        return isDown ? 'replyLost' : 'none';
      },
    });
    expect(await edit('t1', replaceEmptyTable(store, empty))).to.deep.equal(
      E.left({ type: 'inDoubt', editToken: 't1' }),
    );
  });

  it('reports a store error when the store is down before the swap', async () => {
    const { store, edit } = setUp({ fault: () => 'unreachable' });
    expect(await edit('t1', replaceEmptyTable(store, empty))).to.deep.equal(
      E.left({ type: 'store', error: { type: 'unreachable' } }),
    );
  });

  it('applies every accepted edit of concurrent operators exactly once', async () => {
    await fc.assert(
      fc.asyncProperty(
        fc.scheduler(),
        fc.infiniteStream(
          fc.constantFrom<Fault>(
            'none',
            'none',
            'none',
            'unreachable',
            'replyLost',
          ),
        ),
        async (scheduler, faults) => {
          const history = await raceOperators(scheduler, faults);
          expect(history.violations.join('; ')).to.equal('');
        },
      ),
      { seed: 1, numRuns: 150 },
    );
  }).timeout(60_000);
});

/**
 * Runs concurrent edits (two of the same cell, one of another cell) and two
 * garbage collections, and returns the violated invariants.
 */
async function raceOperators(
  scheduler: fc.Scheduler,
  faults: fc.Stream<Fault>,
): Promise<{ readonly violations: readonly string[] }> {
  let isFaultFree = true;
  const setup = setUp({
    schedule: (name) =>
      isFaultFree
        ? Promise.resolve()
        : scheduler.schedule(Promise.resolve(), name),
    fault: () => (isFaultFree ? 'none' : nextOf(faults)),
  });
  const { store, edit, manifest } = setup;
  await edit(
    't0',
    replaceEmptyTable(store, withRow({ weight: 1, concurrency: 1 })),
  );
  isFaultFree = false;
  const addressed = { section: 'rows', address: ['*', '*', '*'] } as const;
  const changes = new Map<string, TableChange>([
    ['a', weightChange(1, 2)],
    ['b', weightChange(1, 3)],
    [
      'c',
      {
        ...addressed,
        address: ['*', '*', '*'],
        cell: 'concurrency',
        before: 1,
        after: 9,
      },
    ],
  ]);
  const runs = [...changes].map(async ([token, change]) => {
    const outcome = await edit(token, changeTable(store, [change], token), {
      maxAttempts: 6,
    });
    return { token, outcome };
  });
  const collections = [0, 1].map(() =>
    collectTableGarbage(store, 'table/chunk/')(),
  );
  const [outcomes] = await scheduler.waitFor(
    Promise.all([Promise.all(runs), Promise.all(collections)]),
  );
  isFaultFree = true;
  const violations = await checkOutcomes(setup, outcomes, changes);
  const numbers = manifest().history.map(({ number }) => number);
  const isConsecutive = numbers.every((number, index) => number === index + 1);
  return {
    violations: isConsecutive
      ? violations
      : [...violations, 'version numbers not consecutive'],
  };
}

function nextOf(faults: fc.Stream<Fault>): Fault {
  const next: IteratorResult<Fault, unknown> = faults.next();
  return next.done ? 'none' : next.value;
}

async function checkOutcomes(
  { store }: ReturnType<typeof setUp>,
  outcomes: readonly {
    readonly token: string;
    readonly outcome: Awaited<ReturnType<ReturnType<typeof editTable>>>;
  }[],
  changes: ReadonlyMap<string, TableChange>,
): Promise<readonly string[]> {
  const stored = await readManifest(store)();
  if (E.isLeft(stored)) return ['manifest not readable'];
  const history = stored.right.manifest?.history ?? [];
  const snapshots = await Promise.all(
    history.map((version) => readSnapshot(store, version)()),
  );
  const unreadable = snapshots
    .filter(E.isLeft)
    .map(() => 'number not readable');
  const outcomeFindings = outcomes.flatMap(({ token, outcome }) => {
    const times = history.filter(({ editToken }) => editToken === token).length;
    const isReportedAccepted = E.isRight(outcome);
    const isInDoubt = E.isLeft(outcome) && outcome.left.type === 'inDoubt';
    if (times > 1) return [`${token} accepted twice`];
    if (isReportedAccepted && times === 0) return [`${token} lost`];
    if (!isReportedAccepted && !isInDoubt && times > 0) {
      return [`${token} accepted but reported as refused`];
    }
    return [];
  });
  const effects = history.flatMap(({ editToken }, index) => {
    const change = changes.get(editToken);
    const before = snapshots[index - 1];
    const after = snapshots[index];
    if (!change || !before || !after) return [];
    if (E.isLeft(before) || E.isLeft(after)) return [];
    const cell = change.cell as 'weight' | 'concurrency';
    const valueBefore = before.right.document.rows[0]?.[cell];
    const valueAfter = after.right.document.rows[0]?.[cell];
    return valueBefore === change.before && valueAfter === change.after
      ? []
      : [`${editToken} overwrote another's change`];
  });
  return [...unreadable, ...outcomeFindings, ...effects];
}
