import { createServer } from 'node:net';

const HOST = '127.0.0.1';

/**
 * Below the ephemeral port range, so that no outgoing connection takes the port
 * between its selection and its use.
 */
const FIRST_PORT = 20_000;

const PORT_COUNT = 10_000;

/** Starts at a different port in each of several test runs on one machine. */
let nextOffset = process.pid % PORT_COUNT;

/**
 * Finds an unused loopback address for a test.
 *
 * @returns IP and port; each call returns a different one.
 *
 * @example
 * startGateway({ ...options, callerAddress: await testAddress() });
 */
export async function testAddress(): Promise<string> {
  nextOffset = (nextOffset + 1) % PORT_COUNT;
  const port = FIRST_PORT + nextOffset;
  return (await isFree(port)) ? `${HOST}:${port}` : testAddress();
}

function isFree(port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => {
      resolve(false);
    });
    server.listen(port, HOST, () => {
      server.close(() => {
        resolve(true);
      });
    });
  });
}
