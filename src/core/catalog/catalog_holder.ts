/**
 * The catalog in force in this process, and the age of its confirmation.
 *
 * @module
 */
import type {
  Catalog,
  KeyedCustomer,
  ServiceSpec,
} from "../../world/catalog.ts";
import type { ClockReading } from "./confirmation.ts";
import { Confirmation } from "./confirmation.ts";
import { RouteTable } from "./route_table.ts";

/** A catalog with indexes for look-ups. */
export interface CatalogInForce {
  readonly catalog: Catalog;
  readonly routes: RouteTable;
  readonly services: ReadonlyMap<string, ServiceSpec>;
  /** Undefined when requests carry no keys. */
  readonly customerOfKey: ReadonlyMap<string, KeyedCustomer> | undefined;
}

/** Holds the newest catalog; an older one never replaces it. */
export class CatalogHolder {
  readonly #confirmation: Confirmation;
  /** Confirmations by this process's own requests to the store. */
  readonly #ownConfirmation: Confirmation;
  #inForce: CatalogInForce | undefined;
  /** Called at the first confirmation. */
  #onFirstConfirmed: (() => void) | undefined;

  constructor(monotonic: () => number, wall: () => number) {
    this.#confirmation = new Confirmation(monotonic, wall);
    this.#ownConfirmation = new Confirmation(monotonic, wall);
  }

  /** The catalog in force; undefined before the first. */
  get inForce(): CatalogInForce | undefined {
    return this.#inForce;
  }

  /** Version in force; 0 before the first. */
  get version(): number {
    return this.#inForce?.catalog.version ?? 0;
  }

  /** Puts a catalog in force if it is newer. Returns whether it is. */
  installIfNewer(catalog: Catalog): boolean {
    if (catalog.version <= this.version) return false;
    this.#inForce = {
      catalog,
      routes: new RouteTable(catalog),
      services: new Map(catalog.services.map((svc) => [svc.name, svc])),
      customerOfKey: catalog.customers && keyIndex(catalog.customers),
    };
    return true;
  }

  /** Reads both clocks, for use before a confirmation is requested. */
  readClocks(): ClockReading {
    return this.#confirmation.readClocks();
  }

  /**
   * Records that the store had no newer version at `requestedAt`, a reading taken
   * before the confirmation was requested.
   */
  recordConfirmation(version: number, requestedAt: ClockReading): void {
    if (version !== this.version) return;
    this.#ownConfirmation.record(requestedAt);
    this.#confirmation.record(requestedAt);
    this.#reportFirstConfirmed();
  }

  /**
   * Records that a peer's copy of the same version was confirmed `ageMs` ago.
   */
  recordPeerConfirmation(version: number, ageMs: number): void {
    if (version !== this.version) return;
    this.#confirmation.recordWithAge(ageMs);
    this.#reportFirstConfirmed();
  }

  /** Sets what is called at the first confirmation. */
  onFirstConfirmed(callback: () => void): void {
    this.#onFirstConfirmed = callback;
  }

  #reportFirstConfirmed(): void {
    this.#onFirstConfirmed?.();
    this.#onFirstConfirmed = undefined;
  }

  /**
   * Time since the version was last known to be the newest, in milliseconds.
   */
  get confirmationAgeMs(): number {
    return this.#confirmation.ageMs;
  }

  /**
   * The same for this process's own requests to the store. Peers receive this age
   * alone: an age that were passed on again would omit each time the time for
   * which a message waits to be read.
   */
  get ownConfirmationAgeMs(): number {
    return this.#ownConfirmation.ageMs;
  }
}

function keyIndex(
  customers: readonly KeyedCustomer[],
): Map<string, KeyedCustomer> {
  return new Map(
    customers.flatMap((customer) =>
      customer.keys.map((key) => [key, customer] as const)
    ),
  );
}
