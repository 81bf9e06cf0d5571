import { expect } from 'chai';
import { parseCommand } from './index.ts';

describe('parseCommand', () => {
  it('parses each command and describes invalid arguments', () => {
    const lines = [
      '--help',
      '--version',
      'serve --settings a.jsonc',
      'serve',
      'check --settings a.jsonc --json',
      'dev',
      'dev --port 0 --operators-port 9',
      'dev --port x',
      'dev --unknown',
      'fly',
      '',
    ];
    const results = lines.map((line) => [
      line,
      parseCommand(line.split(' ').filter(Boolean)),
    ]);
    expect(results).toMatchSnapshot();
  });
});
