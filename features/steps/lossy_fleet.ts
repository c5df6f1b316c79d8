/**
 * A simulated fleet, with groups of up to 16 hosts, whose hosts are lost,
 * replaced and added.
 *
 * @module
 */
import { Random } from "../../src/base/random.ts";
import { groupKey } from "../../src/core/fleet/replica.ts";
import type { EngineModel } from "../../src/world/catalog.ts";
import { SimulatedFleet } from "./simulated_fleet.ts";

const LARGE = { name: "large", share: 0.5, pace: 1 };
const SMALL = { name: "small", share: 0.5, pace: 0.6 };

/** Hosts, models and demand of a fleet. */
export interface LossyShape {
  readonly domains: number;
  /** Hosts per domain. */
  readonly hosts: number;
  readonly domainsPerZone: number;
  /** Hosts per group of each model. */
  readonly sizes: readonly [large: number, small: number];
  readonly loadsPerSecond: number;
  readonly maxConcurrentLoads: number;
  /** Engine milliseconds requested per second. */
  readonly demand: { readonly large: number; readonly small: number };
}

/**
 * Fleets that the scenarios simulate; `grown_short` is `grown` with fewer
 * domains and less demand.
 */
export const LOSSY_SHAPES = {
  small: {
    domains: 6,
    hosts: 9,
    domainsPerZone: 2,
    sizes: [4, 3],
    loadsPerSecond: 4.5,
    maxConcurrentLoads: 6,
    demand: { large: 3_050, small: 3_200 },
  },
  grown: {
    domains: 8,
    hosts: 37,
    domainsPerZone: 2,
    sizes: [16, 4],
    loadsPerSecond: 18,
    maxConcurrentLoads: 27,
    demand: { large: 4_500, small: 19_600 },
  },
  grown_short: {
    domains: 6,
    hosts: 37,
    domainsPerZone: 2,
    sizes: [16, 4],
    loadsPerSecond: 18,
    maxConcurrentLoads: 27,
    demand: { large: 3_200, small: 14_400 },
  },
} as const satisfies Record<string, LossyShape>;

/** Time after which callers' streams show that a group is silent. */
const DETECTION_MS = 250;
const DRAIN_MS = 3_000;
const SAMPLE_MS = 200;
/** Capacity of a cross-domain group, relative to a group in one domain. */
const CROSS_DOMAIN_CAPACITY = 0.4;

/** Groups in service at one moment; cross-domain ones at reduced capacity. */
export interface Capacity {
  readonly at: number;
  readonly large: number;
  readonly small: number;
}

/** Simulates losses, replacements and additions of hosts from a seed. */
export class LossyFleet {
  readonly fleet: SimulatedFleet;
  readonly samples: Capacity[] = [];
  readonly #random: Random;
  readonly #domains: number;
  /** Fabric domain of each live host, by host id. */
  readonly #alive = new Map<string, number>();
  #addedCount = 0;

  constructor(shape: LossyShape, seed: number) {
    const { domains, hosts, demand } = shape;
    const [large, small] = shape.sizes;
    const models: EngineModel[] = [
      { ...LARGE, size: large, loadMs: 16_000, warmMs: 1_600 },
      { ...SMALL, size: small, loadMs: 12_000, warmMs: 1_100 },
    ];
    this.#random = new Random(seed);
    this.#domains = domains;
    this.fleet = new SimulatedFleet(domains, hosts, {
      engine: {
        models,
        loadsPerSecond: shape.loadsPerSecond,
        maxConcurrentLoads: shape.maxConcurrentLoads,
      },
      demand: [["large", demand.large], ["small", demand.small]],
      domainsPerZone: shape.domainsPerZone,
    });
    for (let d = 0; d < domains; d++) {
      for (let h = 0; h < hosts; h++) this.#alive.set(`i-${d}-${h}`, d);
    }
  }

  /** Runs until groups have formed and there is traffic. */
  async start(): Promise<void> {
    await this.fleet.run(22_000);
  }

