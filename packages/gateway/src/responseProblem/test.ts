import { expect } from 'chai';
import type { ParsedHead } from '../headProblem/index.ts';
import { testDialect } from '../testDialect/index.ts';
import { responseProblem } from './index.ts';

const SIGNED = ['x-request', 'a1', 'x-signed', '1'];

/** Judges a head with further fields, as a parser reads it. */
function problemOf(
  fields: readonly string[],
  statusCode = 200,
): string | undefined {
  const rawHeaders = [...SIGNED, ...fields];
  const headers = Object.fromEntries(
    rawHeaders.flatMap((name, index) =>
      index % 2 === 0
        ? [[name.toLowerCase(), rawHeaders[index + 1] ?? '']]
        : [],
    ),
  );
  const head: ParsedHead = { statusCode, headers, rawHeaders };
  const target = testDialect.readTarget(statusCode, headers);
  return responseProblem(head, { attemptId: 'a1', target });
}

describe('responseProblem', () => {
  const invalidNames = [
    'x odd',
    'x-odd ',
    '',
    'x\todd',
    'x-\x01',
    'x-\x7f',
    'é',
  ];
  const invalidValues = ['\x01', 'a\r\nb', '\x7f', 'ł'];

  invalidNames.forEach((name) => {
    // Guards against a name that the parser takes, and that cannot be written to the caller.
    it(`finds fault with the name ${JSON.stringify(name)}`, () => {
      const problem = 'response with an invalid field';
      expect(problemOf([name, '1'])).to.equal(problem);
      expect(problemOf([name, '1'], 500)).to.equal(problem);
    });
  });

  invalidValues.forEach((value) => {
    // Guards against a value that the parser takes, and that cannot be written.
    it(`finds fault with the value ${JSON.stringify(value)}`, () => {
      expect(problemOf(['x-odd', value])).to.equal(
        'response with an invalid field',
      );
    });
  });

  // Guards against sound answers that are taken for broken ones.
  it('accepts any name and value that can be written', () => {
    const names = ["!#$%&'*+-.^_`|~09azAZ", 'X-One', 'x-one'];
    const values = ['', 'a\tb', '\xe9', 'a "quoted" (text); q=0.1'];
    const fields = names.flatMap((name) =>
      values.flatMap((value) => [name, value]),
    );
    expect(problemOf(fields)).to.equal(undefined);
  });

  it('finds fault with statuses below 100, whatever else the head says', () => {
    const problems = [0, 1, 99].map((status) => problemOf([], status));
    expect(problems).to.deep.equal(
      problems.map(() => 'response with an invalid status'),
    );
  });
});
