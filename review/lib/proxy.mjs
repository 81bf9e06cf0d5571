/** A TCP proxy on a loopback address whose connections can be broken. */
import { connect, createServer } from 'node:net';

export async function startProxy(host, targetAddress) {
  const [targetHost, targetPort] = targetAddress.split(':');
  const pairs = new Set();
  let mode = 'open';

  const server = createServer({ noDelay: true }, (near) => {
    if (mode === 'refuse') {
      near.resetAndDestroy();
      return;
    }
    const far = connect({
      host: targetHost,
      port: Number(targetPort),
      noDelay: true,
    });
    const pair = { near, far, isSilent: false };
    pairs.add(pair);
    const end = () => {
      pairs.delete(pair);
      if (pair.isSilent) return;
      near.destroy();
      far.destroy();
    };
    near.on('data', (bytes) => {
      if (!pair.isSilent) far.write(bytes);
    });
    far.on('data', (bytes) => {
      if (!pair.isSilent) near.write(bytes);
    });
    near.on('end', () => {
      if (!pair.isSilent) far.end();
    });
    far.on('end', () => {
      if (!pair.isSilent) near.end();
    });
    [near, far].forEach((socket) => {
      socket.on('error', end);
      socket.on('close', end);
    });
  });
  await new Promise((resolve) => server.listen(0, host, resolve));
  return {
    address: `${host}:${server.address().port}`,
    openConnections: () => pairs.size,
    /** Open connections go silent for good, without a reset; new ones work. */
    silenceOpen() {
      pairs.forEach((pair) => {
        pair.isSilent = true;
      });
    },
    /** Resets open connections and new ones until `accept` is called. */
    refuse() {
      mode = 'refuse';
      pairs.forEach(({ near, far }) => {
        near.resetAndDestroy();
        far.destroy();
      });
    },
    accept() {
      mode = 'open';
    },
    close() {
      server.close();
      pairs.forEach(({ near, far }) => {
        near.destroy();
        far.destroy();
      });
    },
  };
}
