import type {
  ForwardingConfig,
  ForwardingRoute,
  ForwardingService,
} from '@endivegate/contracts/forwarding';

/** The workspace that an API key belongs to. */
export interface KeyWorkspace {
  readonly name: string;
  readonly priority: number | undefined;
}

/** A configuration indexed for lookups; see {@link buildRouteTable}. */
export interface RouteTable {
  readonly config: ForwardingConfig;
  /** Routes of each host, longest prefix first. */
  readonly routesByHost: ReadonlyMap<string, readonly ForwardingRoute[]>;
  readonly servicesByName: ReadonlyMap<string, ForwardingService>;
  readonly workspacesByKey: ReadonlyMap<string, KeyWorkspace>;
}

/**
 * Indexes a configuration for lookups.
 *
 * @param config - The configuration.
 * @returns The routes by host, the services by name and the workspaces by key, without
 * empty keys, which a request without a key would match.
 *
 * @example
 * matchRoute(buildRouteTable(config), 'api.example', '/chat/1');
 */
export function buildRouteTable(config: ForwardingConfig): RouteTable {
  return {
    config,
    routesByHost: groupByHost(config.routes),
    servicesByName: new Map(
      config.services.map((service) => [service.name, service]),
    ),
    workspacesByKey: new Map(
      config.workspaces.flatMap(({ name, keys, priority }) =>
        keys
          .filter((key) => key !== '')
          .map((key) => [key, { name, priority }] as const),
      ),
    ),
  };
}

/**
 * Finds the route of a request: of the host's routes whose prefix matches the
 * path, the one with the longest prefix.
 *
 * @param table - The indexed configuration.
 * @param host - Value of the Host header; a port is ignored.
 * @param path - Path, with or without a query string.
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
 * Picks the service of a request at random, by the weights of its route.
 *
 * @param route - The route.
 * @param random - Random number, uniform in [0, 1).
 * @returns The service name, or undefined when no weight is above 0.
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
  const cumulativeWeights = shares.map((_, index) =>
    shares.slice(0, index + 1).reduce((sum, share) => sum + share.weight, 0),
  );
  const index = cumulativeWeights.findIndex((upTo) => random * total < upTo);
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
    [...groups].map(([host, group]) => [host, sortByPrefixLength(group)]),
  );
}

function sortByPrefixLength(
  routes: readonly ForwardingRoute[],
): readonly ForwardingRoute[] {
  return routes.toSorted((a, b) => b.prefix.length - a.prefix.length);
}
