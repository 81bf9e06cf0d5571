import type { Figures } from '../figures.ts';

/** Memory of a Node process that has loaded nothing of the daemon. */
export function measureIdle(): Figures {
  return { rssBytes: 0 };
}

/** Replaced by the child process, which measures itself. */
export function measureLoaded(): Figures {
  return { rssBytes: 0 };
}
