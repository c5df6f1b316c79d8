/**
 * Writes the entries of the simulated hosts to the store, and injects delays.
 *
 * @module
 */
import type { Random } from "../../base/random.ts";
import type { Timers } from "../../base/timers.ts";
import type { ServingHost } from "../../world/serving_host.ts";
import type { MemoryCoordination } from "../fleet/memory_coordination.ts";
import { groupBody } from "./host_standin.ts";

const HEARTBEAT_MS = 1_200;
const EXPIRY_MS = 3 * HEARTBEAT_MS;
/** A host that the store turned away writes its entry within this time. */
const MAX_RETURN_MS = 2_000;
const MAX_DELAY_MS = 2_500;

/**
 * How the store shows new entries: `at_once`, `late` in the order of a host's
 * writes, or `reordered`, late in any order.
 */
export type EntryMode = "at_once" | "late" | "reordered";

/** Writes the hosts' entries, as the injected faults allow. */
export class EntryWriter {
  readonly #timers: Timers;
  readonly #store: MemoryCoordination;
  readonly #addressOf: (id: string) => string | undefined;
  readonly #announcementOf: (id: string) => ServingHost | undefined;
  /** Hosts that the store turns away, with the fault's identity. */
  readonly #turnedAway = new Map<string, symbol>();
  /** Late writes of each host, in their order. */
  readonly #queues = new Map<string, { at: number; apply: () => void }[]>();
  /** Time of the last planned write of each host, in any order. */
  readonly #lastWriteAt = new Map<string, number>();
  #mode: EntryMode = "at_once";
  #random: Random | undefined;
  #faultCount = 0;

  constructor(
    timers: Timers,
    store: MemoryCoordination,
    addressOf: (id: string) => string | undefined,
    announcementOf: (id: string) => ServingHost | undefined,
  ) {
    this.#timers = timers;
    this.#store = store;
    this.#addressOf = addressOf;
    this.#announcementOf = announcementOf;
  }

  /** Writes the entry of a host. */
  write(host: ServingHost): void {
    if (this.#turnedAway.has(host.id)) return;
    const entry = this.#toEntry(host);
    this.#deliver(
      host.id,
      () => this.#store.put(`servers/${host.id}`, entry),
    );
  }

  /** Removes the entry of a host whose heartbeats have stopped. */
  withdraw(id: string): void {
    this.#deliver(id, () => this.#store.remove(`servers/${id}`));
  }

  /**
   * Shows entries late for `forMs`, by up to 2.5 s each. A host's next heartbeat
   * replaces an older entry that was shown last.
   */
  delay(
    mode: Exclude<EntryMode, "at_once">,
    forMs: number,
    random: Random,
  ): void {
    const fault = ++this.#faultCount;
    this.#mode = mode;
    this.#random = random;
    this.#timers.after(forMs, () => {
      if (this.#faultCount === fault) this.#mode = "at_once";
    });
  }

  /**
   * Turns hosts away for `forMs`, while nodes can reach them. Their entries
   * expire after three heartbeats if `expires`, and are back within two seconds.
   */
  turnAway(
    ids: readonly string[],
    forMs: number,
    random: Random,
    expires = true,
  ): void {
    for (const id of ids) {
      const fault = Symbol(id);
      this.#turnedAway.set(id, fault);
      const isActive = () => this.#turnedAway.get(id) === fault;
      if (expires) {
        this.#timers.after(EXPIRY_MS, () => {
          if (isActive()) this.withdraw(id);
        });
      }
      this.#timers.after(forMs + random.int(MAX_RETURN_MS), () => {
        if (!isActive()) return;
        this.#turnedAway.delete(id);
        this.#rewrite(id);
      });
    }
  }

  /**
   * Shows the current entry of each host at its next heartbeat, and lets those of
   * hosts that are gone expire.
   */
  writeAgain(ids: readonly string[], random: Random): void {
    for (const id of ids) {
      const isGone = this.#announcementOf(id) === undefined;
      const delayMs = isGone ? EXPIRY_MS : random.int(HEARTBEAT_MS);
      this.#timers.after(delayMs, () => {
        if (!this.#turnedAway.has(id)) this.#rewrite(id);
      });
    }
  }

  /** Shows the current entry, as a heartbeat does; none if the host is gone. */
  #rewrite(id: string): void {
    const host = this.#announcementOf(id);
    if (host === undefined) return this.withdraw(id);
    const entry = JSON.stringify(this.#toEntry(host));
    const isLate = (this.#queues.get(id)?.length ?? 0) > 0;
    const isShown = this.#store.readValue(`servers/${id}`) === entry;
    if (isLate || !isShown) this.write(host);
  }

  #deliver(id: string, apply: () => void): void {
    const now = this.#timers.now();
    const queue = this.#queues.get(id) ?? [];
    const lastAt = queue.at(-1)?.at ?? now;
    if (this.#mode === "at_once" && queue.length === 0) return apply();
    const delayMs = this.#mode === "at_once"
      ? 0
      : this.#random?.int(MAX_DELAY_MS) ?? 0;
    if (this.#mode === "reordered") {
      return this.#deliverInAnyOrder(id, delayMs, apply);
    }
    const at = Math.max(now + delayMs, lastAt);
    queue.push({ at, apply });
    this.#queues.set(id, queue);
    // Timers that are due at the same time may fire in any order.
    this.#timers.after(at - now, () => queue.shift()?.apply());
  }

  /** Delivers a write late; a heartbeat follows once no write is late. */
  #deliverInAnyOrder(id: string, delayMs: number, apply: () => void): void {
    const now = this.#timers.now();
    const lastAt = Math.max(now + delayMs, this.#lastWriteAt.get(id) ?? 0);
    this.#lastWriteAt.set(id, lastAt);
    this.#timers.after(delayMs, apply);
    this.#timers.after(lastAt - now + HEARTBEAT_MS, () => this.#rewrite(id));
  }

  #toEntry(host: ServingHost) {
    return {
      service: host.service,
      address: this.#addressOf(host.id),
      zone: host.zone,
      version: "v1",
      slots: host.slots,
      state: host.draining ? "draining" : "ready",
      cold_left_ms: 0,
      domain: host.domain,
      staged: host.staged,
      models: host.models.map((name) => ({ name, version: 1, adapters: [] })),
      group: groupBody(host.membership),
      seq: 1,
      born: host.born,
    };
  }
}
