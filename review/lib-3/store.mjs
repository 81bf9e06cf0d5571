/** Stand-in of the platform's store, as PROTOCOL.md tells it, kept in memory. */
import http from 'node:http';

export function startStore(host) {
  const items = new Map();
  const history = [];
  const leases = new Map();
  let revision = 1;
  let nextLease = 1;
  let waiting = [];
  const sockets = new Set();
  /** Hook: (request) => 'refuse' | 'silent' | undefined. */
  const store = { hook: undefined, calls: 0 };

  function wake() {
    const due = waiting;
    waiting = [];
    due.forEach((look) => look());
  }

  function put(key, value, lease = 0) {
    revision += 1;
    const known = items.get(key);
    const item = {
      Key: key,
      Value: Buffer.from(value).toString('base64'),
      Revision: revision,
      Created: known?.Created ?? revision,
      Lease: lease,
    };
    items.set(key, item);
    history.push(item);
    wake();
    return revision;
  }

  function remove(key) {
    if (!items.delete(key)) return revision;
    revision += 1;
    history.push({ Key: key, Revision: revision, Deleted: true });
    wake();
    return revision;
  }

  function endLease(id) {
    leases.delete(id);
    [...items.values()]
      .filter((item) => item.Lease === id)
      .forEach((item) => remove(item.Key));
  }

  const timer = setInterval(() => {
    [...leases]
      .filter(([, lease]) => lease.endsAt < performance.now())
      .forEach(([id]) => endLease(id));
  }, 100);

  function watch(query, answer, response) {
    const prefix = query.get('Prefix') ?? '';
    const after = Number(query.get('After'));
    const waitMs = Number(query.get('WaitMs') ?? 0);
    let isOver = false;
    const reply = (events) => {
      if (isOver) return;
      isOver = true;
      clearTimeout(end);
      answer(200, { events, CurrentRev: revision });
    };
    const look = () => {
      const events = history.filter(
        (one) => one.Revision > after && one.Key.startsWith(prefix),
      );
      if (events.length > 0) reply(events);
      else if (!isOver) waiting.push(look);
    };
    const end = setTimeout(() => reply([]), waitMs);
    response.once('close', () => {
      isOver = true;
      clearTimeout(end);
    });
    look();
  }

  function transact(body, answer) {
    const { Expected = [], Writes = [], Remove = [] } = body;
    const isMet = Expected.every(
      ({ Key, Revision }) => (items.get(Key)?.Revision ?? 0) === Revision,
    );
    if (!isMet) {
      answer(412, { Items: [] });
      return;
    }
    if (Writes.some(({ Lease = 0 }) => Lease !== 0 && !leases.has(Lease))) {
      answer(404, {});
      return;
    }
    if (Writes.some(({ Key }) => /^(op|servers)\//.test(Key))) {
      answer(403, {});
      return;
    }
    Writes.forEach(({ Key, Value, Lease }) =>
      put(Key, Buffer.from(Value, 'base64'), Lease ?? 0),
    );
    Remove.forEach(remove);
    answer(200, { Revision: revision });
  }

  function serve(request, response, body, answer) {
    const url = new URL(request.url, 'http://store');
    const { pathname, searchParams: query } = url;
    const tail = Number(pathname.split('/').at(-1));
    if (pathname === '/v1/kv-key') {
      const item = items.get(query.get('Key') ?? '');
      if (item === undefined) answer(404, {});
      else answer(200, { ...item, CurrentRev: revision });
    } else if (pathname === '/v1/kv-range') {
      const prefix = query.get('Prefix') ?? '';
      const after = query.get('After') ?? '';
      const found = [...items.values()]
        .filter((item) => item.Key.startsWith(prefix) && item.Key > after)
        .sort((a, b) => (a.Key < b.Key ? -1 : 1));
      answer(200, {
        Items: found.slice(0, 500),
        MorePages: found.length > 500,
        CurrentRev: revision,
      });
    } else if (pathname === '/v1/kv-watch') {
      watch(query, answer, response);
    } else if (pathname === '/v1/kv-txn') {
      transact(body, answer);
    } else if (pathname === '/v1/kv-lease') {
      const id = nextLease;
      nextLease += 1;
      const ttl = Math.min(Math.max(body.TtlMs, 1000), 600_000);
      leases.set(id, { ttl, endsAt: performance.now() + ttl });
      answer(200, { Lease: id, TtlMs: ttl });
    } else if (pathname.startsWith('/v1/kv-keep/')) {
      const lease = leases.get(tail);
      if (lease === undefined) answer(404, {});
      else {
        lease.endsAt = performance.now() + lease.ttl;
        answer(200, { TtlMs: lease.ttl });
      }
    } else if (pathname.startsWith('/v1/kv-lease-end/')) {
      endLease(tail);
      answer(200, {});
    } else answer(404, {});
  }

  const server = http.createServer((request, response) => {
    store.calls += 1;
    const chunks = [];
    request.on('data', (chunk) => chunks.push(chunk));
    request.on('end', () => {
      const text = Buffer.concat(chunks).toString();
      const trouble = store.hook?.(request);
      if (trouble === 'silent') return;
      const answer = (status, value) => {
        if (response.destroyed) return;
        const bytes = JSON.stringify(value);
        response.writeHead(status, {
          'Content-Type': 'application/json',
          'Content-Length': Buffer.byteLength(bytes),
        });
        response.end(bytes);
      };
      if (trouble === 'refuse') answer(503, {});
      else
        serve(request, response, text === '' ? {} : JSON.parse(text), answer);
    });
  });
  server.on('connection', (socket) => {
    sockets.add(socket);
    socket.on('error', () => undefined);
    socket.once('close', () => sockets.delete(socket));
  });

  return new Promise((resolve) => {
    server.listen(0, host, () => {
      Object.assign(store, {
        address: `${host}:${server.address().port}`,
        put,
        remove,
        items,
        revision: () => revision,
        close() {
          clearInterval(timer);
          server.close();
          sockets.forEach((socket) => socket.destroy());
        },
      });
      resolve(store);
    });
  });
}
