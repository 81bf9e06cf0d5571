import { expect } from 'chai';
import { type ChildProcess, spawn } from 'node:child_process';
import { once } from 'node:events';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { type AddressInfo, connect, createServer, type Socket } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

const MAIN = join(import.meta.dirname, '../main.ts');

const SOURCE_OPTIONS = ['--conditions=endivegate-source', '--import=tsx'];

const REQUEST = 'GET /v1/entries HTTP/1.1\r\nHost: a\r\n\r\n';

const TOKEN_VARIABLE = 'ENDIVEGATE_TEST_TOKEN';

async function unusedPort(): Promise<number> {
  const server = createServer().listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  server.close();
  await once(server, 'close');
  return port;
}

/** Connects as soon as the port is open. */
async function connectEarly(port: number): Promise<Socket> {
  const socket = connect(port, '127.0.0.1');
  try {
    await once(socket, 'connect');
    return socket;
  } catch {
    await new Promise((resolve) => setTimeout(resolve, 1));
    return connectEarly(port);
  }
}

describe('runServe', () => {
  let directory = '';
  let child: ChildProcess | undefined;

  beforeEach(() => {
    directory = mkdtempSync(join(tmpdir(), 'endivegate-serve-'));
  });

  afterEach(() => {
    child?.kill('SIGKILL');
    rmSync(directory, { recursive: true });
  });

  async function serve(port: number): Promise<ChildProcess> {
    const path = join(directory, 'settings.jsonc');
    const settings = {
      entryId: 'e1',
      region: 'north',
      dataCentre: 'dc-1',
      host: '127.0.0.1',
      callers: { port },
      operators: { port: 0, token: { env: TOKEN_VARIABLE } },
      peers: { port: 0 },
      platform: { url: `http://127.0.0.1:${await unusedPort()}` },
    };
    writeFileSync(path, JSON.stringify(settings));
    const args = [...SOURCE_OPTIONS, MAIN, 'serve', '--settings', path];
    return spawn(process.execPath, args, {
      env: { ...process.env, [TOKEN_VARIABLE]: 'operator-token' },
      stdio: 'ignore',
    });
  }

  // Guards against a request that is read and gets no answer, since a signal ended the process
  // between the opening of its port and the end of its start.
  it('leaves after a SIGTERM that comes when its port has just opened', async () => {
    const port = await unusedPort();
    child = await serve(port);
    const exit = once(child, 'exit');
    const socket = await connectEarly(port);
    socket.write(REQUEST);
    child.kill('SIGTERM');
    const [answer] = (await once(socket, 'data')) as [Buffer];
    expect(answer.toString()).to.match(/^HTTP\/1\.1 \d{3} /);
    expect(await exit).to.deep.equal([0, null]);
  });
});
