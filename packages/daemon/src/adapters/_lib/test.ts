import { expect } from 'chai';
import { toTargetError } from './classifyError.ts';

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
