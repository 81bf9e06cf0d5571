import {
  ATTEMPT_ID_HEADER,
  IDEMPOTENCY_KEY_HEADER,
  KEY_LOOKUP_PATH,
  RAN_HEADER,
  type KeyLookupBody,
  type Target,
} from '@endivegate/contracts';
import type { FastifyReply, FastifyRequest } from 'fastify';
import { z } from 'zod';
import {
  createStandInServer,
  headerOf,
  type StandInServerOptions,
} from '../_lib/createStandInServer.ts';
import { parseBody } from '../_lib/parseBody.ts';
import { createRandom } from '../createRandom/index.ts';

const rate = z.number().min(0).max(1);

/** Faults of a service stand-in; `PUT /faults` changes only the fields it gets. */
export const serviceFaultsSchema = z.strictObject({
  /** Time from a crash until the service listens again. */
  restartAfterMs: z.number().nonnegative(),
  /** Whether every call is refused before it runs. */
  refusesAll: z.boolean(),
  /** Delay of the answer after the call ran. */
  delayMs: z.number().nonnegative(),
  /** Fraction of calls that crash the service before they run. */
  crashBeforeRate: rate,
  /** Fraction of calls that crash the service after they ran. */
  crashAfterRate: rate,
  /** Fraction of answers that carry another attempt's id. */
  crossedRate: rate,
  /** Fraction of answers whose connection closes after half of the body. */
  cutRate: rate,
  /** Fraction of calls that run and whose connection then stays silent for good. */
  silentRate: rate,
});

/** Faults of a service stand-in. */
export type ServiceFaults = z.infer<typeof serviceFaultsSchema>;

/** Record of one execution of a call by a service stand-in. */
export interface ServiceRecord {
  readonly type: 'ran';
  readonly targetId: string;
  readonly attemptId: string;
  readonly idempotencyKey: string | undefined;
  readonly path: string;
  /** Complete body of the answer. */
  readonly answer: string;
  readonly atMs: number;
}

/** Options of {@link startServiceStandIn}. */
export interface StartServiceStandInOptions extends StandInServerOptions {
  readonly targetId?: string;
  readonly service?: string;
  readonly region?: string;
  readonly dataCentre?: string;
  /** Whether the service supports lookup by idempotency key. */
  readonly hasKeyLookup?: boolean;
  /** Execution time of a call. */
  readonly latencyMs?: number;
  readonly seed?: number;
  readonly faults?: Partial<ServiceFaults>;
  readonly onRecord?: (record: ServiceRecord) => void;
}

/** A running stand-in of an HTTP service. */
export interface ServiceStandIn {
  readonly url: string;
  readonly target: Target;
  /** Executions so far, oldest first. */
  readonly runs: () => readonly ServiceRecord[];
  readonly close: () => Promise<void>;
  readonly setFaults: (faults: Partial<ServiceFaults>) => void;
  /** Refuses connections until it has restarted; records of executions remain. */
  readonly crash: () => void;
  readonly silenceOpenConnections: () => void;
}

type DefaultedOption = Exclude<
  keyof StartServiceStandInOptions,
  'port' | 'host' | 'faults' | 'onRecord'
>;

type Settings = StartServiceStandInOptions &
  Required<Pick<StartServiceStandInOptions, DefaultedOption>>;

const DEFAULTS: Required<Pick<StartServiceStandInOptions, DefaultedOption>> = {
  targetId: 'ledger-1',
  service: 'ledger',
  region: 'region-1',
  dataCentre: 'dc-1',
  hasKeyLookup: true,
  latencyMs: 5,
  seed: 1,
};

const NO_FAULTS: ServiceFaults = {
  restartAfterMs: 1_000,
  refusesAll: false,
  delayMs: 0,
  crashBeforeRate: 0,
  crashAfterRate: 0,
  crossedRate: 0,
  cutRate: 0,
  silentRate: 0,
};

/**
 * Starts a stand-in of an HTTP service whose calls must not be repeated.
 *
 * It executes every call it receives, even one with a known idempotency key,
 * so that `runs` shows whether a call was sent twice.
 *
 * @param options - Address, service and faults.
 * @returns The running stand-in.
 *
 * @example
 * const ledger = await startServiceStandIn({ service: 'ledger' });
 * await ledger.close();
 */
