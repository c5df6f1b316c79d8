/**
 * Nodes that choose addresses for callers, and callers that follow them, in
 * virtual time.
 *
 * @module
 */
import type { EntryNode, NodeCapacity } from "../../src/core/entry/mod.ts";
import { CallerGroup } from "./caller_group.ts";
import { SimulatedNode, STEP_MS } from "./entry_node.ts";

const CALLERS_PER_ZONE = 6;
/** Callers come this long after the nodes have started. */
const LEAD_MS = 2_000;

/** A fleet and its callers. */
export class EntryFleet {
  readonly nodes: SimulatedNode[] = [];
  /** Work that the callers of each zone bring, in cores. */
  readonly demand = new Map<string, number>();
  /** Highest load of a serving node since it was last reset. */
  highestLoad = 0;
  now = 0;
  readonly #callers: CallerGroup[] = [];
  /** How often nodes were read for a decision. */
  reads = 0;

  /** Adds nodes to a zone. */
  addNodes(zone: string, count: number, capacity: NodeCapacity): void {
    for (let i = 0; i < count; i++) {
      const id = `n${1_000 + this.nodes.length}`;
      const nodes = () => this.#readNodes();
      this.nodes.push(new SimulatedNode(id, zone, capacity, nodes));
    }
  }

  get serving(): SimulatedNode[] {
    return this.nodes.filter(({ isServing }) => isServing);
  }

  nodesOf(zone: string): SimulatedNode[] {
    return this.nodes.filter((node) => node.zone === zone);
  }

  /** Sets the work that the callers of a zone bring, in cores. */
  setDemand(zone: string, cores: number): void {
    if (!this.demand.has(zone)) {
      for (let i = 0; i < CALLERS_PER_ZONE; i++) {
        this.#callers.push(new CallerGroup(zone, i));
      }
    }
    this.demand.set(zone, cores);
  }

  /** All groups of callers. */
  get callers(): readonly CallerGroup[] {
    return this.#callers;
  }

  /** Passes time; `onStep` runs before each step. */
  run(ms: number, onStep: () => void = () => {}): void {
    for (let passed = 0; passed < ms; passed += STEP_MS) {
      onStep();
      this.now += STEP_MS;
      const { serving } = this;
      if (this.now > LEAD_MS) {
        for (const caller of this.#callers) caller.advance(this.now, serving);
      }
      this.#placeWork(serving);
      for (const node of serving) {
        node.advance(this.now);
        this.highestLoad = Math.max(this.highestLoad, node.load);
      }
    }
  }

  #placeWork(serving: readonly SimulatedNode[]): void {
    const byAddress = new Map(serving.map((node) => [node.address, node]));
    for (const node of this.nodes) node.work = 0;
    for (const { zone, addresses } of this.#callers) {
      const usable = addresses.map((address) => byAddress.get(address))
        .filter((node) => node !== undefined);
      const work = (this.demand.get(zone) ?? 0) / CALLERS_PER_ZONE;
      for (const node of usable) node.work += work / usable.length;
    }
  }

  #readNodes(): EntryNode[] {
    this.reads += 1;
    return this.serving.map(({ id, address, zone, status }) => ({
      id,
      address,
      zone,
      status,
    }));
  }
}
