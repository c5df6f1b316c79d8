/**
 * What lies where in the platform's store.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import { parseManifest } from "./manifest.js";
import { parseServerEntry } from "./server_entry.js";
import { STORE_KEY } from "./wire_names.js";
/** {@linkcode FleetSchema} of the platform. */
export class StoreSchema {
    hostPrefix = STORE_KEY.servers;
    operatorPrefix = STORE_KEY.operator;
    parseHost(key, value) {
        const id = key.slice(STORE_KEY.servers.length);
        return parseServerEntry(id, parseJson(value));
    }
    isCatalog(key) {
        return key === STORE_KEY.config;
    }
    parseCatalog(value) {
        return parseManifest(parseJson(value));
    }
    zoneTakenOut(key) {
        return key.startsWith(STORE_KEY.evacuate)
            ? key.slice(STORE_KEY.evacuate.length)
            : undefined;
    }
}
function parseJson(value) {
    try {
        return JSON.parse(Buffer.from(value).toString("utf8"));
    }
    catch {
        return undefined;
    }
}
