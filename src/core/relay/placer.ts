/**
 * Chooses the upstream of a request, or tells that none can serve it in time.
 *
 * @module
 */
import type { Random } from "../../base/random.ts";
import type { ServiceSpec } from "../../world/catalog.ts";
import type { Evidence } from "../fleet/evidence.ts";
import type { HostRegistry } from "../fleet/host_registry.ts";
import type { Replica } from "../fleet/replica.ts";
import type { ReplicaView } from "../fleet/replica_view.ts";
import type { ColdPace } from "./cold_pace.ts";
import { coldQuota } from "./cold_pace.ts";
import { EngineTimes } from "./engine_times.ts";
import type { LoadBoard } from "./load_board.ts";
import { Preference } from "./preference.ts";
import type { ReplicaRecord } from "./replica_record.ts";

/** Added to the expected time of an upstream in another zone. */
const OTHER_ZONE_MS = 4;
/** Part of what a cold host bears that the whole fleet uses. */
const COLD_SHARE = 1.1;
/** Requests per slot of a plain host beyond which it counts as full. */
const PLAIN_FULL = 2;
/** Time of a plain request while nothing is known of it, in milliseconds. */
const PLAIN_TIME_MS = 80;
/** Expected times are spread by this share, so that processes don't agree. */
const SPREAD = 0.1;
/** Longer expected time for which the next replica in order is not taken. */
const PLACE_SHARE = 0.06;
/** Part of an engine's slots from which others are preferred. */
const CROWDED = 0.7;

/** What placing needs to know of a request. */
export interface PlacementQuery {
  readonly service: ServiceSpec;
  readonly model: string | undefined;
  readonly promptTokens: number;
  /** Longest time to the first byte that is worth sending for. */
  readonly withinMs: number;
  avoids(key: string): boolean;
}

/** Where a request goes, or why nowhere. */
export type Placement =
  | {
    readonly kind: "send";
    readonly replica: Replica;
    readonly expectedMs: number;
    readonly considered: number;
  }
  | { readonly kind: "full"; readonly expectedMs: number }
  | { readonly kind: "none" };

/** What placing works with. */
export interface PlacerParts {
  readonly view: ReplicaView;
  readonly evidence: Evidence;
  readonly hosts: HostRegistry;
  readonly board: LoadBoard;
  readonly record: ReplicaRecord;
  readonly coldPace: ColdPace;
  readonly random: Random;
  readonly nodeId: string;
  readonly zone: string;
  readonly fleetSize: () => number;
  /** Place of this process among those of the fleet, from 0. */
  readonly fleetRank: () => number;
}

/** Places requests by the time to their first byte. */
export class Placer {
  readonly #parts: PlacerParts;
  readonly #preference: Preference;

  constructor(parts: PlacerParts) {
    this.#parts = parts;
    this.#preference = new Preference(parts.nodeId, parts.zone);
  }

  /** Chooses among the replicas that are usable now. */
  place(query: PlacementQuery, now: number): Placement {
    const { view, evidence } = this.#parts;
    const announced = view.announced(query.service.name, query.model);
    let considered = 0;
    let best: Replica | undefined;
    let bestMs = Infinity;
    let bestScore = Infinity;
    let fullMs = Infinity;
    for (const replica of announced) {
      if (evidence.isDoubted(replica.key)) continue;
      considered += 1;
      if (query.avoids(replica.key)) continue;
      const expectedMs = this.#expectedMs(replica, query, now);
      const fits = expectedMs <= query.withinMs &&
        this.#bears(replica, query.service, now);
      if (!fits) {
        fullMs = Math.min(fullMs, expectedMs);
        continue;
      }
      const score = expectedMs * this.#reluctance(replica, announced, now);
      if (score >= bestScore) continue;
      best = replica;
      bestMs = expectedMs;
      bestScore = score;
    }
    if (best !== undefined) {
      return {
        kind: "send",
        replica: best,
        expectedMs: bestMs,
        considered,
      };
    }
    return fullMs < Infinity
      ? { kind: "full", expectedMs: fullMs }
      : { kind: "none" };
  }

  /** Factor on the expected time by which one of several is chosen. */
  #reluctance(
    replica: Replica,
    among: readonly Replica[],
    now: number,
  ): number {
    const { board, random } = this.#parts;
    if (replica.model === undefined) return 1 + random.float() * SPREAD;
    const place = this.#preference.placesOf(among).get(replica.key) ?? 0;
    const { inFlight } = board.total(replica.key, now);
    const crowd = Math.max(0, inFlight / replica.host.slots - CROWDED);
    return (1 + place * PLACE_SHARE) * (1 + crowd);
  }

  #expectedMs(replica: Replica, query: PlacementQuery, now: number): number {
    const { board, record, zone } = this.#parts;
    const load = board.total(replica.key, now);
    const away = replica.host.zone === zone ? 0 : OTHER_ZONE_MS;
    const slowness = Math.max(1, record.slowness(replica.key, now));
    const times = engineTimes(query.service, query.model, replica.isFar);
    const baseMs = times === undefined
      ? plainMs(load.inFlight, replica.host.slots)
      : times.firstEventMs(load.inFlight, load.reading, query.promptTokens);
    const failing = record.failureShare(replica.key, now);
    return (baseMs * slowness + away) * (1 + 8 * Math.max(0, failing - 0.2));
  }

  #bears(replica: Replica, service: ServiceSpec, now: number): boolean {
    const { hosts, coldPace, fleetSize, fleetRank } = this.#parts;
    if (hosts.coldUntil(replica.host.id) <= now) return true;
    if (service.coldPerSecond <= 0) return true;
    const quota = coldQuota(
      service.coldPerSecond * COLD_SHARE,
      fleetSize(),
      fleetRank(),
    );
    return coldPace.mayStart(replica.host.id, quota, now);
  }
}

function plainMs(inFlight: number, slots: number): number {
  const perSlot = inFlight / Math.max(1, slots);
  const queued = Math.max(0, perSlot - 1);
  const full = perSlot >= PLAIN_FULL ? 10_000 : 0;
  return PLAIN_TIME_MS * (1 + perSlot * 0.3 + queued) + full;
}

function engineTimes(
  service: ServiceSpec,
  model: string | undefined,
  isFar: boolean,
): EngineTimes | undefined {
  const spec = service.engine?.models.find((m) => m.name === model);
  if (service.engine === undefined || spec === undefined) return undefined;
  return new EngineTimes(service.engine, spec, isFar);
}
