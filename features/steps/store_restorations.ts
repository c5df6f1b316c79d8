/**
 * Restorations of a fleet's store from older copies, after which the operator and
 * the hosts write again what was lost.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import type { CoordinationItem } from "../../src/ports/coordination_store.ts";
import type { StoreCopy } from "../../src/standins/fleet/store_copy.ts";
import type { NodeFleet, SentRequest } from "./node_fleet.ts";

const LEADER_KEY = "oleander/acting";
const COPY_INTERVAL_MS = 250;
const KEEP_COPIES_MS = 20_000;
/** A node is in touch again this long after its last disturbance. */
const CONTACT_MS = 4_000;
/** A lease of a former era may be trusted for this long after the return. */
const LEASE_MS = 1_500;

/** What a restoration loses, and when it is written again. */
export interface Restoration {
  readonly loseMs: number;
  readonly awayMs: number;
  /** Time from the return until lost writes are made again. */
  readonly rewriteAfterMs: number;
}

/** A leader, as its log says. */
export interface GainedTerm {
  readonly nodeId: string;
  readonly at: number;
  readonly term: number;
  readonly era: number;
}

/** Restores the store of a fleet, and records what nodes do. */
export class StoreRestorations {
  readonly #fleet: NodeFleet;
  #copies: StoreCopy[] = [];
  /** When the restored store showed that a host leaves, if that was lost. */
  readonly #shownAt = new Map<string, number>();
  #returnedAt = -Infinity;
  #isAway = false;
  /** Moments at which several nodes led while the store served them. */
  readonly sharedLeads: { at: number; leaders: string[] }[] = [];

  constructor(fleet: NodeFleet) {
    this.#fleet = fleet;
    fleet.timers.subscribe(COPY_INTERVAL_MS, () => this.#keepCopy());
    fleet.timers.subscribe(100, () => this.#recordLeaders());
  }

  /** Takes the store away, restores a copy and writes again what it lacks. */
  async run(restoration: Restoration, copy?: StoreCopy): Promise<void> {
    const { timers, store } = this.#fleet;
    const lostFrom = timers.now() - restoration.loseMs;
    this.#isAway = true;
    store.faults.down = true;
    await timers.run(restoration.awayMs);
    const lost = store.copy().items;
    const older = copy ??
      this.#copies.findLast(({ madeAt }) => madeAt <= lostFrom);
    if (older === undefined) throw new Error("No copy is that old");
    store.restore(older);
    store.faults.down = false;
    this.#returnedAt = timers.now();
    this.#isAway = false;
    if (restoration.rewriteAfterMs > 0) {
      await timers.run(restoration.rewriteAfterMs);
    }
    this.#writeAgain(lost, older.revision);
  }

  /** Requests to hosts later than `ms` after the store showed that they leave. */
  lateRequests(ms: number): SentRequest[] {
    const { sent, leftAt, entryHosts } = this.#fleet;
    return sent.filter(({ hostId, nodeId, at }) => {
      const shownAt = this.#shownAt.get(hostId) ?? leftAt.get(hostId);
      if (shownAt === undefined || at - shownAt <= ms) return false;
      const node = entryHosts.find(({ id }) => id === nodeId);
      return at - (node?.disturbedAt ?? -Infinity) > CONTACT_MS;
    });
  }

  /** All terms of the fleet, in the order in which they began. */
  get terms(): GainedTerm[] {
    return this.#fleet.entryHosts.flatMap(({ id, logs }) =>
      logs.flatMap(({ events }) => events)
        .filter(({ event }) => event === "acting_gained")
        .map(({ at, fields }) => ({
          nodeId: id,
          at,
          term: Number(fields.term),
          era: Number(fields.era),
        }))
    ).sort((a, b) => a.at - b.at);
  }

  /** Ends the leader, and waits for a copy of the store without its key. */
  async copyWithoutLeader(): Promise<StoreCopy> {
    const { timers, store, leader } = this.#fleet;
    leader?.kill();
    while (store.readValue(LEADER_KEY) !== undefined) await timers.run(1);
    return store.copy();
  }

  /** Waits until a node leads, other than `formerId`. */
  async awaitLeader(formerId?: string): Promise<string> {
    const { timers } = this.#fleet;
    for (let i = 0; i < 1_000; i++) {
      const { leader } = this.#fleet;
      if (leader !== undefined && leader.id !== formerId) return leader.id;
      await timers.run(10);
    }
    throw new Error("No node leads");
  }

  #keepCopy(): void {
    if (this.#isAway) return;
    const { timers, store } = this.#fleet;
    const copy = store.copy();
    this.#copies = this.#copies.filter(({ madeAt }) =>
      timers.now() - madeAt < KEEP_COPIES_MS
    );
    this.#copies.push(copy);
  }

  #recordLeaders(): void {
    const { timers, running } = this.#fleet;
    if (this.#isAway || timers.now() - this.#returnedAt < LEASE_MS) return;
    // A node's log says late that it leads no longer if the store does not answer.
    const leaders = running.filter(({ isLeader, disturbedAt }) =>
      isLeader && timers.now() - disturbedAt > CONTACT_MS
    )
      .map(({ id }) => id);
    if (leaders.length > 1) {
      this.sharedLeads.push({ at: timers.now(), leaders });
    }
  }

  /** Writes what the operator and the hosts wrote, in any order. */
  #writeAgain(
    lost: readonly CoordinationItem[],
    copiedRevision: number,
  ): void {
    const { store, leftAt, timers, random } = this.#fleet;
    const isTheirs = ({ key }: CoordinationItem) =>
      !key.startsWith("oleander/");
    const wanted = new Map(
      lost.filter(isTheirs).map(({ key, value }) => [key, decode(value)]),
    );
    const keys = new Set(
      [...wanted.keys(), ...store.copy().items.filter(isTheirs).map(toKey)],
    );
    const isWrittenSince = new Set(
      store.copy().items.filter(({ revision }) => revision > copiedRevision)
        .map(toKey),
    );
    const changed = [...keys].filter((key) =>
      !isWrittenSince.has(key) && wanted.get(key) !== store.readValue(key)
    ).map((key) => ({ key, order: random.float() }))
      .sort((a, b) => a.order - b.order);
    for (const { key } of changed) {
      const value = wanted.get(key);
      if (value === undefined) store.remove(key);
      else store.put(key, JSON.parse(value));
      const hostId = key.slice("hosts/".length);
      if (leftAt.has(hostId)) this.#shownAt.set(hostId, timers.now());
    }
  }
}

function toKey({ key }: CoordinationItem): string {
  return key;
}

function decode(value: Uint8Array): string {
  return Buffer.from(value).toString("utf8");
}
