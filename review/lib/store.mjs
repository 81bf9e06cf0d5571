/**
 * A stand-in of the platform's store, as PROTOCOL.md describes it: one revision
 * counter, prefix lists in pages, watches, conditional writes and leases.
 */
import { createServer } from 'node:http';

const MAX_ITEMS_PER_PAGE = 500;

/** Time after which the store closes an idle connection. */
const IDLE_MS = 60_000;

export async function startStore(host) {
  const items = new Map();
  const leases = new Map();
  let changes = [];
  let revision = 100;
  let lastLease = 0;
  let watches = [];

  function record(row) {
    changes.push({ revision: row.Revision, row });
    if (changes.length > 20_000) changes = changes.slice(-10_000);
    const woken = watches;
    watches = [];
    woken.forEach((watch) => watch.check());
  }

  function put(key, value, lease = 0) {
    revision += 1;
    const row = {
      Key: key,
      Value: Buffer.from(value).toString('base64'),
      Revision: revision,
      Created: items.get(key)?.Created ?? revision,
      Lease: lease,
    };
    items.set(key, row);
    record(row);
    return revision;
  }

  function remove(key) {
    if (!items.delete(key)) return;
    revision += 1;
    record({ Key: key, Revision: revision, Deleted: true });
  }

  function endLease(id) {
    const lease = leases.get(id);
    if (lease === undefined) return false;
    clearTimeout(lease.timer);
    leases.delete(id);
    [...items.values()]
      .filter((item) => item.Lease === id)
      .forEach((item) => remove(item.Key));
    return true;
  }

  function renew(id) {
    const lease = leases.get(id);
    if (lease === undefined) return false;
    clearTimeout(lease.timer);
    lease.timer = setTimeout(() => endLease(id), lease.ttlMs);
    lease.timer.unref();
    return true;
  }

  function range(query) {
    const prefix = query.get('Prefix') ?? '';
    const after = query.get('After') ?? '';
    const found = [...items.values()]
      .filter((item) => item.Key.startsWith(prefix) && item.Key > after)
      .sort((a, b) => (a.Key < b.Key ? -1 : 1));
    return {
      Items: found.slice(0, MAX_ITEMS_PER_PAGE),
      MorePages: found.length > MAX_ITEMS_PER_PAGE,
      CurrentRev: revision,
    };
  }

  function watch(query, send) {
    const prefix = query.get('Prefix') ?? '';
    const after = Number(query.get('After'));
    if (changes.length > 0 && after < changes[0].revision - 1) {
      send(410, {});
      return;
    }
    let isOver = false;
    const answer = (events) => {
      isOver = true;
      clearTimeout(timer);
      send(200, { events, CurrentRev: revision });
    };
    const check = () => {
      if (isOver) return;
      const events = changes
        .filter((one) => one.revision > after && one.row.Key.startsWith(prefix))
        .map((one) => one.row);
      if (events.length > 0) answer(events);
      else watches.push({ check });
    };
    const waitMs = Math.min(Number(query.get('WaitMs')), 30_000);
    const timer = setTimeout(() => {
      if (!isOver) answer([]);
    }, waitMs);
    check();
  }

  function transact(text, send) {
    const { Expected = [], Writes = [], Remove = [] } = JSON.parse(text);
    const isMet = Expected.every(
      ({ Key, Revision }) => (items.get(Key)?.Revision ?? 0) === Revision,
    );
    if (!isMet) {
      send(412, { Items: Expected.flatMap(({ Key }) => items.get(Key) ?? []) });
      return;
    }
    if (Writes.some(({ Lease = 0 }) => Lease !== 0 && !leases.has(Lease))) {
      send(404, {});
      return;
    }
    Writes.forEach(({ Key, Value, Lease = 0 }) =>
      put(Key, Buffer.from(Value, 'base64'), Lease),
    );
    Remove.forEach(remove);
    send(200, { Revision: revision });
  }

  function handle(request, response, text) {
    const url = new URL(request.url ?? '/', 'http://store');
    const send = (status, value) => {
      if (response.destroyed) return;
      response.writeHead(status, { 'Content-Type': 'application/json' });
      response.end(JSON.stringify(value));
    };
    const path = url.pathname;
    const leaseId = Number(path.split('/')[3]);
    if (path === '/v1/kv-key') {
      const item = items.get(url.searchParams.get('Key'));
      send(item === undefined ? 404 : 200, item ?? {});
    } else if (path === '/v1/kv-range') send(200, range(url.searchParams));
    else if (path === '/v1/kv-watch') watch(url.searchParams, send);
    else if (path === '/v1/kv-txn') transact(text, send);
    else if (path === '/v1/kv-lease') {
      lastLease += 1;
      const ttlMs = Number(JSON.parse(text).TtlMs);
      leases.set(lastLease, { ttlMs, timer: undefined });
      renew(lastLease);
      send(200, { Lease: lastLease, TtlMs: ttlMs });
    } else if (path.startsWith('/v1/kv-keep/')) {
      send(renew(leaseId) ? 200 : 404, {});
    } else if (path.startsWith('/v1/kv-lease-end/')) {
      send(endLease(leaseId) ? 200 : 404, {});
    } else send(404, {});
  }

  const server = createServer({ noDelay: true }, (request, response) => {
    const chunks = [];
    request.on('data', (chunk) => chunks.push(chunk));
    request.on('end', () => {
      handle(request, response, Buffer.concat(chunks).toString());
    });
  });
  server.keepAliveTimeout = IDLE_MS;
  await new Promise((resolve) => server.listen(0, host, resolve));
  return {
    address: `${host}:${server.address().port}`,
    /** Writes a JSON value and returns its revision. */
    put: (key, value) => put(key, JSON.stringify(value)),
    remove,
    close() {
      server.closeAllConnections();
      server.close();
    },
  };
}
