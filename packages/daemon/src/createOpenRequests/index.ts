import type { ServiceAnswer } from '@endivegate/contracts';
import type { RequestEnd, RequestInfo } from '@endivegate/core';
import type { Ran } from '@endivegate/contracts';

/** What has to be sent to a target. */
export type RequestWork =
  | { readonly type: 'prompt'; readonly prompt: string }
  | {
      readonly type: 'call';
      readonly method: string;
      readonly path: string;
      readonly contentType: string | undefined;
      readonly body: Uint8Array;
    };

/** How a request ended, for its caller. */
export interface RequestResult {
  readonly ran: Ran;
  readonly end: RequestEnd;
  /** Set when a prompt was answered. */
  readonly finishReason: 'stop' | 'length' | undefined;
  readonly outputTokens: number;
  /** Set when a plain service answered. */
  readonly answer: ServiceAnswer | undefined;
}

/** The caller's side of an open request. */
export interface AnswerSink {
  /** Hands on one token; resolves when the caller can take more. */
  readonly writeToken: (text: string) => Promise<void>;
  /** Drops the tokens held back so far; only for answers sent whole. */
  readonly restart: () => void;
  /** Hands on the end; called once. */
  readonly finish: (result: RequestResult) => void;
}

/** A request that was received and has not ended. */
export interface OpenRequest {
  readonly info: RequestInfo;
  readonly work: RequestWork;
  readonly sink: AnswerSink;
  /** Tokens handed on so far; the offset of the next one. */
  outputTokens: number;
  finishReason: 'stop' | 'length' | undefined;
  answer: ServiceAnswer | undefined;
  /** Aborts the connection of each attempt in flight, by attempt id. */
  readonly attempts: Map<string, AbortController>;
}

/** The open requests of an entry. */
export interface OpenRequests {
  readonly add: (
    request: Pick<OpenRequest, 'info' | 'work' | 'sink'>,
  ) => OpenRequest;
  readonly find: (requestId: string) => OpenRequest | undefined;
  /** Removes a request, aborts its attempts and tells its caller the end. */
  readonly finish: (
    requestId: string,
    result: Pick<RequestResult, 'ran' | 'end'>,
  ) => void;
  readonly count: () => number;
}

/** Options of {@link createOpenRequests}. */
export interface CreateOpenRequestsOptions {
  /** Called after a request's caller was told its end. */
  readonly onFinish?: (open: OpenRequest, result: RequestResult) => void;
}

/**
 * Creates the registry of open requests.
 *
 * @param options - Observer of ends.
 * @returns An empty registry.
 */
export function createOpenRequests(
  options: CreateOpenRequestsOptions = {},
): OpenRequests {
  const byId = new Map<string, OpenRequest>();
  return {
    add: (request) => {
      const open: OpenRequest = {
        ...request,
        outputTokens: 0,
        finishReason: undefined,
        answer: undefined,
        attempts: new Map(),
      };
      byId.set(request.info.requestId, open);
      return open;
    },
    find: (requestId) => byId.get(requestId),
    finish: (requestId, result) => {
      const open = byId.get(requestId);
      if (open === undefined) return;
      byId.delete(requestId);
      open.attempts.forEach((controller) => {
        controller.abort();
      });
      const whole: RequestResult = {
        ...result,
        finishReason: open.finishReason,
        outputTokens: open.outputTokens,
        answer: open.answer,
      };
      open.sink.finish(whole);
      options.onFinish?.(open, whole);
    },
    count: () => byId.size,
  };
}
