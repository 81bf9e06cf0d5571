/** What the scripts share: a record of what was seen, servers and clients. */
import { writeFileSync } from 'node:fs';
import http from 'node:http';

const startedAt = performance.now();

/** Lines of what was sent, answered and run. */
export function createRecord(file) {
  const lines = [];
  return {
    add(...words) {
      const at = ((performance.now() - startedAt) / 1000).toFixed(3);
      lines.push(`${at} ${words.join(' ')}`);
    },
    say(text) {
      this.add(text);
      process.stdout.write(`${text}\n`);
    },
    write() {
      writeFileSync(file, `${lines.join('\n')}\n`);
    },
  };
}

/** Runs a case: `play` returns whether the rule was broken; an error is "could not run". */
export async function runCase(file, play) {
  const record = createRecord(file);
  const stops = [];
  const limit = setTimeout(() => {
    record.say('the script took too long');
    record.write();
    void end(2);
  }, 115_000);
  async function end(code) {
    clearTimeout(limit);
    for (const stop of stops.reverse()) await stop();
    process.exit(code);
  }
  ['SIGTERM', 'SIGINT'].forEach((signal) => {
    process.on(signal, () => void end(2));
  });
  try {
    const isBroken = await play({
      record,
      hasTrouble: process.env.TROUBLE !== '0',
      onEnd: (stop) => stops.push(stop),
    });
    record.say(isBroken ? 'the rule was broken' : 'the rule held');
    record.write();
    await end(isBroken ? 1 : 0);
  } catch (error) {
    record.say(`could not run: ${error.stack ?? error}`);
    record.write();
    await end(2);
  }
}

/** Sends a request over a connection of its own, and reads the answer. */
export function call(options, body) {
  return new Promise((resolve) => {
    const request = http.request({ agent: false, ...options }, (response) => {
      const chunks = [];
      response.on('data', (chunk) => chunks.push(chunk));
      const done = (isWhole) =>
        resolve({
          status: response.statusCode,
          headers: response.headers,
          body: Buffer.concat(chunks),
          isWhole,
        });
      response.on('end', () => done(response.complete));
      response.on('error', () => done(false));
    });
    if (options.timeoutMs !== undefined) {
      request.setTimeout(options.timeoutMs, () => request.destroy());
    }
    request.on('error', (error) =>
      resolve({ status: 0, error: error.code ?? error.message }),
    );
    request.end(body);
  });
}

/** Writes the entry of a server now and at each heartbeat; returns a function that ends it. */
export function keepRegistered(store, id, entry) {
  const tell = () => store.put(`servers/${id}`, entry);
  tell();
  const beat = setInterval(tell, 1200);
  return () => clearInterval(beat);
}

/** An entry of a server in the platform's list. */
export function serverEntry({
  service,
  address,
  zone,
  slots = 6,
  state = 'ready',
  born,
}) {
  return JSON.stringify({
    Service: service,
    Address: address,
    Zone: zone,
    Version: 1,
    Slots: slots,
    State: state,
    WarmupLeftMs: 0,
    Sequence: 0,
    born,
  });
}
