import type { ServiceAnswer } from '@endivegate/contracts';
import type { RequestEnd, RequestInfo } from '@endivegate/core';
import type { Ran } from '@endivegate/contracts';

/** The content of a request that is sent to a target. */
export type RequestWork =
  | { readonly type: 'prompt'; readonly prompt: string }
  | {
      readonly type: 'call';
      readonly method: string;
      readonly path: string;
      readonly contentType: string | undefined;
      readonly body: Uint8Array;
    };

/** Result of a request, as reported to its caller. */
export interface RequestResult {
  readonly ran: Ran;
  readonly end: RequestEnd;
  /** Set when a prompt was answered. */
  readonly finishReason: 'stop' | 'length' | undefined;
  readonly outputTokens: number;
  /** Set when a plain service answered. */
  readonly answer: ServiceAnswer | undefined;
}

/** Receives the answer of an open request and sends it to the caller. */
export interface AnswerSink {
  /** Writes one token; resolves when the caller can accept more. */
  readonly writeToken: (text: string) => Promise<void>;
  /** Discards the buffered tokens; has an effect on non-streamed answers only. */
  readonly restart: () => void;
  /** Ends the answer with the result; called once. */
  readonly finish: (result: RequestResult) => void;
}

/** A request that was received and has not ended. */
export interface OpenRequest {
  readonly info: RequestInfo;
  readonly work: RequestWork;
  readonly sink: AnswerSink;
  /** Number of tokens written so far, which is the offset of the next one. */
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
  /** Removes a request, aborts its attempts and sends its caller the result. */
  readonly finish: (
    requestId: string,
    result: Pick<RequestResult, 'ran' | 'end'>,
  ) => void;
  readonly count: () => number;
}

/** Options of {@link createOpenRequests}. */
export interface CreateOpenRequestsOptions {
  /** Called after the result of a request was passed to its sink. */
  readonly onFinish?: (openRequest: OpenRequest, result: RequestResult) => void;
}

/**
 * Creates the registry of open requests.
 *
 * @param options - The callback for finished requests.
 * @returns An empty registry.
 */
export function createOpenRequests(
  options: CreateOpenRequestsOptions = {},
): OpenRequests {
  const byId = new Map<string, OpenRequest>();
  return {
    add: (request) => {
      const openRequest: OpenRequest = {
        ...request,
        outputTokens: 0,
        finishReason: undefined,
        answer: undefined,
        attempts: new Map(),
      };
      byId.set(request.info.requestId, openRequest);
      return openRequest;
    },
    find: (requestId) => byId.get(requestId),
    finish: (requestId, result) => {
      const openRequest = byId.get(requestId);
      if (openRequest === undefined) return;
      byId.delete(requestId);
      openRequest.attempts.forEach((controller) => {
        controller.abort();
      });
      const fullResult: RequestResult = {
        ...result,
        finishReason: openRequest.finishReason,
        outputTokens: openRequest.outputTokens,
        answer: openRequest.answer,
      };
      openRequest.sink.finish(fullResult);
      options.onFinish?.(openRequest, fullResult);
    },
    count: () => byId.size,
  };
}
