import { expect } from 'chai';
import { createEventLog } from './index.ts';

const at = new Date('2026-12-04T00:00:00Z');

describe('createEventLog', () => {
  it('writes one JSON object per line and omits undefined fields', () => {
    const texts: string[] = [];
    const log = createEventLog({
      entryId: 'e1',
      now: () => at,
      write: (text, done) => {
        texts.push(text);
        done();
      },
    });
    log.info('start', { port: 80, none: undefined });
    log.warn('odd');
    log.flush(() => undefined);
    expect(texts).to.deep.equal([
      '{"time":"2026-12-04T00:00:00.000Z","level":"info","event":"start","entry":"e1","port":80}\n' +
        '{"time":"2026-12-04T00:00:00.000Z","level":"warn","event":"odd","entry":"e1"}\n',
    ]);
  });

  // Guards against a line about an integer beyond 2^53 that ends the process.
  it('writes bigints as text', () => {
    const texts: string[] = [];
    const log = createEventLog({
      entryId: 'e1',
      write: (text, done) => {
        texts.push(text);
        done();
      },
    });
    log.info('config.inForce', { version: 1796000000000000003n, before: 7 });
    log.flush(() => undefined);
    expect(texts.join('')).to.include(
      '"version":"1796000000000000003","before":7',
    );
  });

  it('drops and counts lines while a write is pending, then resumes', () => {
    const texts: string[] = [];
    let release: () => void = () => undefined;
    const log = createEventLog({
      entryId: 'e1',
      now: () => at,
      maxBufferedBytes: 200,
      write: (text, done) => {
        texts.push(text);
        release = done;
      },
    });
    log.info('first');
    log.flush(() => undefined);
    Array.from({ length: 10 }).forEach(() => {
      log.info('more');
    });
    expect(log.droppedLines()).to.be.above(0);
    release();
    log.flush(() => undefined);
    expect(texts).to.have.length(2);
  });

  it('limits the lines per second and logs how many were dropped', () => {
    const texts: string[] = [];
    let ms = 0;
    const log = createEventLog({
      entryId: 'e1',
      now: () => new Date(ms),
      maxLinesPerS: 2,
      write: (text, done) => {
        texts.push(text);
        done();
      },
    });
    Array.from({ length: 5 }).forEach(() => {
      log.info('burst');
    });
    ms = 1000;
    log.info('later');
    log.flush(() => undefined);
    expect(log.droppedLines()).to.equal(3);
    expect(texts.join('')).to.contain(
      '"event":"later","entry":"e1","droppedLines":3',
    );
  });
});
