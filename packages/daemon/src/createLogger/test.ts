import { expect } from 'chai';
import { createLogger } from './index.ts';

describe('createLogger', () => {
  it('writes one JSON object per line at its level and above', () => {
    const lines: string[] = [];
    const logger = createLogger({
      entryId: 'e1',
      level: 'warn',
      write: (line) => lines.push(line),
      now: () => new Date(0),
    });
    logger.info('entry.ready');
    logger.warn('store.down', { requestId: 'r1', waitMs: 5 });
    logger.error('request.failed', { reason: 'a "quoted"\nline' });
    expect(lines).toMatchSnapshot();
  });
});
