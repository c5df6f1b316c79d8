/**
 * Look-up of routes by host name and path.
 *
 * @module
 */
import type { Catalog, Route } from "../../world/catalog.ts";

/** Index of the routes of one catalog version, by host name and path prefix. */
export class RouteTable {
  readonly #byHostName = new Map<string, Map<string, Route>>();

  constructor(catalog: Catalog) {
    for (const route of catalog.routes) {
      const prefixes = this.#byHostName.get(route.hostName) ?? new Map();
      prefixes.set(route.pathPrefix, route);
      this.#byHostName.set(route.hostName, prefixes);
    }
  }

  /** Returns the route with the longest prefix that matches the path. */
  find(hostName: string, path: string): Route | undefined {
    const prefixes = this.#byHostName.get(hostName);
    if (prefixes === undefined) return undefined;
    let end = path.lastIndexOf("/");
    while (end >= 0) {
      const route = prefixes.get(path.slice(0, end + 1));
      if (route !== undefined) return route;
      end = end === 0 ? -1 : path.lastIndexOf("/", end - 1);
    }
    return undefined;
  }
}
