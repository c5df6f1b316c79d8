/**
 * Chooses hubs, and leaves out those that have gone silent.
 *
 * @module
 */
import type { HubCandidate } from "./hub_plan.ts";
import { hubsByZone } from "./hub_plan.ts";

/** A hub that passed nothing on for this time is taken for lost. */
const HUB_SILENCE_MS = 700;
/** A hub that was left out is tried again after this time. */
const EXCLUSION_MS = 5_000;

/** Watches the hubs that should pass something on to this process. */
export class HubSelector {
  readonly #self: () => HubCandidate;
  readonly #forwardedAt = new Map<string, number>();
  readonly #selected = new Map<string, { node: string; since: number }>();
  /** Hubs left out, with the time since when. */
  readonly #excluded = new Map<string, number>();

  constructor(self: () => HubCandidate) {
    this.#self = self;
  }

  /** Takes note that a process passed something on to this one. */
  touch(node: string, now: number): void {
    this.#forwardedAt.set(node, now);
    this.#excluded.delete(node);
  }

  /** Whether a process has passed something on to this one of late. */
  isActive(node: string, now: number): boolean {
    return now - (this.#forwardedAt.get(node) ?? -Infinity) <= HUB_SILENCE_MS;
  }

  /** Hubs by zone. */
  select(
    others: readonly HubCandidate[],
    now: number,
  ): Map<string, HubCandidate> {
    for (const [node, since] of this.#excluded) {
      if (now - since > EXCLUSION_MS) this.#excluded.delete(node);
    }
    for (;;) {
      const hubs = this.#candidateHubs(others);
      const silent = [...hubs.values()].filter((hub) =>
        this.#expectsFrom(hub, hubs) && this.#isSilent(hub, now)
      );
      if (silent.length === 0) return hubs;
      for (const { node } of silent) this.#excluded.set(node, now);
    }
  }

  #candidateHubs(others: readonly HubCandidate[]): Map<string, HubCandidate> {
    const included = others.filter(({ node }) => !this.#excluded.has(node));
    return hubsByZone([this.#self(), ...included]);
  }

  /** A hub speaks to its zone and to the other hubs. */
  #expectsFrom(
    hub: HubCandidate,
    hubs: ReadonlyMap<string, HubCandidate>,
  ): boolean {
    const self = this.#self();
    if (hub.node === self.node) return false;
    return hub.zone === self.zone || hubs.get(self.zone)?.node === self.node;
  }

  #isSilent(hub: HubCandidate, now: number): boolean {
    let selected = this.#selected.get(hub.zone);
    if (selected?.node !== hub.node) {
      selected = { node: hub.node, since: now };
      this.#selected.set(hub.zone, selected);
    }
    const forwardedAt = this.#forwardedAt.get(hub.node) ?? -Infinity;
    return now - Math.max(forwardedAt, selected.since) > HUB_SILENCE_MS;
  }
}
