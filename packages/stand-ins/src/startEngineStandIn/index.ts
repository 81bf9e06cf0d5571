import {
  ATTEMPT_ID_HEADER,
  engineSubmissionSchema,
  type EngineSubmission,
  type Target,
  type TargetError,
} from '@endivegate/contracts';
import type { FastifyReply } from 'fastify';
import * as E from 'fp-ts/lib/Either.js';
import {
  createEngineModel,
  ENGINE_MODEL_DEFAULTS,
} from '../createEngineModel/index.ts';
import type {
  CreateEngineModelOptions,
  EngineModel,
} from '../createEngineModel/index.ts';
import { createRandom } from '../createRandom/index.ts';
import {
  createStandInServer,
  type StandInServerOptions,
} from '../_lib/createStandInServer.ts';
import { parseBody } from '../_lib/parseBody.ts';
import { naturalTokens } from '../_lib/tokenText.ts';
import {
  addEngineRoutes,
  sendRefusal,
  type IdRoute,
} from './_lib/addEngineRoutes.ts';
import { createAttempts, type EngineAttempt } from './_lib/createAttempts.ts';
import { createEngineClock } from './_lib/createEngineClock.ts';
import { createOrders } from './_lib/createOrders.ts';
import {
  drawStreamFault,
  engineFaultsSchema,
  NO_ENGINE_FAULTS,
  type EngineFaults,
} from './_lib/faults.ts';
import { streamAttempt } from './_lib/streamAttempt.ts';

export type { EngineFaults } from './_lib/faults.ts';

/** Record of what an engine stand-in did with an attempt. */
export interface EngineRecord {
  readonly type: 'accepted' | 'refused' | 'crashed';
  readonly targetId: string;
  readonly attemptId: string;
  readonly prompt: string;
  readonly atMs: number;
}

/** Options of {@link startEngineStandIn}. */
export interface StartEngineStandInOptions
  extends
    StandInServerOptions,
    Omit<CreateEngineModelOptions, 'engineId' | 'emits'> {
  readonly engineId?: string;
  readonly region?: string;
  readonly dataCentre?: string;
  readonly models?: readonly string[];
  /** Whether an order with an old fencing number is refused. */
  readonly checksFencing?: boolean;
  /** Time to load a model that is not loaded yet. */
  readonly loadModelMs?: number;
  /** Ratio of model time to wall time. */
  readonly timeScale?: number;
  /** Time after which an attempt without a reader is cancelled. */
  readonly orphanTimeoutMs?: number;
  readonly faults?: Partial<EngineFaults>;
  readonly onRecord?: (record: EngineRecord) => void;
}

/** A running stand-in of a model engine over HTTP. */
export interface EngineStandIn {
  readonly url: string;
  readonly target: Target;
  readonly model: EngineModel;
  readonly close: () => Promise<void>;
  readonly setFaults: (faults: Partial<EngineFaults>) => void;
  /** Discards all state and refuses connections until it has restarted. */
  readonly crash: () => void;
  /** Stops answering on the open connections for good; new ones work. */
  readonly silenceOpenConnections: () => void;
}

type DefaultedOption =
  | 'engineId'
  | 'region'
  | 'dataCentre'
  | 'models'
  | 'checksFencing'
  | 'loadModelMs'
  | 'timeScale'
  | 'orphanTimeoutMs'
  | 'seed';

type Settings = StartEngineStandInOptions &
  Required<Pick<StartEngineStandInOptions, DefaultedOption>>;

const DEFAULTS: Required<Pick<StartEngineStandInOptions, DefaultedOption>> = {
  engineId: 'engine-1',
  region: 'region-1',
  dataCentre: 'dc-1',
  models: ['small-chat'],
  checksFencing: true,
  loadModelMs: 1_000,
  timeScale: 1,
  orphanTimeoutMs: 10_000,
  seed: 1,
};

/** Tokens covered by the first prefix hash that an entry sends. */
const SHORTEST_PREFIX_TOKENS = 256;

/**
 * Starts a stand-in of a model engine. docs/PROTOCOLS.md describes its protocol.
 *
 * @param options - Address, capacities, speeds and faults.
 * @returns The running stand-in.
 *
 * @example
 * const engine = await startEngineStandIn({ engineId: 'engine-1' });
 * await engine.close();
 */
