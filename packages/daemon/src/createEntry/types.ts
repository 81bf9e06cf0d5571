import type {
  EnginePort,
  PlatformPort,
  ServicePort,
} from '@endivegate/contracts';
import type { Logger } from '../createLogger/index.ts';
import type { LoadedSettings } from '../loadSettings/index.ts';

/** What an entry talks to. */
export interface EntryPorts {
  readonly engines: EnginePort;
  readonly services: ServicePort;
  readonly platform: PlatformPort;
}

/** Options of {@link createEntry}. */
export interface CreateEntryOptions extends LoadedSettings {
  readonly ports: EntryPorts;
  readonly logger: Logger;
  /** Told once the entry has left; it still has to be stopped. */
  readonly onExit?: (exitCode: number) => void;
}