export async function startServiceStandIn(
  options: StartServiceStandInOptions = {},
): Promise<ServiceStandIn> {
  const settings: Settings = { ...DEFAULTS, ...options };
  const server = createStandInServer(options);
  const random = createRandom(settings.seed);
  const timers = new Set<NodeJS.Timeout>();
  const outcomes = new Map<string, KeyLookupBody>();
  let runs: readonly ServiceRecord[] = [];
  let faults: ServiceFaults = { ...NO_FAULTS, ...options.faults };

  function schedule(run: () => void, delayMs: number): void {
    const timer = setTimeout(() => {
      timers.delete(timer);
      run();
    }, delayMs);
    timers.add(timer);
  }

  function crash(): void {
    server.takeDown();
    schedule(() => void server.bringUp(), faults.restartAfterMs);
  }

  function handle(request: FastifyRequest, reply: FastifyReply): void {
    const attemptId = headerOf(request, ATTEMPT_ID_HEADER) ?? '';
    void reply.header(ATTEMPT_ID_HEADER, attemptId);
    if (faults.refusesAll) {
      void reply
        .code(503)
        .header(RAN_HEADER, 'no')
        .send({ ran: 'no', reason: 'refuses everything' });
      return;
    }
    if (random() < faults.crashBeforeRate) {
      crash();
      return;
    }
    const key = headerOf(request, IDEMPOTENCY_KEY_HEADER);
    if (key !== undefined) outcomes.set(key, { type: 'running' });
    schedule(() => {
      run(request, reply, { attemptId, key });
    }, settings.latencyMs);
  }

  function run(
    request: FastifyRequest,
    reply: FastifyReply,
    call: { readonly attemptId: string; readonly key: string | undefined },
  ): void {
    const body = JSON.stringify({
      service: settings.service,
      path: request.url,
      run: runs.length + 1,
      idempotencyKey: call.key ?? null,
    });
    const record: ServiceRecord = {
      type: 'ran',
      targetId: settings.targetId,
      attemptId: call.attemptId,
      idempotencyKey: call.key,
      path: request.url,
      answer: body,
      atMs: performance.now(),
    };
    runs = [...runs, record];
    options.onRecord?.(record);
    if (call.key !== undefined) {
      outcomes.set(call.key, doneOutcome(call.attemptId, body));
    }
    schedule(() => {
      answer(request, reply, { ...call, body });
    }, faults.delayMs);
  }

  function answer(
    request: FastifyRequest,
    reply: FastifyReply,
    done: { readonly attemptId: string; readonly body: string },
  ): void {
    if (random() < faults.crashAfterRate) {
      crash();
      return;
    }
    if (random() < faults.silentRate) server.silence(request.socket);
    if (server.isSilent(request.socket)) return;
    if (random() < faults.cutRate) {
      sendPartialAnswer(reply, done.body);
      return;
    }
    const isCrossed = random() < faults.crossedRate;
    void reply
      .header(
        ATTEMPT_ID_HEADER,
        isCrossed ? `${done.attemptId}-other` : done.attemptId,
      )
      .type('application/json')
      .send(done.body);
  }

  server.app.removeAllContentTypeParsers();
  server.app.addContentTypeParser(
    '*',
    { parseAs: 'buffer' },
    (_, body, done) => {
      done(null, body);
    },
  );
  server.app.get<{ Params: { key: string } }>(
    `${KEY_LOOKUP_PATH}:key`,
    (request, reply) => {
      if (!settings.hasKeyLookup) return reply.code(404).send();
      return outcomes.get(request.params.key) ?? { type: 'absent' };
    },
  );
  server.app.get('/faults', () => faults);
  server.app.put('/faults', (request, reply) => {
    const body: unknown = JSON.parse(String(request.body));
    const change = parseBody(serviceFaultsSchema.partial(), body, reply);
    if (!change) return reply;
    faults = serviceFaultsSchema.parse({ ...faults, ...change });
    return faults;
  });
  server.app.post('/faults/crash', (_, reply) => {
    reply.hijack();
    crash();
  });
  server.app.get('/runs', () => runs);
  server.app.all('/*', (request, reply) => {
    handle(request, reply);
    return reply;
  });

  await server.listen();
  return {
    url: server.url(),
    target: targetOf(settings, server.url()),
    runs: () => runs,
    close: async () => {
      timers.forEach(clearTimeout);
      await server.close();
    },
    setFaults: (change) => {
      faults = { ...faults, ...change };
    },
    crash,
    silenceOpenConnections: server.silenceOpenConnections,
  };
}

function doneOutcome(attemptId: string, body: string): KeyLookupBody {
  return {
    type: 'done',
    attemptId,
    status: 200,
    contentType: 'application/json',
    bodyBase64: Buffer.from(body).toString('base64'),
  };
}

/** Sends the response head and half of the body, then closes the connection. */
function sendPartialAnswer(reply: FastifyReply, body: string): void {
  reply.hijack();
  reply.raw.writeHead(200, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(body),
    [ATTEMPT_ID_HEADER]: String(reply.getHeader(ATTEMPT_ID_HEADER)),
  });
  reply.raw.write(body.slice(0, body.length / 2), () => {
    reply.raw.destroy();
  });
}

function targetOf(settings: Settings, url: string): Target {
  return {
    targetId: settings.targetId,
    targetKind: 'service',
    url,
    region: settings.region,
    dataCentre: settings.dataCentre,
    serves: [settings.service],
    kvCapacityTokens: 0,
    checksFencing: false,
    hasKeyLookup: settings.hasKeyLookup,
    leaving: false,
  };
}
