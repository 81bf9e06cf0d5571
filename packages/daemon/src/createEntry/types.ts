import type {
  EnginePort,
  PlatformPort,
  ServicePort,
} from '@endivegate/contracts';
import type { Logger } from '../createLogger/index.ts';
import type { LoadedSettings } from '../loadSettings/index.ts';

/** Ports through which an entry reaches external systems. */
export interface EntryPorts {
  readonly engines: EnginePort;
  readonly services: ServicePort;
  readonly platform: PlatformPort;
}

/** Options of {@link createEntry}. */
export interface CreateEntryOptions extends LoadedSettings {
  readonly ports: EntryPorts;
  readonly logger: Logger;
  /** Called once the entry has left; it must still be stopped. */
  readonly onExit?: (exitCode: number) => void;
}
