import type { ForwardCall } from '../../forwardRequest/types.ts';

/** Urgency that engines assume without one. */
const USUAL_URGENCY = 5;

const SHORT_URGENCY = 3;

/**
 * Returns the urgency that an engine is told: short prompts before long ones;
 * undefined for services that are no engines.
 */
export function urgencyOf(
  call: Pick<ForwardCall, 'caller' | 'service'>,
): number | undefined {
  const { service } = call;
  const { prompt } = call.caller;
  if (service.engine === undefined || prompt === undefined) return undefined;
  const slotTokens = service.engine.memoryTokens / service.engine.slots;
  const isShort = prompt.promptTokens <= slotTokens;
  return isShort ? SHORT_URGENCY : USUAL_URGENCY;
}
