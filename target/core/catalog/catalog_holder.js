import { Confirmation } from "./confirmation.js";
import { RouteTable } from "./route_table.js";
/** Holds the newest catalog; an older one never replaces it. */
export class CatalogHolder {
    #confirmation;
    #inForce;
    constructor(monotonic, wall) {
        this.#confirmation = new Confirmation(monotonic, wall);
    }
    /** The catalog in force; undefined before the first. */
    get inForce() {
        return this.#inForce;
    }
    /** Version in force; 0 before the first. */
    get version() {
        return this.#inForce?.catalog.version ?? 0;
    }
    /** Takes a catalog if it is newer. Returns whether it was. */
    offer(catalog) {
        if (catalog.version <= this.version)
            return false;
        this.#inForce = {
            catalog,
            routes: new RouteTable(catalog),
            services: new Map(catalog.services.map((svc) => [svc.name, svc])),
            customerOfKey: catalog.customers && keyIndex(catalog.customers),
        };
        return true;
    }
    /** Reads the clocks before a confirmation is asked for. */
    now() {
        return this.#confirmation.now();
    }
    /** Notes that the version was the newest when `askedAt` was read. */
    confirmed(version, askedAt) {
        if (version === this.version)
            this.#confirmation.confirmed(askedAt);
    }
    /** Notes that a peer's copy of the same version was confirmed `ageMs` ago. */
    confirmedByPeer(version, ageMs) {
        if (version === this.version)
            this.#confirmation.confirmedBefore(ageMs);
    }
    /** Time since the version was known to be the newest, in milliseconds. */
    get confirmationAgeMs() {
        return this.#confirmation.ageMs;
    }
}
function keyIndex(customers) {
    return new Map(customers.flatMap((customer) => customer.keys.map((key) => [key, customer])));
}
