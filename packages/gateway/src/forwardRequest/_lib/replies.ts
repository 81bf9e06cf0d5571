import type { GatewayError, Reply } from '../../createReply/index.ts';
import { endToEndHeaders, type TargetHead } from '../../httpDialect/index.ts';
import type { BufferedResponse } from '../../runSend/index.ts';
import { RELAY_HEADERS } from '../../relayDialect/index.ts';
import type { ResponseHead } from '../../sendRequest/index.ts';

const HTTP_OK = 200;
const BAD_GATEWAY = 502;
const UNAVAILABLE = 503;
const GATEWAY_TIMEOUT = 504;

/** Begins the response of a stream. */
export function beginStream(reply: Reply, head: ResponseHead): void {
  reply.begin(HTTP_OK, responseHeaders(head));
}

/** Sends a complete response of a target. */
export function replyWhole(reply: Reply, response: BufferedResponse): void {
  reply.begin(response.head.status, [
    ...responseHeaders(response.head),
    ['Content-Length', String(response.body.length)],
  ]);
  reply.end(response.body);
}

/** Says that the request has not run and will not; `isLocal` as in `GatewayError`. */
export function replyRefused(
  reply: Reply,
  refusal: Omit<GatewayError, 'status'>,
): void {
  reply.fail({ status: UNAVAILABLE, ...refusal });
}

/** Passes on a peer's refusal, with the pause that it asks for. */
export function replyRefusedByPeer(
  reply: Reply,
  peer: Pick<TargetHead, 'pause'> | undefined,
  defaultMs: number,
): void {
  const pauseMs =
    peer?.pause.type === 'requested' ? peer.pause.pauseMs : defaultMs;
  replyRefused(reply, {
    message: 'refused by the entry that it was relayed to',
    retryAfterMs: pauseMs,
  });
}

/** Says that the request failed and may have run. */
export function replyBrokenOff(reply: Reply): void {
  reply.fail({
    status: BAD_GATEWAY,
    message: 'the target broke off; the request may have run',
  });
}

/** Says that the entry ends before the target has answered. */
export function replyEnded(
  reply: Reply,
  { mayRun, isLocal }: { readonly mayRun: boolean; readonly isLocal: boolean },
): void {
  const message = 'the entry is shutting down';
  if (mayRun) reply.fail({ status: BAD_GATEWAY, message });
  else replyRefused(reply, { message, retryAfterMs: 0, isLocal });
}

/** Says that the time is up, and whether the request may have run. */
export function replyTimedOut(reply: Reply, mayRun: boolean): void {
  if (mayRun) reply.fail({ status: GATEWAY_TIMEOUT, message: 'out of time' });
  else reply.fail({ status: UNAVAILABLE, message: 'out of time, not run' });
}

function responseHeaders(
  head: ResponseHead,
): readonly (readonly [string, string])[] {
  return endToEndHeaders(head.rawHeaders, RELAY_HEADERS);
}
