/**
 * Election of hubs that excludes those that have stopped forwarding.
 *
 * @module
 */
import type { HubCandidate } from "./hub_election.ts";
import { electHubs } from "./hub_election.ts";

/** A hub that forwards nothing to this node for this long is excluded. */
const HUB_SILENCE_MS = 700;
/** Time after which an excluded hub can be elected again. */
const EXCLUSION_MS = 5_000;

/** Elects hubs and tracks which of them forward statuses to this node. */
export class HubSelector {
  readonly #self: () => HubCandidate;
  readonly #forwardedAt = new Map<string, number>();
  /** Hub of each zone, and the time at which it was selected. */
  readonly #selected = new Map<string, { node: string; since: number }>();
  /** Excluded hubs, with the time of the exclusion. */
  readonly #excluded = new Map<string, number>();

  constructor(self: () => HubCandidate) {
    this.#self = self;
  }

  /** Records that a node forwarded statuses to this one. */
  recordForward(node: string, now: number): void {
    this.#forwardedAt.set(node, now);
    this.#excluded.delete(node);
  }

  /**
   * Whether a node forwarded statuses to this one in the last
   * {@linkcode HUB_SILENCE_MS}.
   */
  isActive(node: string, now: number): boolean {
    return now - (this.#forwardedAt.get(node) ?? -Infinity) <= HUB_SILENCE_MS;
  }

  /** Returns the hub of each zone, without hubs that have stopped forwarding. */
  select(
    others: readonly HubCandidate[],
    now: number,
  ): Map<string, HubCandidate> {
    for (const [node, since] of this.#excluded) {
      if (now - since > EXCLUSION_MS) this.#excluded.delete(node);
    }
    for (;;) {
      const hubs = this.#electHubs(others);
      const silent = [...hubs.values()].filter((hub) =>
        this.#isExpectedToForward(hub, hubs) && this.#isSilent(hub, now)
      );
      if (silent.length === 0) return hubs;
      for (const { node } of silent) this.#excluded.set(node, now);
    }
  }

  #electHubs(others: readonly HubCandidate[]): Map<string, HubCandidate> {
    const included = others.filter(({ node }) => !this.#excluded.has(node));
    return electHubs([this.#self(), ...included]);
  }

  /**
   * Whether this node should receive statuses from the hub: hubs forward to the
   * nodes of their zone and to each other.
   */
  #isExpectedToForward(
    hub: HubCandidate,
    hubs: ReadonlyMap<string, HubCandidate>,
  ): boolean {
    const self = this.#self();
    if (hub.node === self.node) return false;
    return hub.zone === self.zone || hubs.get(self.zone)?.node === self.node;
  }

  /**
   * Whether more than {@linkcode HUB_SILENCE_MS} have passed since a hub last
   * forwarded statuses to this node, or since its selection if that was later.
   * Records the time of the selection.
   */
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
