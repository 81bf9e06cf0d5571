import * as E from 'fp-ts/lib/Either.js';
import { parseArgs } from 'node:util';
import type { StartEngineStandInOptions } from '../startEngineStandIn/index.ts';
import type { StartPlatformStandInOptions } from '../startPlatformStandIn/index.ts';
import type { StartServiceStandInOptions } from '../startServiceStandIn/index.ts';

/** A parsed command line. */
export type StandInCommand =
  | { readonly type: 'help' }
  | { readonly type: 'engine'; readonly options: StartEngineStandInOptions }
  | { readonly type: 'service'; readonly options: StartServiceStandInOptions }
  | {
      readonly type: 'platform';
      readonly options: StartPlatformStandInOptions;
      readonly instancesFile: string | undefined;
    };

/** Text of `npm run stand-in -- --help`. */
export const STAND_IN_HELP = `Usage: npm run stand-in -- KIND [OPTIONS]

Kinds:
  engine      --id NAME --model NAME [--model NAME ...] --time-scale N
              --kv-capacity-tokens N --prefill-tokens-per-second N
              --decode-step-ms N --decode-step-per-sequence-ms N
              --max-batch N --ignores-fencing
  service     --id NAME --service NAME --latency-ms N --no-key-lookup
  platform    --instances FILE --instances-lag-ms N
              --reads-per-second N --writes-per-second N

Options of every kind:
  --host ADDRESS --port N --seed N --region NAME --data-centre NAME

Faults are set over HTTP; see docs/PROTOCOLS.md.

Exit codes: 0 stopped by a signal, 1 could not start, 2 invalid command line
`;

const NUMBER_OPTIONS = [
  'port',
  'seed',
  'time-scale',
  'kv-capacity-tokens',
  'prefill-tokens-per-second',
  'decode-step-ms',
  'decode-step-per-sequence-ms',
  'max-batch',
  'latency-ms',
  'instances-lag-ms',
  'reads-per-second',
  'writes-per-second',
] as const;

type NumberOption = (typeof NUMBER_OPTIONS)[number];
type Values = ReturnType<typeof parseOptions>['values'];

/**
 * Parses the command line of a stand-in.
 *
 * @param args - Arguments after the program's name.
 * @returns The command, or an error message about the arguments.
 *
 * @example
 * parseStandInCommand(['engine', '--port', '4101']);
 */
export function parseStandInCommand(
  args: readonly string[],
): E.Either<string, StandInCommand> {
  const parsed = E.tryCatch(
    () => parseOptions(args),
    (error) => (error instanceof Error ? error.message : String(error)),
  );
  if (E.isLeft(parsed)) return parsed;
  const { values, positionals } = parsed.right;
  if (values.help) return E.right({ type: 'help' });
  const invalid = NUMBER_OPTIONS.filter((name) =>
    isInvalidNumber(values[name]),
  );
  if (invalid.length > 0) {
    return E.left(
      invalid.map((name) => `--${name} is not a number`).join(', '),
    );
  }
  if (positionals.length !== 1) return E.left('expected exactly one kind');
  return toCommand(positionals[0] ?? '', values);
}

function toCommand(
  kind: string,
  values: Values,
): E.Either<string, StandInCommand> {
  switch (kind) {
    case 'engine':
      return E.right({ type: 'engine', options: engineOptions(values) });
    case 'service':
      return E.right({ type: 'service', options: serviceOptions(values) });
    case 'platform':
      return E.right({
        type: 'platform',
        options: platformOptions(values),
        instancesFile: values.instances,
      });
    default:
      return E.left(`unknown kind "${kind}"`);
  }
}

function engineOptions(values: Values): StartEngineStandInOptions {
  return withoutUndefined({
    ...locationOptions(values),
    engineId: values.id,
    models: values.model,
    checksFencing: !values['ignores-fencing'],
    timeScale: numberOf(values, 'time-scale'),
    kvCapacityTokens: numberOf(values, 'kv-capacity-tokens'),
    prefillTokensPerSecond: numberOf(values, 'prefill-tokens-per-second'),
    decodeStepMs: numberOf(values, 'decode-step-ms'),
    decodeStepPerSequenceMs: numberOf(values, 'decode-step-per-sequence-ms'),
    maxBatch: numberOf(values, 'max-batch'),
  });
}

function serviceOptions(values: Values): StartServiceStandInOptions {
  return withoutUndefined({
    ...locationOptions(values),
    targetId: values.id,
    service: values.service,
    latencyMs: numberOf(values, 'latency-ms'),
    hasKeyLookup: !values['no-key-lookup'],
  });
}

function platformOptions(values: Values): StartPlatformStandInOptions {
  return withoutUndefined({
    host: values.host,
    port: numberOf(values, 'port'),
    seed: numberOf(values, 'seed'),
    instancesLagMs: numberOf(values, 'instances-lag-ms'),
    readsPerSecond: numberOf(values, 'reads-per-second'),
    writesPerSecond: numberOf(values, 'writes-per-second'),
  });
}

function locationOptions(values: Values) {
  return {
    host: values.host,
    port: numberOf(values, 'port'),
    seed: numberOf(values, 'seed'),
    region: values.region,
    dataCentre: values['data-centre'],
  };
}

function parseOptions(args: readonly string[]) {
  const text = { type: 'string' } as const;
  return parseArgs({
    args: [...args],
    allowPositionals: true,
    options: {
      help: { type: 'boolean', short: 'h', default: false },
      host: text,
      port: text,
      seed: text,
      region: text,
      'data-centre': text,
      id: text,
      model: { type: 'string', multiple: true },
      service: text,
      instances: text,
      'time-scale': text,
      'kv-capacity-tokens': text,
      'prefill-tokens-per-second': text,
      'decode-step-ms': text,
      'decode-step-per-sequence-ms': text,
      'max-batch': text,
      'latency-ms': text,
      'instances-lag-ms': text,
      'reads-per-second': text,
      'writes-per-second': text,
      'ignores-fencing': { type: 'boolean', default: false },
      'no-key-lookup': { type: 'boolean', default: false },
    },
  });
}

function isInvalidNumber(value: string | undefined): boolean {
  return value !== undefined && !/^\d+(\.\d+)?$/.test(value);
}

function numberOf(values: Values, name: NumberOption): number | undefined {
  const value = values[name];
  return value === undefined ? undefined : Number(value);
}

/** Options without fields that are `undefined`, which would override defaults. */
type Defined<T> = { [K in keyof T]?: Exclude<T[K], undefined> };

function withoutUndefined<T extends object>(options: T): Defined<T> {
  return Object.fromEntries(
    Object.entries(options).filter(([, value]) => value !== undefined),
  ) as Defined<T>;
}
