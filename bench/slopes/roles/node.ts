import type { Figures } from '../figures.ts';

/**
 * Placeholder: `idle.mjs` measures the memory of a Node.js process without the
 * daemon.
 */
export function measureIdle(): Figures {
  return { rssBytes: 0 };
}

/**
 * Placeholder: `idle.mjs` measures the memory of a Node.js process that has
 * loaded the daemon.
 */
export function measureLoaded(): Figures {
  return { rssBytes: 0 };
}
