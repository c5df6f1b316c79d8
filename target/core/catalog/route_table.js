/** Routes of one catalog version, by host name and longest prefix. */
export class RouteTable {
    #byHost = new Map();
    constructor(catalog) {
        for (const route of catalog.routes) {
            const prefixes = this.#byHost.get(route.hostName) ?? new Map();
            prefixes.set(route.pathPrefix, route);
            this.#byHost.set(route.hostName, prefixes);
        }
    }
    /** Returns the route with the longest prefix of the path. */
    find(hostName, path) {
        const prefixes = this.#byHost.get(hostName);
        if (prefixes === undefined)
            return undefined;
        let end = path.lastIndexOf("/");
        while (end >= 0) {
            const route = prefixes.get(path.slice(0, end + 1));
            if (route !== undefined)
                return route;
            end = end === 0 ? -1 : path.lastIndexOf("/", end - 1);
        }
        return undefined;
    }
}
