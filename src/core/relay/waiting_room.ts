/**
 * Requests that wait for an upstream, in the order in which they are served.
 *
 * @module
 */
import type { Placement, PlacementQuery } from "./placer.ts";

/** A request, or the rest of one, that waits. */
export interface WaitingRequest extends PlacementQuery {
  readonly arrivedAt: number;
  readonly waitUntil: number;
  /** 0 is served first. */
  readonly priority: number;
  placed(placement: Placement & { kind: "send" }): void;
  notPlaced(placement: Placement, retryAfterMs: number): void;
}

/** Most requests that wait; the least urgent gives way. */
const MAX_WAITING = 512;
const MIN_RETRY_AFTER_MS = 100;
const MAX_RETRY_AFTER_MS = 2_000;

/** Places requests at once, or keeps them until something changes. */
export class WaitingRoom {
  readonly #place: (query: PlacementQuery, now: number) => Placement;
  #waiting: WaitingRequest[] = [];
  #pumping = false;

  constructor(place: (query: PlacementQuery, now: number) => Placement) {
    this.#place = place;
  }

  /** Number of requests that wait. */
  get size(): number {
    return this.#waiting.length;
  }

  /** Takes a request: sends it at once if nobody waits before it. */
  enter(req: WaitingRequest, now: number): void {
    const placement = this.#place(req, now);
    if (placement.kind === "send") return req.placed(placement);
    if (req.waitUntil <= now) return this.#refuse(req, placement);
    this.#waiting.push(req);
    this.#waiting.sort(byUrgency);
    if (this.#waiting.length > MAX_WAITING) {
      const last = this.#waiting.pop();
      if (last !== undefined) this.#refuse(last, placement);
    }
  }

  /** Takes a request out: its caller has gone, or its time is up. */
  leave(req: WaitingRequest): void {
    const at = this.#waiting.indexOf(req);
    if (at >= 0) this.#waiting.splice(at, 1);
  }

  /** Places what can be placed, and refuses what has waited long enough. */
  pump(now: number): void {
    if (this.#pumping || this.#waiting.length === 0) return;
    this.#pumping = true;
    const stuck = new Set<string>();
    for (const req of [...this.#waiting]) {
      if (!this.#waiting.includes(req)) continue;
      const lane = `${req.service.name}|${req.model}`;
      const isOver = req.waitUntil <= now;
      if (stuck.has(lane) && !isOver) continue;
      const placement = this.#place(req, now);
      if (placement.kind === "send") {
        this.leave(req);
        req.placed(placement);
      } else if (isOver) {
        this.leave(req);
        this.#refuse(req, placement);
      } else if (placement.kind === "none") {
        stuck.add(lane);
      }
    }
    this.#pumping = false;
  }

  #refuse(req: WaitingRequest, placement: Placement): void {
    const excessMs = placement.kind === "full"
      ? placement.expectedMs - req.withinMs
      : MIN_RETRY_AFTER_MS * 4;
    const retryAfterMs = Math.min(
      MAX_RETRY_AFTER_MS,
      Math.max(MIN_RETRY_AFTER_MS, excessMs),
    );
    req.notPlaced(placement, retryAfterMs);
  }
}

function byUrgency(a: WaitingRequest, b: WaitingRequest): number {
  return a.priority - b.priority || a.arrivedAt - b.arrivedAt;
}
