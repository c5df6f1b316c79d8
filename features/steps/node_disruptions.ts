/**
 * Planned restarts, crashes, refusals by the store and lost messages while hosts
 * leave, from a seed.
 *
 * @module
 */
import type { Random } from "../../src/base/random.ts";
import type { EntryHost, StoreAccess } from "./entry_host.ts";
import type { NodeFleet, SentRequest } from "./node_fleet.ts";

/** An entry host is in touch again this long after its last disruption. */
const CONTACT_MS = 4_000;
/** Share of the entry hosts that the store turns away at once. */
const TURNED_AWAY_SHARE = 0.35;
/** A host that leaves serves for this long after the store's acknowledgement. */
const SERVES_MS = 9_000;

/** A request to a host that had left, by an entry host in touch. */
export interface LateRequest extends SentRequest {
  /** Time since the store acknowledged that the host leaves. */
  readonly afterMs: number;
}

/** Disrupts the entry hosts of a fleet while hosts leave, in rounds. */
export class NodeDisruptions {
  readonly late: LateRequest[] = [];
  readonly #fleet: NodeFleet;
  readonly #random: Random;
  #checkedCount = 0;

  constructor(fleet: NodeFleet) {
    this.#fleet = fleet;
    this.#random = fleet.random;
    fleet.timers.subscribe(50, () => this.#check());
  }

  /** Entry hosts are disrupted and a host leaves, in any order and at any moment. */
  async runRound(): Promise<void> {
    const { timers } = this.#fleet;
    await timers.run(6_000 + this.#random.int(12_000));
    const startedAt = timers.now();
    this.#planDisruption();
    if (this.#random.float() < 0.4) {
      timers.after(this.#random.int(4_000), () => this.#planDisruption());
    }
    const leaveAfterMs = this.#random.int(7_000);
    await timers.run(leaveAfterMs);
    const host = this.#random.pick(this.#fleet.servingHosts);
    const how = this.#random.float() < 0.7 ? "announced" : "removed";
    this.#fleet.leave(host, how);
    this.#fleet.addHost();
    await timers.run(SERVES_MS);
    await timers.runUntil(Math.max(timers.now(), startedAt + 14_000));
    for (const entryHost of this.#fleet.entryHosts) entryHost.start();
  }

  /**
   * Stops entry hosts a second apart, and starts them again a second after the last
   * has ended. Returns when all have ended.
   */
  async restartInTurn(entryHosts: readonly EntryHost[]): Promise<void> {
    const { timers } = this.#fleet;
    for (const entryHost of entryHosts) {
      entryHost.terminate();
      await timers.run(1_000);
    }
    while (entryHosts.some(({ isRunning }) => isRunning)) await timers.run(20);
    timers.after(1_000, () => {
      for (const entryHost of entryHosts) entryHost.start();
    });
    await timers.run(250);
  }

  /** For a time the store turns some entry hosts away and serves the others. */
  turnAway(
    entryHosts: ReadonlySet<EntryHost>,
    access: StoreAccess,
    forMs: number,
  ): void {
    const { timers } = this.#fleet;
    for (const entryHost of entryHosts) {
      entryHost.storeAccess = access;
      entryHost.disturbedAt = Infinity;
    }
    timers.after(forMs, () => {
      for (const entryHost of entryHosts) {
        entryHost.storeAccess = "served";
        entryHost.disturbedAt = timers.now();
      }
    });
  }

  /** The leader, and other entry hosts chosen at random. */
  leaderAndOthers(count: number): ReadonlySet<EntryHost> {
    const { running, leader } = this.#fleet;
    const others = running.filter((entryHost) => entryHost !== leader);
    const chosen = this.#shuffle(others).slice(0, count);
    return new Set(leader === undefined ? chosen : [leader, ...chosen]);
  }

  #planDisruption(): void {
    const kind = this.#random.int(5);
    if (kind === 0) {
      return this.#stopInTurn((entryHost) => entryHost.terminate());
    }
    if (kind === 1) return this.#stopInTurn((entryHost) => entryHost.kill());
    if (kind === 2) return this.#turnAwaySome();
    if (kind === 3) return this.#loseStatuses();
    this.#loseResponses();
  }

  /** Some entry hosts receive no statuses; they stay in touch. */
  #loseStatuses(): void {
    const { timers, entryHosts } = this.#fleet;
    const affected = this.#shuffle(entryHosts)
      .slice(0, 1 + this.#random.int(entryHosts.length));
    for (const entryHost of affected) entryHost.receivesStatuses = false;
    timers.after(500 + this.#random.int(6_000), () => {
      for (const entryHost of affected) entryHost.receivesStatuses = true;
    });
  }

  /**
   * The store's responses to requests in progress are lost; the entry hosts stay in
   * touch, as new requests get responses.
   */
  #loseResponses(): void {
    const { entryHosts } = this.#fleet;
    const count = 1 + this.#random.int(entryHosts.length);
    for (const entryHost of this.#readersFirst().slice(0, count)) {
      entryHost.loseResponses();
    }
  }

  /** Entry hosts stop in turn and start again; first those that read the store. */
  #stopInTurn(stop: (entryHost: EntryHost) => void): void {
    const { timers } = this.#fleet;
    const count = 1 + this.#random.int(3);
    const gapMs = this.#random.int(1_500);
    for (
      const [i, entryHost] of this.#readersFirst().slice(0, count).entries()
    ) {
      timers.after(i * gapMs, () => {
        stop(entryHost);
        const restartMs = 500 + this.#random.int(5_500);
        timers.after(restartMs, () => entryHost.start());
      });
    }
  }

  /** The store turns some entry hosts away and serves the others. */
  #turnAwaySome(): void {
    const { length } = this.#fleet.entryHosts;
    const count = Math.max(1, Math.floor(length * TURNED_AWAY_SHARE));
    this.turnAway(
      new Set(this.#readersFirst().slice(0, count)),
      this.#random.pick(["silent", "refused"] as const),
      1_000 + this.#random.int(8_000),
    );
  }

  /** Running entry hosts: the leader and the lowest ids first, in random order. */
  #readersFirst(): EntryHost[] {
    const { running, leader } = this.#fleet;
    const readers = running.filter((entryHost, i) =>
      i < 2 || entryHost === leader
    );
    const others = running.filter((entryHost) => !readers.includes(entryHost));
    return [...this.#shuffle(readers), ...this.#shuffle(others)];
  }

  #shuffle<T>(items: readonly T[]): T[] {
    return items
      .map((item) => ({ item, order: this.#random.float() }))
      .sort((a, b) => a.order - b.order)
      .map(({ item }) => item);
  }

  #check(): void {
    const { sent, leftAt, drainMs, entryHosts, timers } = this.#fleet;
    for (const request of sent.slice(this.#checkedCount)) {
      const left = leftAt.get(request.hostId);
      if (left === undefined || request.at - left <= drainMs) continue;
      const entryHost = entryHosts.find(({ id }) => id === request.nodeId);
      const disturbedAt = entryHost?.disturbedAt ?? Infinity;
      if (timers.now() - disturbedAt < CONTACT_MS) continue;
      this.late.push({ ...request, afterMs: request.at - left });
    }
    this.#checkedCount = sent.length;
  }
}
