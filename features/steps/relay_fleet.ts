/**
 * Several relays in virtual time that share scripted upstreams.
 *
 * @module
 */
import type { RelayAttempt } from "../../src/ports/relay_client.ts";
import {
  mergePartStatuses,
  takePartStatuses,
} from "../../src/core/gossip/part_statuses.ts";
import { VirtualTimers } from "../../src/bench/virtual_timers.ts";
import { ScriptedUpstreams } from "../../src/standins/fleet/scripted_upstreams.ts";
import type { RecordedResponse } from "./relay_fixture.ts";
import { RelayFixture } from "./relay_fixture.ts";

/** Time between statuses, and until a peer receives one. */
const STATUS_INTERVAL_MS = 100;
/** Time from a crash until the relays see that the group is not open. */
const BROKEN_SEEN_AFTER_MS = 300;
/** Time from a crash until the group is open again. */
const REOPENED_AFTER_MS = 3_000;

/** Relays that receive prompts in turn; crashed groups open again later. */
export class RelayFleet {
  readonly timers = new VirtualTimers();
  readonly upstreams = new ScriptedUpstreams(this.timers);
  readonly relays: RelayFixture[];
  /** Attempts at upstreams, with the monotonic time of their start. */
  readonly attempts: { at: number; attempt: RelayAttempt }[] = [];
  /** Called after each crash of a group. */
  onCrash: () => void = () => {};
  readonly #model: string;
  readonly #groupCount: number;
  readonly #epochs = new Map<number, number>();
  #next = 0;

  constructor(relayCount: number, groupCount: number, model: string) {
    this.#model = model;
    this.relays = Array.from(
      { length: relayCount },
      () => new RelayFixture(this.timers, this.upstreams),
    );
    this.#groupCount = groupCount;
    for (const relay of this.relays) relay.addGroups(groupCount, model);
    this.upstreams.onCrash = (hostId) => this.#replaceGroup(hostId);
    this.timers.subscribe(STATUS_INTERVAL_MS, () => this.#exchangeStatuses());
  }

  /** Sends a prompt to the next relay. */
  sendPrompt(parts: readonly string[]): RecordedResponse {
    const relay = this.relays[this.#next++ % this.relays.length];
    return relay.sendPrompt(parts, this.#model);
  }

  /** Replaces a relay by one that knows the groups, but nothing else. */
  replaceRelay(index: number): void {
    const relay = new RelayFixture(this.timers, this.upstreams);
    for (let group = 0; group < this.#groupCount; group++) {
      const epoch = this.#epochs.get(group) ?? 1;
      relay.announceGroup(group, this.#model, "open", epoch);
    }
    this.relays[index] = relay;
  }

  /** Lets time pass, and notes the attempts that begin. */
  async run(ms: number): Promise<void> {
    for (const { catalog } of this.relays) {
      catalog.recordConfirmation(1, catalog.readClocks());
    }
    await this.timers.run(ms);
    const begun = this.upstreams.attempts.slice(this.attempts.length);
    const at = this.timers.now();
    for (const { attempt } of begun) this.attempts.push({ at, attempt });
  }

  /** Sends what each relay knows of prompt parts to all others. */
  #exchangeStatuses(): void {
    for (const sender of this.relays) {
      const now = this.timers.now();
      const statuses = takePartStatuses(sender.relay.promptParts, now);
      this.timers.after(STATUS_INTERVAL_MS, () => {
        for (const receiver of this.relays) {
          if (receiver === sender) continue;
          const { promptParts } = receiver.relay;
          mergePartStatuses(promptParts, statuses, this.timers.now());
        }
      });
    }
  }

  /** Opens a crashed group again, with a new epoch. */
  #replaceGroup(hostId: string): void {
    this.onCrash();
    const group = Number(hostId.split("-")[1]);
    const epoch = (this.#epochs.get(group) ?? 1) + 1;
    this.#epochs.set(group, epoch);
    this.#announce(BROKEN_SEEN_AFTER_MS, group, "broken", epoch - 1);
    this.#announce(REOPENED_AFTER_MS, group, "open", epoch);
  }

  #announce(
    afterMs: number,
    group: number,
    state: "broken" | "open",
    epoch: number,
  ): void {
    this.timers.after(afterMs, () => {
      for (const relay of this.relays) {
        relay.announceGroup(group, this.#model, state, epoch);
      }
    });
  }
}
