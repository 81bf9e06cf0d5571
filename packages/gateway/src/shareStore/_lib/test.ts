import { decode, encode } from '@msgpack/msgpack';
import { expect } from 'chai';
import {
  decodeNews,
  encodeNews,
  encodeSnapshot,
  snapshotSchema,
  type StoreNews,
} from './storeNews.ts';

const news: StoreNews = {
  name: 'w',
  weight: 1,
  era: 1,
  fromRevision: 4,
  revision: 5,
  overdueMs: 0,
  holdMs: 0,
  configVersion: 3,
  changes: [{ type: 'removed', id: 't1' }],
};

/** Keys that the builds of ee21227 and 3e2fffc send and require. */
const OLD_KEYS = [
  ...['name', 'weight', 'era', 'fromRevision', 'revision', 'overdueMs'],
  ...['holdMs', 'configVersion', 'changes'],
];

describe('storeNews', () => {
  // Guards against entries of earlier builds that do not receive updates from the watchers.
  it('has all keys that earlier builds require', () => {
    const sent = decode(encodeNews(news)) as Record<string, unknown>;
    expect(Object.keys(sent)).to.include.members(OLD_KEYS);
  });

  it('reads news of earlier builds, and of later ones without what they add', () => {
    const old = Object.fromEntries(
      Object.entries(news).filter(([key]) => OLD_KEYS.includes(key)),
    );
    expect(decodeNews(encode(old))).to.deep.equal(news);
    const later = { ...news, evacuations: [['a', 1, 9, true]], later: {} };
    expect(decodeNews(encode(later))).to.deep.include(news);
    const snapshot = { era: 1, revision: 5, holdMs: 0, targets: [] };
    expect(snapshotSchema.parse(snapshot)).to.deep.equal(snapshot);
    expect(snapshotSchema.parse({ ...snapshot, later: 1 })).to.deep.include(
      snapshot,
    );
  });

  // Guards against a row that an entry of an earlier build passes on unchecked.
  it('skips a target that cannot be connected to, and keeps the others', () => {
    const target = {
      ...{ id: 't1', service: 's', address: '10.0.0.1:80', dataCentre: 'a' },
      ...{ draining: false, slots: 4, bornMs: 1 },
    };
    const odd = { ...target, id: 't2', address: '10.0.0.1:70000' };
    const rows = [target, odd, 7].map((one) => ({ type: 'put', target: one }));
    const { changes } = decodeNews(encode({ ...news, changes: rows })) ?? {};
    expect(changes).to.deep.equal([
      { type: 'put', target },
      { type: 'removed', id: 't2' },
    ]);
    const snapshot = { era: 1, revision: 5, holdMs: 0 };
    const targets = [target, odd, 7];
    expect(
      snapshotSchema.parse({ ...snapshot, targets }).targets,
    ).to.deep.equal([target]);
  });

  // Guards against entries that miss changes because a watcher's revisions are rounded, and
  // against news that earlier builds cannot read.
  it('tells positions above 2^53 with all digits', () => {
    const at = { era: 9007199254740993n, revision: 1152921504606846977n };
    const target = {
      ...{ id: 't1', service: 's', address: '10.0.0.1:80', dataCentre: 'a' },
      ...{ draining: false, slots: 4, bornMs: 1 },
    };
    const evacuation = { dataCentre: 'b', isEvacuated: true, ageMs: 3 };
    const long: StoreNews = {
      ...{ ...news, ...at, fromRevision: 1152921504606846976n },
      changes: [{ type: 'put', target: { ...target, revision: at.revision } }],
      evacuations: [{ ...evacuation, ...at }],
    };
    expect(decodeNews(encodeNews(long))).to.deep.equal(long);
    const sent = decode(encodeNews(long)) as Record<string, unknown>;
    expect([sent.era, sent.revision]).to.deep.equal([2 ** 53, 2 ** 60]);
    const snapshot = {
      ...{ ...at, holdMs: 0, targets: [{ ...target, revision: at.revision }] },
      evacuations: [{ ...evacuation, ...at }],
    };
    const json = JSON.stringify(encodeSnapshot(snapshot));
    expect(snapshotSchema.parse(JSON.parse(json))).to.deep.equal(snapshot);
  });

  it('leaves out changes that do not fit, at positions above 2^53 as well', () => {
    const changes = Array.from({ length: 200 }, (_, index) => ({
      ...{ type: 'removed' as const, id: `target-${index}` },
    }));
    const revision = 1152921504606846977n;
    const long = { ...news, fromRevision: 2n ** 60n - 9n, revision, changes };
    expect(decodeNews(encodeNews(long))).to.deep.include({
      ...{ fromRevision: revision, revision, changes: [] },
    });
  });

  it('does not use positions that an earlier build has rounded', () => {
    const rounded = { ...news, fromRevision: 2 ** 60, revision: 2 ** 60 };
    expect(decodeNews(encode(rounded))).to.equal(undefined);
    const version = { ...news, configVersion: 2 ** 60 };
    expect(decodeNews(encode(version))).to.deep.equal({
      ...{ ...news, configVersion: 0 },
    });
  });

  it('drops bytes that are no news', () => {
    expect(decodeNews(encode({ ...news, era: 'x' }))).to.equal(undefined);
    expect(decodeNews(encodeNews(news).subarray(0, 9))).to.equal(undefined);
  });
});
