import type { ForwardCall } from '../../forwardRequest/types.ts';

/** Priority that engines assume if none is given. */
const DEFAULT_PRIORITY = 5;

const SHORT_PROMPT_PRIORITY = 3;

/**
 * Returns the scheduling priority sent to an engine; lower values run first, so
 * short prompts run before long ones. Undefined for services without engines.
 */
export function enginePriorityOf(
  call: Pick<ForwardCall, 'caller' | 'service'>,
): number | undefined {
  const { service } = call;
  const { prompt } = call.caller;
  if (service.engine === undefined || prompt === undefined) return undefined;
  const slotTokens = service.engine.memoryTokens / service.engine.slots;
  const isShort = prompt.promptTokens <= slotTokens;
  return isShort ? SHORT_PROMPT_PRIORITY : DEFAULT_PRIORITY;
}
