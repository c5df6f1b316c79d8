/**
 * Learns the part of the time to a first event that an engine's configuration
 * doesn't name.
 *
 * @module
 */
import { dropOldest } from "../../base/collections.ts";
import { ResidualWindow } from "./residual_window.ts";

/**
 * Quantile of each batch of residuals; the lowest is taken for the constant part.
 */
const CONSTANT_QUANTILE = 0.25;
/** Number of own samples from which they replace what peers have learnt. */
const MIN_OWN_SAMPLES = 12;
/** An estimate is up to date for this time after its newest sample. */
const FRESH_MS = 2_000;
/**
 * Half-life of an estimate that gets no samples. An estimate that is too high may
 * have all requests refused, which leaves nothing to correct it.
 */
const HALF_LIFE_MS = 1_000;
/** What a peer has learnt is used for this time, in milliseconds. */
const PEER_TTL_MS = 3_000;
/** Longest time that is taken for constant; anything longer is a fault. */
const MAX_CONSTANT_MS = 2_000;
/** Maximum number of models with samples, and of models accepted from a peer. */
const MAX_MODELS = 32;
/** Maximum number of peers whose estimates are kept, the latest first. */
const MAX_PEERS = 32;

/** What the configuration leaves out of a model's time to the first event. */
export interface FirstEventResidual {
  /** Part that is the same for all requests, in milliseconds. */
  readonly constantMs: number;
  /** How far the slower requests exceed it, in milliseconds. */
  readonly spreadMs: number;
}

/** A node's estimate for one model, as its peers receive it. */
export interface ResidualStatus extends FirstEventResidual {
  /** Service and model. */
  readonly model: string;
}

const NOTHING_LEARNT: FirstEventResidual = { constantMs: 0, spreadMs: 0 };

interface PeerResiduals {
  readonly statuses: readonly ResidualStatus[];
  readonly receivedAt: number;
}

/**
 * Compares measured with computed times to the first event, by service and model.
 * Until a node has samples of its own, it uses the median of what its peers have
 * learnt, so that a node that has just started predicts as well as the others.
 */
export class FirstEventCalibration {
  readonly #windows = new Map<string, ResidualWindow>();
  readonly #peers = new Map<string, PeerResiduals>();
  /** Medians over the peers, computed when they are needed. */
  readonly #fleet = new Map<string, FirstEventResidual | undefined>();

  /** Records a request's measured and computed time, in milliseconds. */
  record(
    model: string,
    measuredMs: number,
    computedMs: number,
    now: number,
  ): void {
    let window = this.#windows.get(model);
    if (window === undefined) {
      if (this.#windows.size >= MAX_MODELS) return;
      window = new ResidualWindow();
      this.#windows.set(model, window);
    }
    window.add(measuredMs - computedMs, now);
  }

  /** What to add to the computed time of a model. */
  residual(model: string, now: number): FirstEventResidual {
    const window = this.#windows.get(model);
    const own = window === undefined ? undefined : summarize(window, now);
    if (window === undefined || own === undefined) {
      return this.#fleetResidual(model) ?? NOTHING_LEARNT;
    }
    const ageMs = window.ageMs(now);
    const isLearnt = window.count(now) >= MIN_OWN_SAMPLES;
    if (isLearnt && ageMs <= FRESH_MS) return own;
    return this.#fleetResidual(model) ?? decayed(own, ageMs - FRESH_MS);
  }

  /** Own estimates for peers. */
  shared(now: number): ResidualStatus[] {
    const statuses: ResidualStatus[] = [];
    for (const [model, window] of this.#windows) {
      if (window.count(now) < MIN_OWN_SAMPLES) continue;
      if (window.ageMs(now) > FRESH_MS) continue;
      const residual = summarize(window, now);
      if (residual === undefined) continue;
      statuses.push({
        model,
        constantMs: Math.round(residual.constantMs),
        spreadMs: Math.round(residual.spreadMs),
      });
    }
    return statuses;
  }

  /** Replaces what a peer has learnt, unless its status names nothing. */
  recordPeer(
    nodeId: string,
    statuses: readonly ResidualStatus[],
    now: number,
  ): void {
    if (statuses.length === 0) return;
    this.#peers.delete(nodeId);
    this.#peers.set(nodeId, {
      statuses: statuses.slice(0, MAX_MODELS),
      receivedAt: now,
    });
    dropOldest(this.#peers, MAX_PEERS);
    this.#fleet.clear();
  }

  /** Number of peers whose estimates are kept. */
  get peerCount(): number {
    return this.#peers.size;
  }

  /** Drops what peers have learnt too long ago. */
  expire(now: number): void {
    for (const [nodeId, { receivedAt }] of this.#peers) {
      if (now - receivedAt <= PEER_TTL_MS) continue;
      this.#peers.delete(nodeId);
      this.#fleet.clear();
    }
    for (const [model, window] of this.#windows) {
      if (window.count(now) === 0) this.#windows.delete(model);
    }
  }

  #fleetResidual(model: string): FirstEventResidual | undefined {
    if (this.#fleet.has(model)) return this.#fleet.get(model);
    const known: ResidualStatus[] = [];
    for (const { statuses } of this.#peers.values()) {
      const status = statuses.find((status) => status.model === model);
      if (status !== undefined) known.push(status);
    }
    const residual = known.length === 0 ? undefined : {
      constantMs: median(known.map((status) => clamp(status.constantMs))),
      spreadMs: median(known.map((status) => clamp(status.spreadMs))),
    };
    if (this.#fleet.size < MAX_MODELS) this.#fleet.set(model, residual);
    return residual;
  }
}

/**
 * Names a service's model in statuses and logs.
 *
 * @example
 * ```ts
 * modelKey("pool", "large"); // "pool/large"
 * ```
 */
export function modelKey(service: string, model: string): string {
  return `${service}/${model}`;
}

function summarize(
  window: ResidualWindow,
  now: number,
): FirstEventResidual | undefined {
  const constantMs = window.lowest(CONSTANT_QUANTILE, now);
  if (constantMs === undefined) return undefined;
  const usualMs = window.latestMedian(now) ?? constantMs;
  return {
    constantMs: clamp(constantMs),
    spreadMs: clamp(usualMs - constantMs),
  };
}

function decayed(
  { constantMs, spreadMs }: FirstEventResidual,
  ms: number,
): FirstEventResidual {
  const factor = 2 ** (-Math.max(0, ms) / HALF_LIFE_MS);
  return { constantMs: constantMs * factor, spreadMs: spreadMs * factor };
}

function clamp(ms: number): number {
  return Math.min(MAX_CONSTANT_MS, Math.max(0, ms));
}

function median(values: number[]): number {
  values.sort((a, b) => a - b);
  return values[values.length >> 1];
}
