import { expect } from 'chai';
import * as E from 'fp-ts/lib/Either.js';
import { createServer, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { z } from 'zod';
import { EXIT_CODES } from '../exitCodes.ts';
import { createAdminClient } from './index.ts';

const MIB = 1024 * 1024;

/** Bytes after which the test's server gives up, above the limit. */
const SERVER_LIMIT_BYTES = 128 * MIB;

describe('createAdminClient', () => {
  let server: Server;
  let writtenBytes = 0;

  /** Starts a server that writes a JSON text of this size. */
  async function startWith(bodyBytes: number): Promise<string> {
    writtenBytes = 0;
    const block = Buffer.alloc(64 * 1024, 'x');
    server = createServer((request, response) => {
      request.resume();
      response.write('"');
      const write = (): void => {
        if (response.destroyed) return;
        writtenBytes += block.length;
        if (writtenBytes > bodyBytes) response.end('"');
        else response.write(block, () => setImmediate(write));
      };
      write();
    });
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    return `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
  }

  afterEach(() => {
    server.closeAllConnections();
    server.close();
  });

  it('reads a response of several MB', async () => {
    const url = await startWith(8 * MIB);
    const call = createAdminClient({ url, token: 't' });
    const result = await call({ path: '/v1/table', schema: z.string() })();
    expect(E.isRight(result) && result.right.length).to.equal(8 * MIB);
  });

  // Guards against a response without end that fills the memory.
  it('gives up a response without end, and leaves a change in doubt', async () => {
    const url = await startWith(SERVER_LIMIT_BYTES);
    const call = createAdminClient({ url, token: 't' });
    const calls = [
      { path: '/v1/table', schema: z.string() },
      { path: '/v1/table/edits', method: 'POST', schema: z.string() },
    ] as const;
    const exitCodes: unknown[] = [];
    for (const one of calls) {
      writtenBytes = 0;
      const result = await call(one)();
      exitCodes.push(E.isLeft(result) ? result.left.exitCode : 'answered');
      expect(writtenBytes).to.be.below(SERVER_LIMIT_BYTES);
    }
    expect(exitCodes).to.deep.equal([
      EXIT_CODES.entryUnreachable,
      EXIT_CODES.inDoubt,
    ]);
  });
});
