/**
 * Whose turn it is among the requests that are queued for one destination.
 *
 * @module
 */
import { CustomerUsage } from "./customer_usage.ts";
import type { ReturnKind } from "./return_schedule.ts";

/** What determines a queued request's turn. */
export interface Turn {
  /** Service and model. */
  readonly destination: string;
  /** Name of the customer; empty if there is none. */
  readonly customer: string;
  /** 0 is the highest. */
  readonly priority: number;
  /** Monotonic time of the request's arrival. */
  readonly arrivedAt: number;
  /** Monotonic time by which the first event is due. */
  readonly goalAt: number;
  /** Whether its caller has a part of the response already. */
  readonly hasBegun: boolean;
  /** Whether its caller had been refused and told when to return. */
  readonly returned: ReturnKind;
  /** Engine time that it uses. */
  readonly engineMs: number;
  /** Time to its first event on an idle upstream. */
  readonly leastMs: number;
}

interface RankedTurn<T extends Turn> {
  readonly turn: T;
  readonly lane: number;
  /** Level of the engine time that its customer has, with its requests ahead. */
  level: number;
}

/** Engine time of a few requests, below which all customers count alike. */
const LEVEL_UNIT_MS = 60;
/** Customers of one level differ by up to this factor, and go by their goals. */
const LEVEL_FACTOR = 3;

/** Lanes within one priority, in the order in which they are served. */
const LANE = { begun: 0, returned: 1, waiting: 2, early: 3, late: 4 } as const;

/**
 * Orders requests by priority, then by lane, then by the level of the engine time
 * that their customers were given recently, then by goal.
 */
export class TurnOrder {
  readonly #usage = new CustomerUsage();

  /** Number of tracked customers, over all destinations. */
  get trackedCount(): number {
    return this.#usage.size;
  }

  /**
   * Returns the requests for one destination in the order of their turns. Takes
   * n log n steps for n requests.
   *
   * @example
   * ```ts
   * for (const turn of order.inOrder(waiting, now)) place(turn);
   * ```
   */
  inOrder<T extends Turn>(turns: Iterable<T>, now: number): T[] {
    const ranked: RankedTurn<T>[] = [];
    for (const turn of turns) {
      ranked.push({ turn, lane: laneOf(turn, now), level: 0 });
    }
    if (ranked.length < 2) return ranked.map(({ turn }) => turn);
    ranked.sort(compareWithinCustomer);
    const used = new Map<string, number>();
    for (const rank of ranked) {
      const { destination, customer, engineMs } = rank.turn;
      const usedMs = used.get(customer) ??
        this.#usage.of(destination, customer, now);
      rank.level = levelOf(usedMs);
      used.set(customer, usedMs + engineMs);
    }
    ranked.sort(compareRanked);
    return ranked.map(({ turn }) => turn);
  }

  /** Counts the engine time of a request that is sent. */
  recordGiven({ destination, customer, engineMs }: Turn, now: number): void {
    this.#usage.add(destination, customer, engineMs, now);
  }

  /**
   * Returns the request to drop when there are too many: one of the lowest
   * priority, of the customer that has most of these at one destination, with the
   * last turn. Takes n steps for n requests.
   *
   * @example
   * ```ts
   * const dropped = order.toDrop(waiting, now);
   * ```
   */
  toDrop<T extends Turn>(turns: Iterable<T>, now: number): T | undefined {
    let lowest = -Infinity;
    const byCustomer = new Map<string, T[]>();
    for (const turn of turns) {
      if (turn.priority < lowest) continue;
      if (turn.priority > lowest) byCustomer.clear();
      lowest = turn.priority;
      const key = `${turn.customer}|${turn.destination}`;
      const own = byCustomer.get(key);
      if (own === undefined) byCustomer.set(key, [turn]);
      else own.push(turn);
    }
    let most: T[] = [];
    for (const own of byCustomer.values()) {
      if (own.length > most.length) most = own;
    }
    let last: RankedTurn<T> | undefined;
    for (const turn of most) {
      const rank = { turn, lane: laneOf(turn, now), level: 0 };
      if (last === undefined || compareWithinCustomer(rank, last) >= 0) {
        last = rank;
      }
    }
    return last?.turn;
  }

  /** Drops customers that were given nothing for long. */
  expire(now: number): void {
    this.#usage.expire(now);
  }
}

function laneOf(
  { hasBegun, goalAt, leastMs, returned }: Turn,
  now: number,
): number {
  if (hasBegun) return LANE.begun;
  if (now + leastMs > goalAt) return LANE.late;
  if (returned === "early") return LANE.early;
  return returned === "on_time" ? LANE.returned : LANE.waiting;
}

function levelOf(usedMs: number): number {
  return Math.floor(
    Math.log(1 + usedMs / LEVEL_UNIT_MS) / Math.log(LEVEL_FACTOR),
  );
}

function compareWithinCustomer<T extends Turn>(
  a: RankedTurn<T>,
  b: RankedTurn<T>,
): number {
  return a.turn.priority - b.turn.priority || a.lane - b.lane ||
    a.turn.goalAt - b.turn.goalAt || a.turn.arrivedAt - b.turn.arrivedAt;
}

function compareRanked<T extends Turn>(
  a: RankedTurn<T>,
  b: RankedTurn<T>,
): number {
  return a.turn.priority - b.turn.priority || a.lane - b.lane ||
    a.level - b.level ||
    a.turn.goalAt - b.turn.goalAt || a.turn.arrivedAt - b.turn.arrivedAt;
}
