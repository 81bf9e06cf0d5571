import type {
  ForwardingConfig,
  ForwardingRoute,
  ForwardingService,
} from '@endivegate/contracts/forwarding';

/** A workspace that a key belongs to. */
export interface KeyHolder {
  readonly name: string;
  readonly priority: number | undefined;
}

/** A configuration arranged for look-ups; see {@link buildRouteTable}. */
export interface RouteTable {
  readonly config: ForwardingConfig;
  /** Routes of a host, longest prefix first. */
  readonly routesByHost: ReadonlyMap<string, readonly ForwardingRoute[]>;
  readonly servicesByName: ReadonlyMap<string, ForwardingService>;
  readonly workspacesByKey: ReadonlyMap<string, KeyHolder>;
}

/**
 * Arranges a configuration for look-ups.
 *
 * @param config - The configuration.
 * @returns Its routes by host, services by name and workspaces by key.
 *
 * @example
 * matchRoute(buildRouteTable(config), 'api.example', '/chat/1');
 */
export function buildRouteTable(config: ForwardingConfig): RouteTable {
  return {
    config,
    routesByHost: groupByHost(config.routes),
    servicesByName: new Map(config.services.map((one) => [one.name, one])),
    workspacesByKey: new Map(
      config.workspaces.flatMap(({ name, keys, priority }) =>
        keys.map((key) => [key, { name, priority }] as const),
      ),
    ),
  };
}

/**
 * Finds the route of a request: the longest prefix of the host's routes that
 * begins the path.
 *
 * @param table - The arranged configuration.
 * @param host - Value of the Host header; a port is ignored.
 * @param path - Path with or without a query.
 * @returns The route, or undefined when none matches.
 *
 * @example
 * matchRoute(table, 'api.example:80', '/chat/1?x=2');
 */
export function matchRoute(
  table: RouteTable,
  host: string,
  path: string,
): ForwardingRoute | undefined {
  const name = host.replace(/:\d*$/, '').toLowerCase();
  const [pathOnly = ''] = path.split('?', 1);
  return table.routesByHost
    .get(name)
    ?.find((route) => pathOnly.startsWith(route.prefix));
}

/**
 * Picks the service of a request by the weights of its route.
 *
 * @param route - The route.
 * @param random - Uniform in [0, 1).
 * @returns The name of a service, or undefined when no weight is above 0.
 *
 * @example
 * pickService(route, Math.random());
 */
export function pickService(
  route: ForwardingRoute,
  random: number,
): string | undefined {
  const shares = route.shares.filter((share) => share.weight > 0);
  const total = shares.reduce((sum, share) => sum + share.weight, 0);
  const bounds = shares.map((_, index) =>
    shares.slice(0, index + 1).reduce((sum, share) => sum + share.weight, 0),
  );
  const index = bounds.findIndex((bound) => random * total < bound);
  return shares[index]?.service;
}

function groupByHost(
  routes: readonly ForwardingRoute[],
): ReadonlyMap<string, readonly ForwardingRoute[]> {
  const groups = new Map<string, ForwardingRoute[]>();
  routes.forEach((route) => {
    const host = route.host.toLowerCase();
    const group = groups.get(host);
    if (group === undefined) groups.set(host, [route]);
    else group.push(route);
  });
  return new Map(
    [...groups].map(([host, group]) => [host, byPrefixLength(group)]),
  );
}

function byPrefixLength(
  routes: readonly ForwardingRoute[],
): readonly ForwardingRoute[] {
  return routes.toSorted((a, b) => b.prefix.length - a.prefix.length);
}
