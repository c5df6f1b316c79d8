/**
 * Injects faults that act on hosts that form groups, and on what nodes learn of
 * them.
 *
 * @module
 */
import { Random } from "../../src/base/random.ts";
import type { Timers } from "../../src/base/timers.ts";
import { LEADER_KEY } from "../../src/core/fleet/leader_lease.ts";
import type { PlatformStandin } from "../../src/standins/platform/platform_standin.ts";
import type { Fault, GroupFaultKind } from "./fault_plan.ts";
import type { FaultProxy } from "./fault_proxy.ts";
import type { NodeRunner } from "./node_runner.ts";

const MAX_HOSTS = 4;
const MAX_COMMAND_DELAY_MS = 5_000;
/** A crashed host that nothing else restarts is replaced after this time. */
const REPLACEMENT_MS = 8_000;
const COMPACTION_INTERVAL_MS = 700;
const LATE_AFTER_OUTAGE_MS = 4_000;
const MIN_COPY_AGE_MS = 500;
const MAX_COPY_AGE_MS = 7_000;

/** The hosts, and how entries are delayed after an outage. */
export interface GroupFaultSettings {
  /** Number of fabric domains. */
  readonly domains: number;
  /** Hosts per domain. */
  readonly hosts: number;
  readonly modeAfterOutage: "late" | "reordered";
}

/** Injects the planned faults; details are drawn from the seed of each. */
export class GroupFaults {
  readonly #timers: Timers;
  readonly #platform: PlatformStandin;
  readonly #proxy: FaultProxy;
  readonly #nodes: readonly NodeRunner[];
  readonly #settings: GroupFaultSettings;
  #isRestoring = false;

  constructor(
    timers: Timers,
    platform: PlatformStandin,
    proxy: FaultProxy,
    nodes: readonly NodeRunner[],
    settings: GroupFaultSettings,
  ) {
    this.#timers = timers;
    this.#platform = platform;
    this.#proxy = proxy;
    this.#nodes = nodes;
    this.#settings = settings;
  }

  /** Injects a fault of a kind. */
  inject(kind: GroupFaultKind, { forMs, seed }: Fault): void {
    const random = new Random(seed);
    const { engines, entries } = this.#platform;
    switch (kind) {
      case "host_crash":
        return this.#crash(random, REPLACEMENT_MS);
      case "host_restart_same_id":
        return this.#crash(random, 100 + random.int(3_000));
      case "entries_late":
        return entries.delay("late", forMs, random);
      case "entries_reordered":
        return entries.delay("reordered", forMs, random);
      case "hosts_turned_away":
        return this.#turnHostsAway(random, forMs);
      case "late_command":
        for (const id of this.#pickHosts(random)) {
          engines.delayNextCommand(id, random.int(MAX_COMMAND_DELAY_MS));
        }
        return;
      case "compact":
        return this.#compactRepeatedly(forMs);
      case "outage":
        return this.#startOutage(random);
      case "store_restored":
        return this.#restoreStore(random);
    }
  }

  /** Crashes hosts; they start again under their ids after `restartMs`. */
  #crash(random: Random, restartMs: number): void {
    const { engines } = this.#platform;
    for (const id of this.#pickHosts(random)) {
      engines.crash(id);
      this.#timers.after(restartMs, () => engines.restart(id));
    }
  }

  /**
   * Takes the store away from nodes and hosts. Meanwhile, hosts crash and the
   * leader is killed or frozen; entries are late afterwards.
   */
  #startOutage(random: Random): void {
    const { entries } = this.#platform;
    const outageMs = 2_000 + random.int(6_000);
    const mode = random.pick(["silence", "refuse"] as const);
    this.#proxy.injectFault(mode, outageMs);
    if (mode === "refuse") this.#proxy.resetConnections();
    const expires = random.int(2) === 0;
    entries.turnAway(this.#allHosts(), outageMs, random, expires);
    for (let i = 1 + random.int(3); i > 0; i--) {
      const restartMs = random.pick([300, 1_500, REPLACEMENT_MS]);
      this.#timers.after(
        random.int(outageMs),
        () => this.#crash(random, restartMs),
      );
    }
    const stopsLeader = random.pick(["kill", "freeze", "none"] as const);
    this.#timers.after(
      random.int(outageMs),
      () => this.#disturbLeader(stopsLeader, random.int(outageMs)),
    );
    this.#timers.after(outageMs, () => {
      entries.delay(
        this.#settings.modeAfterOutage,
        LATE_AFTER_OUTAGE_MS,
        random,
      );
      this.#compactRepeatedly(LATE_AFTER_OUTAGE_MS);
    });
  }

  /**
   * Takes the store away, and back from a copy that was made some seconds before.
   * One restoration ends before the next copy is made.
   */
  #restoreStore(random: Random): void {
    if (this.#isRestoring) return;
    this.#isRestoring = true;
    const { store } = this.#platform;
    const copy = store.copy();
    const outageMs = 300 + random.int(2_000);
    this.#timers.after(MIN_COPY_AGE_MS + random.int(MAX_COPY_AGE_MS), () => {
      this.#proxy.injectFault("refuse", outageMs);
      this.#proxy.resetConnections();
      this.#timers.after(outageMs, () => {
        store.restore(copy);
        this.#platform.writeAgain(random);
        this.#isRestoring = false;
      });
    });
  }

  /**
   * Keeps half of the hosts from writing their entries. Groups need a repair
   * meanwhile, as hosts crash, and nodes read the old entries again.
   */
  #turnHostsAway(random: Random, forMs: number): void {
    const ids = this.#allHosts().filter(() => random.int(2) === 0);
    this.#platform.entries.turnAway(ids, forMs, random);
    this.#timers.after(
      random.int(1_000),
      () => this.#crash(random, REPLACEMENT_MS),
    );
    this.#compactRepeatedly(forMs);
  }

  /** Makes nodes list again and again, so that they read entries shown late. */
  #compactRepeatedly(forMs: number): void {
    for (let ms = 0; ms < forMs; ms += COMPACTION_INTERVAL_MS) {
      this.#timers.after(ms, () => void this.#platform.compact());
    }
  }

  #disturbLeader(how: "kill" | "freeze" | "none", forMs: number): void {
    const leaderId = this.#platform.store.readValue(LEADER_KEY);
    const leader = this.#nodes.find(({ id }) => id === leaderId);
    if (leader === undefined || how === "none") return;
    leader.signal(how === "kill" ? "SIGKILL" : "SIGSTOP");
    this.#timers.after(forMs, () => {
      if (how === "kill") leader.start();
      else leader.signal("SIGCONT");
    });
  }

  /** Draws one to four hosts; half the time, the first is a serving head. */
  #pickHosts(random: Random): string[] {
    const count = 1 + random.int(MAX_HOSTS);
    const all = this.#allHosts();
    const ids = Array.from({ length: count }, () => random.pick(all));
    const heads = this.#platform.engines.servingGroups.map(({ members }) =>
      members[0]
    );
    if (random.int(2) === 0 && heads.length > 0) ids[0] = random.pick(heads);
    return [...new Set(ids)];
  }

  #allHosts(): string[] {
    const { domains, hosts } = this.#settings;
    return Array.from(
      { length: domains * hosts },
      (_, i) => `i-${Math.floor(i / hosts)}-${i % hosts}`,
    );
  }
}
