import { createAnswerBudget } from '@endivegate/core/forwarding';
import { expect } from 'chai';
import { toTargetError } from './classifyError.ts';
import { readBody } from './readBody.ts';
import { readLines } from './readLines.ts';

function systemError(code: string, syscall: string): Error {
  return Object.assign(new Error(code), { code, syscall });
}

describe('toTargetError', () => {
  it('classifies only connect errors as not sent', () => {
    const errors = [
      systemError('ECONNREFUSED', 'connect'),
      systemError('ENOTFOUND', 'getaddrinfo'),
      Object.assign(new Error(), { code: 'UND_ERR_CONNECT_TIMEOUT' }),
      new AggregateError([systemError('ECONNREFUSED', 'connect')]),
      systemError('EHOSTUNREACH', 'read'),
      systemError('ECONNRESET', 'write'),
      new AggregateError([
        systemError('ECONNREFUSED', 'connect'),
        systemError('ECONNRESET', 'read'),
      ]),
      Object.assign(new Error(), { code: 'UND_ERR_SOCKET' }),
      Object.assign(new Error(), { code: 'UND_ERR_HEADERS_TIMEOUT' }),
      new DOMException('late', 'TimeoutError'),
      new DOMException('gone', 'AbortError'),
      'not an error',
    ];
    expect(errors.map(toTargetError)).toMatchSnapshot();
  });
});

async function* chunksOf(...chunks: string[]): AsyncGenerator<Uint8Array> {
  await Promise.resolve();
  yield* chunks.map((chunk) => Buffer.from(chunk));
}

async function linesOf(chunks: AsyncIterable<Uint8Array>): Promise<string[]> {
  const lines: string[] = [];
  for await (const line of readLines(chunks)) lines.push(line);
  return lines;
}

describe('readLines', () => {
  it('returns the same lines for any chunk boundaries', async () => {
    const text = 'one\n\nté\nthree\nrest';
    const whole = await linesOf(chunksOf(text));
    expect(whole).to.deep.equal(['one', '', 'té', 'three']);
    const byBytes = [...Buffer.from(text)].map((byte) => Buffer.of(byte));
    const single = async function* (): AsyncGenerator<Uint8Array> {
      await Promise.resolve();
      yield* byBytes;
    };
    expect(await linesOf(single())).to.deep.equal(whole);
    const pairs = await linesOf(chunksOf('on', 'e\n', '\nt', 'é\nth', 'ree\n'));
    expect(pairs).to.deep.equal(whole);
  });

  // Guards against a line without end that comes a few bytes at a time.
  it('gives up a line above its limit', async () => {
    let chunks = 0;
    const endless = async function* (): AsyncGenerator<Uint8Array> {
      await Promise.resolve();
      while (chunks < 1_000_000) {
        chunks += 1;
        yield Buffer.from('xxxxxxxx');
      }
    };
    const error = await linesOf(endless()).catch((thrown: unknown) => thrown);
    expect(error).to.be.instanceOf(RangeError);
    expect(chunks).to.be.at.most(131_073);
  });
});

describe('readBody', () => {
  // Guards against a body without end that fills the memory.
  it('reads a body up to its limit, and no more of a larger one', async () => {
    const whole = await readBody(chunksOf('abc', 'de'), { maxBytes: 5 });
    expect(Buffer.from(whole).toString()).to.equal('abcde');
    let chunks = 0;
    const endless = async function* (): AsyncGenerator<Uint8Array> {
      await Promise.resolve();
      while (chunks < 100) {
        chunks += 1;
        yield Buffer.from('abc');
      }
    };
    const error = await readBody(endless(), { maxBytes: 5 }).catch(
      toTargetError,
    );
    expect(error).to.deep.equal({ type: 'cut', reason: 'RESPONSE_TOO_LARGE' });
    expect(chunks).to.equal(2);
  });

  // Guards against many bodies without end that fill the memory together.
  it('gives up the largest body when all together exceed their limit', async () => {
    const budget = createAnswerBudget({ maxBytes: 1000 });
    let peakBytes = 0;
    const endless = async function* (step: number): AsyncGenerator<Uint8Array> {
      while (step > 0) {
        await Promise.resolve();
        peakBytes = Math.max(peakBytes, budget.usedBytes());
        yield Buffer.alloc(step);
      }
    };
    const limits = { maxBytes: 900, budget };
    const reads = [10, 20, 30, 40].map((step) =>
      readBody(endless(step), limits).catch(toTargetError),
    );
    const small = await readBody(chunksOf('abc', 'de'), limits);
    expect(Buffer.from(small).toString()).to.equal('abcde');
    const error = { type: 'cut', reason: 'RESPONSE_TOO_LARGE' };
    expect(await Promise.all(reads)).to.deep.equal(reads.map(() => error));
    expect(peakBytes).to.be.at.most(1000);
    expect(budget.usedBytes()).to.equal(0);
  });
});
