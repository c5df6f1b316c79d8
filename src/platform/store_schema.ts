/**
 * Key layout and value formats of the platform's store.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import type { FleetSchema } from "../ports/fleet_schema.ts";
import type { Catalog } from "../world/catalog.ts";
import type { ServingHost } from "../world/serving_host.ts";
import { parseManifest } from "./manifest.ts";
import { parseHostEntry } from "./host_entry.ts";
import { STORE_KEY } from "./wire_names.ts";

/** {@linkcode FleetSchema} of the platform's store. */
export class StoreSchema implements FleetSchema {
  readonly hostPrefix = STORE_KEY.servers;
  readonly operatorPrefix = STORE_KEY.operator;

  parseHost(key: string, value: Uint8Array): ServingHost | undefined {
    const id = key.slice(STORE_KEY.servers.length);
    return parseHostEntry(id, parseJson(value));
  }

  isCatalog(key: string): boolean {
    return key === STORE_KEY.config;
  }

  parseCatalog(value: Uint8Array): Catalog | undefined {
    return parseManifest(parseJson(value));
  }

  zoneOutOfService(key: string): string | undefined {
    return key.startsWith(STORE_KEY.evacuate)
      ? key.slice(STORE_KEY.evacuate.length)
      : undefined;
  }
}

function parseJson(value: Uint8Array): unknown {
  try {
    return JSON.parse(Buffer.from(value).toString("utf8"));
  } catch {
    return undefined;
  }
}
