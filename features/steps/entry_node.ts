/**
 * A node that chooses addresses for callers, in virtual time.
 *
 * @module
 */
import type {
  EntryNode,
  EntryStatus,
  NodeCapacity,
} from "../../src/core/entry/mod.ts";
import { EntryDirectory, LoadMeter } from "../../src/core/entry/mod.ts";

/** Time that passes with each step. */
export const STEP_MS = 100;
/** Statuses of peers are this old. */
const STATUS_DELAY_STEPS = 5;
/** Lag of the event loop of a node with more work than it can do. */
const OVERLOAD_LAG_MS = 300;
/** What a node that has just started says of itself. */
const IDLE = { work: 0, isBehind: false, plan: undefined };

/** One node. */
export class SimulatedNode {
  readonly id: string;
  readonly zone: string;
  readonly capacity: NodeCapacity;
  directory: EntryDirectory;
  /** Switches that the node reported. */
  readonly switches: [isOn: boolean, unrated: number][] = [];
  isServing = true;
  /** Whether the node says its capacity; nodes of earlier versions don't. */
  isRated = true;
  /** Factor on the time that work takes. */
  slowness = 1;
  /** Work of callers on this node, in cores of a node that isn't slow. */
  work = 0;
  readonly #nodes: () => readonly EntryNode[];
  #meter: LoadMeter;
  readonly #statuses: (EntryStatus | undefined)[] = [];
  #busyMs = 0;

  constructor(
    id: string,
    zone: string,
    capacity: NodeCapacity,
    nodes: () => readonly EntryNode[],
  ) {
    this.id = id;
    this.zone = zone;
    this.capacity = capacity;
    this.#nodes = nodes;
    this.#meter = this.#createMeter();
    this.directory = this.#createDirectory();
    this.#statuses.push({ ...this.capacity, ...IDLE });
  }

  get address(): string {
    return `${this.id}:1`;
  }

  /** Work relative to what the node can do. */
  get load(): number {
    return this.work * this.slowness / this.capacity.cores;
  }

  /** The status that peers have of this node. */
  get status(): EntryStatus | undefined {
    return this.isRated ? this.#statuses[0] : undefined;
  }

  /** Ends the process and starts a new one. */
  restart(): void {
    this.#statuses.length = 0;
    this.#meter = this.#createMeter();
    this.directory = this.#createDirectory();
    this.#statuses.push({ ...this.capacity, ...IDLE });
  }

  #createMeter(): LoadMeter {
    return new LoadMeter({
      busyMs: () => this.#busyMs,
      lag: { worstSince: () => this.load > 1 ? OVERLOAD_LAG_MS : 0 },
      capacity: () => this.capacity,
    });
  }

  #createDirectory(): EntryDirectory {
    return new EntryDirectory({
      selfId: this.id,
      nodes: this.#nodes,
      onChange: () => {},
      onSwitch: (isOn, unrated) => this.switches.push([isOn, unrated]),
    });
  }

  advance(now: number): void {
    this.#busyMs += STEP_MS * Math.min(1, this.load);
    const load = this.#meter.read(now);
    this.#statuses.push(load && { ...load, plan: this.directory.ownPlan(now) });
    if (this.#statuses.length > STATUS_DELAY_STEPS) this.#statuses.shift();
  }
}
