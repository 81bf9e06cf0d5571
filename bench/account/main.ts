/**
 * Accounts for the load in the logs of entries, second by second:
 * `npm run account -- entries.log --plot load.svg`.
 */
import { writeFileSync } from 'node:fs';
import { parseArgs } from 'node:util';
import { accountLoad, type SecondOfLoad } from './accountLoad.ts';
import { plotLoad } from './plotLoad.ts';
import { readLines } from './readLines.ts';

const { values, positionals } = parseArgs({
  allowPositionals: true,
  options: { plot: { type: 'string' } },
});
if (positionals.length === 0) throw new Error('name the log files');

const lines = (await Promise.all(positionals.map(readLines))).flat();
const rows = accountLoad(lines);
process.stdout.write(
  [
    '| second | length | requests | not answered | sends refused | p50 ms | p95 ms |',
    '| ---: | --- | ---: | --- | ---: | ---: | ---: |',
    ...rows.map(describeRow),
    '',
  ].join('\n'),
);
if (values.plot !== undefined) writeFileSync(values.plot, plotLoad(rows));

function describeRow(row: SecondOfLoad): string {
  const ends = Object.entries(row.unanswered).map(
    ([end, count]) => `${count} ${end}`,
  );
  const cells = [
    row.second,
    row.length,
    row.requests,
    ends.join(', '),
    row.refusedSends,
    Number.isNaN(row.p50Ms) ? '' : row.p50Ms,
    Number.isNaN(row.p95Ms) ? '' : row.p95Ms,
  ];
  return `| ${cells.join(' | ')} |`;
}