  /** Runs, and samples the capacity in service. */
  async run(ms: number): Promise<void> {
    for (let at = 0; at < ms; at += SAMPLE_MS) {
      await this.fleet.run(SAMPLE_MS);
      this.samples.push(this.#capacity());
    }
  }

  /** Every `periodMs`, permanently loses two group members in one domain. */
  loseHosts(periodMs: number): void {
    this.fleet.timers.subscribe(periodMs, () => {
      const domain = this.#random.int(this.#domains);
      const joined = this.#liveGroupMembers(domain);
      for (let i = 0; i < 2 && joined.length > 0; i++) {
        const [id] = joined.splice(this.#random.int(joined.length), 1);
        this.#lose(id);
      }
    });
  }

  /** Shows announcements late, so that newer ones may overtake older ones. */
  delayAnnouncements(maxDelayMs: number): void {
    this.fleet.announcementDelayMs = () => this.#random.int(maxDelayMs);
  }

  /** Every `periodMs`, adds an empty host. */
  addHosts(periodMs: number): void {
    this.fleet.timers.subscribe(periodMs, () => {
      this.#add(this.#random.int(this.#domains));
    });
  }

  /** Every second, replaces `perSecond` hosts by empty ones, up to `share`. */
  replaceHosts(perSecond: number, share: number): void {
    const old = [...this.#alive.keys()];
    let remaining = Math.floor(old.length * share);
    const timer = this.fleet.timers.subscribe(1_000, () => {
      for (let i = 0; i < perSecond && remaining > 0; i++) {
        remaining -= 1;
        const [id] = old.splice(this.#random.int(old.length), 1);
        const domain = this.#alive.get(id);
        if (domain === undefined) continue;
        this.#add(domain);
        this.fleet.engine.drain(id);
        this.fleet.timers.after(DRAIN_MS, () => this.#lose(id));
      }
      if (remaining === 0) timer.cancel();
    });
  }

  /** Makes all hosts of a domain unreachable for a time. */
  disconnectDomain(domain: number, forMs: number): void {
    const ids = [...this.#alive].filter(([, d]) => d === domain)
      .map(([id]) => id);
    const keys = new Set(ids.flatMap((id) => this.#groupOf(id) ?? []));
    for (const id of ids) this.fleet.engine.stopResponding(id);
    for (const key of keys) this.#suspectLater(key);
    this.fleet.timers.after(forMs, () => {
      for (const id of ids) this.fleet.engine.restore(id);
    });
  }

  #add(domain: number): void {
    const id = `n-${domain}-${++this.#addedCount}`;
    this.#alive.set(id, domain);
    this.fleet.add(id, domain);
  }

  #lose(id: string): void {
    if (!this.#alive.delete(id)) return;
    const key = this.#groupOf(id);
    this.fleet.engine.stopResponding(id);
    if (key !== undefined) this.#suspectLater(key);
  }

  #suspectLater(key: string): void {
    this.fleet.timers.after(DETECTION_MS, () => {
      const now = this.fleet.timers.now();
      const suspicion = { key, kind: "silent", at: now } as const;
      this.fleet.suspicions.record(suspicion, "own");
      this.fleet.orchestrator.onSuspicion(suspicion);
    });
  }

  #groupOf(id: string): string | undefined {
    const membership = this.fleet.hosts.get(id)?.membership;
    if (membership === undefined) return undefined;
    return groupKey(membership.group, membership.epoch);
  }

  #liveGroupMembers(domain: number): string[] {
    return this.fleet.engine.servingGroups.flatMap(({ members }) => members)
      .filter((id) => this.#alive.get(id) === domain);
  }

  #capacity(): Capacity {
    const groups = { large: 0, small: 0 };
    for (const { model, members } of this.fleet.engine.servingGroups) {
      if (members.length === 1) continue;
      const domains = new Set(members.map((id) => this.#alive.get(id)));
      const capacity = domains.size > 1 ? CROSS_DOMAIN_CAPACITY : 1;
      groups[model as "large" | "small"] += capacity;
    }
    return { at: this.fleet.timers.now(), ...groups };
  }
}
