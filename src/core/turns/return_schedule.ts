/**
 * When refused callers are told to return, and which callers did.
 *
 * @module
 */
import { hash32 } from "../../base/hash.ts";

/** Whether a caller had been refused and told when to return. */
export type ReturnKind = "new" | "on_time" | "early";

/** Room at one destination. */
export interface Room {
  /**
   * Engine time that the destination provides per unit of time; 0 if nothing
   * takes requests now.
   */
  readonly rate: number;
  /** Number of nodes that share the room. */
  readonly nodes: number;
  /** Index of this node among them, from 0. */
  readonly rank: number;
  /** Time until there may be room, in milliseconds. */
  readonly freeInMs: number;
}

/** A caller that is refused. */
export interface RefusedCaller {
  readonly destination: string;
  readonly fingerprint: string;
  /** Engine time that its request uses. */
  readonly engineMs: number;
  /** Longest time after which it can return, in milliseconds. */
  readonly usableMs: number;
}

/** When a refused caller is to return. */
export interface ReturnTime {
  readonly afterMs: number;
  /** Whether room is set aside for it then. */
  readonly hasSlot: boolean;
}

/** Share of the room for callers that return; newcomers have the rest. */
const RETURN_SHARE = 0.1;
const MIN_AFTER_MS = 100;
/** Callers without a slot return in this last share of the time they can use. */
const NO_SLOT_SPREAD = 0.1;
/** Golden section, by which times without slots are spread evenly. */
const SPREAD_STEP = 0.618_034;
/** A caller may be this early, as the time it is told is rounded. */
const EARLY_TOLERANCE_MS = 20;
/** A caller that returns later than this is a newcomer. */
const LATE_TOLERANCE_MS = 500;
/** Maximum number of callers that are remembered. */
const MAX_CALLERS = 4_096;
/** Maximum number of destinations that are remembered. */
const MAX_DESTINATIONS = 64;
/** A destination is forgotten if no caller was refused for this time. */
const IDLE_MS = 10_000;

interface Slots {
  /** Monotonic time of the last slot that was given. */
  readonly lastAt: number;
  /** Last known rate; positive. */
  readonly rate: number;
  readonly refusedAt: number;
}

interface ToldCaller {
  /** Monotonic time at which it is to return. */
  readonly at: number;
  readonly hasSlot: boolean;
}

/** Gives refused callers different times to return, and recognizes them. */
export class ReturnSchedule {
  /** Longest unused first. */
  readonly #destinations = new Map<string, Slots>();
  /** Refused callers by fingerprint; the longest ago first. */
  readonly #callers = new Map<string, ToldCaller>();
  #spread = 0;

  /** Number of destinations and callers that are remembered. */
  get size(): { readonly destinations: number; readonly callers: number } {
    return {
      destinations: this.#destinations.size,
      callers: this.#callers.size,
    };
  }

  /**
   * Returns when a refused caller is to return. One that was told before, and is
   * too early, gets no slot beside the one that it has.
   *
   * @example
   * ```ts
   * const { afterMs } = schedule.refuse(caller, room, now);
   * ```
   */
  refuse(caller: RefusedCaller, room: Room, now: number): ReturnTime {
    const { fingerprint, usableMs } = caller;
    const told = this.#callers.get(fingerprint);
    if (told !== undefined && told.at - now > EARLY_TOLERANCE_MS) {
      // Callers with equal requests can't be told apart; one of them has the slot.
      const earliestMs = Math.min(told.at - now, usableMs);
      return {
        afterMs: earliestMs + (usableMs - earliestMs) * this.#nextSpread(),
        hasSlot: false,
      };
    }
    const slotAt = this.#nextSlotAt(caller, room, now);
    const hasSlot = slotAt !== undefined;
    const at = slotAt ??
      now + usableMs * (1 - NO_SLOT_SPREAD * this.#nextSpread());
    this.#callers.delete(fingerprint);
    this.#callers.set(fingerprint, { at, hasSlot });
    dropOldest(this.#callers, MAX_CALLERS);
    return { afterMs: at - now, hasSlot };
  }

  /**
   * Returns whether a caller returns when it was told; its place is then used up.
   *
   * @example
   * ```ts
   * schedule.recognize(run.fingerprint, now); // "on_time"
   * ```
   */
  recognize(fingerprint: string, now: number): ReturnKind {
    const told = this.#callers.get(fingerprint);
    if (told === undefined) return "new";
    if (told.at - now > EARLY_TOLERANCE_MS) return "early";
    this.#callers.delete(fingerprint);
    const isLate = now - told.at > LATE_TOLERANCE_MS;
    return told.hasSlot && !isLate ? "on_time" : "new";
  }

  /** Forgets callers that did not return, and destinations without refusals. */
  expire(now: number): void {
    for (const [fingerprint, { at }] of this.#callers) {
      if (now - at > LATE_TOLERANCE_MS) this.#callers.delete(fingerprint);
    }
    for (const [destination, { refusedAt, lastAt }] of this.#destinations) {
      if (now - Math.max(refusedAt, lastAt) > IDLE_MS) {
        this.#destinations.delete(destination);
      }
    }
  }

  /** Takes the next slot; returns undefined if the caller can't use it. */
  #nextSlotAt(caller: RefusedCaller, room: Room, now: number) {
    const { destination, engineMs, usableMs } = caller;
    const known = this.#destinations.get(destination);
    const rate = room.rate > 0 ? room.rate : known?.rate;
    // Callers may name models that don't exist.
    if (rate === undefined) return undefined;
    const nodes = Math.max(1, room.nodes);
    const stepMs = engineMs / (rate * RETURN_SHARE);
    const place = (room.rank + hash32(destination)) % nodes;
    const slotAt = Math.max(
      // Nodes whose callers are refused together begin one after the other.
      now + Math.max(MIN_AFTER_MS, room.freeInMs) + (place + 1) * stepMs,
      (known?.lastAt ?? -Infinity) + nodes * stepMs,
    );
    const isUsable = slotAt - now <= usableMs;
    this.#destinations.delete(destination);
    this.#destinations.set(destination, {
      lastAt: isUsable ? slotAt : known?.lastAt ?? -Infinity,
      rate,
      refusedAt: now,
    });
    dropOldest(this.#destinations, MAX_DESTINATIONS);
    return isUsable ? slotAt : undefined;
  }

  /** Returns numbers from 0 to 1 that are spread evenly. */
  #nextSpread(): number {
    this.#spread = (this.#spread + SPREAD_STEP) % 1;
    return this.#spread;
  }
}

function dropOldest(map: Map<string, unknown>, maxSize: number): void {
  if (map.size <= maxSize) return;
  for (const [oldest] of map) {
    map.delete(oldest);
    return;
  }
}
