import { expect } from 'chai';
import { parseStandInCommand } from './index.ts';

describe('parseStandInCommand', () => {
  it('parses each kind and reports invalid arguments', () => {
    const lines = [
      '--help',
      'engine',
      'engine --id e2 --model a --model b --port 4101 --time-scale 0.5 --ignores-fencing',
      'service --service ledger --latency-ms 20 --no-key-lookup',
      'platform --instances list.jsonc --writes-per-second 300',
      'engine --port x --seed -',
      'engine --unknown',
      'proxy',
      '',
    ];
    const results = lines.map((line) => [
      line,
      parseStandInCommand(line.split(' ').filter(Boolean)),
    ]);
    expect(results).toMatchSnapshot();
  });
});