export async function startEngineStandIn(
  options: StartEngineStandInOptions = {},
): Promise<EngineStandIn> {
  const settings: Settings = { ...DEFAULTS, ...options };
  const { engineId, timeScale } = settings;
  const server = createStandInServer(options);
  const random = createRandom(settings.seed + 1);
  const model = createEngineModel({
    prefixTokensOf: doublingPrefixTokens,
    ...settings,
  });
  const attempts = createAttempts();
  const timers = new Set<NodeJS.Timeout>();
  let faults: EngineFaults = { ...NO_ENGINE_FAULTS, ...options.faults };

  const clock = createEngineClock({
    model,
    timeScale,
    onOutputs: (outputs) => {
      const starting = outputs.filter(({ type }) => type === 'started');
      if (starting.some(({ attemptId }) => crashesEngine(attemptId))) {
        crash();
      } else {
        attempts.apply(outputs);
      }
    },
  });
  const orders = createOrders({ ...settings, schedule });

  function schedule(run: () => void, delayMs: number): void {
    const timer = setTimeout(() => {
      timers.delete(timer);
      run();
    }, delayMs);
    timers.add(timer);
  }

  function crashesEngine(attemptId: string): boolean {
    const prompt = attempts.get(attemptId)?.submission.prompt ?? '';
    return faults.crashOnText !== null && prompt.includes(faults.crashOnText);
  }

  function record(
    type: EngineRecord['type'],
    { attemptId, prompt }: EngineSubmission,
  ): void {
    const atMs = performance.now();
    options.onRecord?.({ type, targetId: engineId, attemptId, prompt, atMs });
  }

  function crash(): void {
    attempts.running().forEach(({ submission }) => {
      record('crashed', submission);
    });
    model.crash(clock.nowMs());
    attempts.clear();
    server.takeDown();
    schedule(() => void server.bringUp(), faults.restartAfterMs);
  }

  function cancel(attemptId: string): void {
    model.cancel(attemptId, clock.nowMs());
    attempts.remove(attemptId);
    clock.reschedule();
  }

  function accept(submission: EngineSubmission): E.Either<TargetError, void> {
    if (faults.refusesAll) return refused('refuses everything');
    if (!orders.serves(submission.model)) return refused('model not loaded');
    const result = model.submit(
      {
        ...submission,
        timeoutMs: submission.timeoutMs * timeScale,
        outputTokens: naturalTokens(attempts.add(submission).digest),
      },
      clock.nowMs(),
    );
    if (E.isLeft(result)) attempts.remove(submission.attemptId);
    return result;
  }

  /** Streams an attempt, and cancels it when it has had no reader for too long. */
  function startStream(
    attempt: EngineAttempt,
    fromOffset: number,
    reply: FastifyReply,
  ): void {
    reply.hijack();
    const { attemptId } = attempt;
    const start = (): void => {
      streamAttempt(attempt, {
        response: reply.raw,
        fromOffset,
        fault: drawStreamFault(faults, random),
        otherAttempt: attempts.running().find((one) => one !== attempt),
        isSilent: server.isSilent,
        silence: server.silence,
        onClose: () => {
          schedule(() => {
            const isRead = attempt.listeners.size > 0;
            if (!isRead && !attempt.end) cancel(attemptId);
          }, settings.orphanTimeoutMs);
        },
      });
    };
    if (faults.delayMs > 0) schedule(start, faults.delayMs);
    else start();
  }

  server.app.post('/v1/attempts', (request, reply) => {
    const parsed = parseBody(engineSubmissionSchema, request.body, reply);
    if (!parsed) return reply;
    const submission = { reservationId: undefined, ...parsed };
    void reply.header(ATTEMPT_ID_HEADER, submission.attemptId);
    if (attempts.get(submission.attemptId)) {
      return reply.code(409).send({ reason: 'attempt id in use' });
    }
    const accepted = accept(submission);
    if (E.isLeft(accepted)) {
      record('refused', submission);
      return sendRefusal(reply, accepted.left);
    }
    record('accepted', submission);
    const attempt = attempts.get(submission.attemptId);
    if (attempt) startStream(attempt, 0, reply);
    clock.reschedule();
    return reply;
  });
  server.app.get<IdRoute & { Querystring: { fromOffset?: string } }>(
    '/v1/attempts/:id/stream',
    (request, reply) => {
      const attempt = attempts.get(request.params.id);
      void reply.header(ATTEMPT_ID_HEADER, request.params.id);
      if (!attempt) return reply.code(404).send({ reason: 'absent' });
      startStream(attempt, Number(request.query.fromOffset ?? 0), reply);
      return reply;
    },
  );
  server.app.get('/faults', () => faults);
  server.app.put('/faults', (request, reply) => {
    const change = parseBody(engineFaultsSchema.partial(), request.body, reply);
    if (change) setFaults(change);
    return change ? faults : reply;
  });
  server.app.post('/faults/crash', (_, reply) => {
    reply.hijack();
    crash();
  });
  server.app.post('/faults/silence', (_, reply) => {
    server.silenceOpenConnections();
    reply.hijack();
    reply.raw.end('{}');
  });
  addEngineRoutes(server.app, { model, clock, orders, timeScale, cancel });

  function setFaults(change: { [K in keyof EngineFaults]?: unknown }): void {
    faults = engineFaultsSchema.parse({ ...faults, ...change });
  }

  await server.listen();
  return {
    url: server.url(),
    target: targetOf(settings, server.url()),
    model,
    close: async () => {
      clock.stop();
      timers.forEach(clearTimeout);
      await server.close();
    },
    setFaults,
    crash,
    silenceOpenConnections: server.silenceOpenConnections,
  };
}

/** Entries hash prefixes of 256 tokens, 512 tokens and so on, doubling each time. */
function doublingPrefixTokens(hashes: number): number {
  return SHORTEST_PREFIX_TOKENS * 2 ** (hashes - 1);
}

function refused(reason: string): E.Either<TargetError, void> {
  return E.left({ type: 'refused', reason, retryAfterMs: undefined });
}

function targetOf(settings: Settings, url: string): Target {
  return {
    targetId: settings.engineId,
    targetKind: 'engine',
    url,
    region: settings.region,
    dataCentre: settings.dataCentre,
    serves: [...settings.models],
    kvCapacityTokens:
      settings.kvCapacityTokens ?? ENGINE_MODEL_DEFAULTS.kvCapacityTokens,
    checksFencing: settings.checksFencing,
    hasKeyLookup: false,
    leaving: false,
  };
}
