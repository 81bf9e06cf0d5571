import type { ForwardingService } from '@endivegate/contracts/forwarding';
import type { ForwardCall } from '../index.ts';

/** Urgency that engines assume without one. */
const USUAL_URGENCY = 5;

/** Prompts up to this many times the usual length are admitted first. */
const SHORT_FACTOR = 1;

const SHORT_URGENCY = 3;

/**
 * Returns the urgency that an engine is told: short prompts before long ones;
 * undefined for services that are no engines.
 */
export function urgencyOf(
  service: ForwardingService,
  call: ForwardCall,
): number | undefined {
  const { prompt } = call.caller;
  if (service.engine === undefined || prompt === undefined) return undefined;
  const usualTokens = service.engine.memoryTokens / service.engine.slots;
  const isShort = prompt.promptTokens <= usualTokens * SHORT_FACTOR;
  return isShort ? SHORT_URGENCY : USUAL_URGENCY;
}
