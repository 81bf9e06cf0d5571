import { expect } from 'chai';
import { z } from 'zod';
import { formatFindings } from '../formatFindings/index.ts';
import { parseJsonc } from './index.ts';

const schema = z.strictObject({
  host: z.string(),
  ports: z.array(z.number().int().positive()),
});

describe('parseJsonc', () => {
  it('accepts comments and trailing commas', () => {
    const text = '{ "host": "a", // local\n "ports": [1, 2,], }';
    expect(parseJsonc(text, schema)).toMatchSnapshot();
  });

  it('reports every finding with its line and column', () => {
    const text = [
      '{',
      '  // wrong in four places',
      '  "host": 4,',
      '  "ports": [1, -2, "x"],',
      '  "extra": true,',
      '  "other": 1',
      '}',
    ].join('\n');
    const result = parseJsonc(text, schema, { file: 'entry.jsonc' });
    expect(
      result._tag === 'Left' && formatFindings(result.left),
    ).toMatchSnapshot();
  });

  it('reports a missing field at the position of its parent', () => {
    expect(parseJsonc('\n  {}', schema)).toMatchSnapshot();
  });

  it('reports syntax errors and an empty document', () => {
    expect(
      ['{ "host" }', '', '[1'].map((text) => parseJsonc(text, schema)),
    ).toMatchSnapshot();
  });
});
