/**
 * Chooses hubs, and leaves out those that have gone silent.
 *
 * @module
 */
import type { HubCandidate } from "./hub_plan.ts";
import { hubsByZone } from "./hub_plan.ts";

/** A hub that passed nothing on for this time is taken for lost. */
const SILENT_MS = 700;
/** A hub that was left out is tried again after this time. */
const RETRY_MS = 5_000;

/** Watches the hubs that should pass something on to this process. */
export class HubWatch {
  readonly #self: () => HubCandidate;
  readonly #heardAt = new Map<string, number>();
  readonly #chosen = new Map<string, { node: string; since: number }>();
  /** Hubs left out, with the time since when. */
  readonly #silent = new Map<string, number>();

  constructor(self: () => HubCandidate) {
    this.#self = self;
  }

  /** Takes note that a process passed something on to this one. */
  heard(node: string, now: number): void {
    this.#heardAt.set(node, now);
    this.#silent.delete(node);
  }

  /** Whether a process has passed something on to this one of late. */
  speaks(node: string, now: number): boolean {
    return now - (this.#heardAt.get(node) ?? -Infinity) <= SILENT_MS;
  }

  /** Hubs by zone. */
  choose(
    others: readonly HubCandidate[],
    now: number,
  ): Map<string, HubCandidate> {
    for (const [node, since] of this.#silent) {
      if (now - since > RETRY_MS) this.#silent.delete(node);
    }
    for (;;) {
      const hubs = this.#candidates(others);
      const silent = [...hubs.values()].filter((hub) =>
        this.#hears(hub, hubs) && this.#isSilent(hub, now)
      );
      if (silent.length === 0) return hubs;
      for (const { node } of silent) this.#silent.set(node, now);
    }
  }

  #candidates(others: readonly HubCandidate[]): Map<string, HubCandidate> {
    const known = others.filter(({ node }) => !this.#silent.has(node));
    return hubsByZone([this.#self(), ...known]);
  }

  /** A hub speaks to its zone and to the other hubs. */
  #hears(
    hub: HubCandidate,
    hubs: ReadonlyMap<string, HubCandidate>,
  ): boolean {
    const self = this.#self();
    if (hub.node === self.node) return false;
    return hub.zone === self.zone || hubs.get(self.zone)?.node === self.node;
  }

  #isSilent(hub: HubCandidate, now: number): boolean {
    let chosen = this.#chosen.get(hub.zone);
    if (chosen?.node !== hub.node) {
      chosen = { node: hub.node, since: now };
      this.#chosen.set(hub.zone, chosen);
    }
    const heardAt = this.#heardAt.get(hub.node) ?? -Infinity;
    return now - Math.max(heardAt, chosen.since) > SILENT_MS;
  }
}
