/**
 * Planned restarts, crashes, refusals by the store and lost messages while hosts
 * leave, from a seed.
 *
 * @module
 */
import type { Random } from "../../src/base/random.ts";
import type {
  NodeFleet,
  NodeMachine,
  SentRequest,
  StoreAccess,
} from "./node_fleet.ts";

/** A machine is in touch again this long after its last disruption. */
const CONTACT_MS = 4_000;
/** Share of the machines that the store turns away at once. */
const TURNED_AWAY_SHARE = 0.35;
/** A host that leaves serves for this long after the store's acknowledgement. */
const SERVES_MS = 9_000;

/** A request to a host that had left, by a machine in touch. */
export interface LateRequest extends SentRequest {
  /** Time since the store acknowledged that the host leaves. */
  readonly afterMs: number;
}

/** Disrupts the machines of a fleet while hosts leave, in rounds. */
export class NodeDisruptions {
  readonly late: LateRequest[] = [];
  readonly #fleet: NodeFleet;
  readonly #random: Random;
  #checkedCount = 0;

  constructor(fleet: NodeFleet) {
    this.#fleet = fleet;
    this.#random = fleet.random;
    fleet.timers.subscribe(50, () => this.#check());
  }

  /** Machines are disrupted and a host leaves, in any order and at any moment. */
  async runRound(): Promise<void> {
    const { timers } = this.#fleet;
    await timers.run(6_000 + this.#random.int(12_000));
    const startedAt = timers.now();
    this.#planDisruption();
    if (this.#random.float() < 0.4) {
      timers.after(this.#random.int(4_000), () => this.#planDisruption());
    }
    const leaveAfterMs = this.#random.int(7_000);
    await timers.run(leaveAfterMs);
    const host = this.#random.pick(this.#fleet.servingHosts);
    const how = this.#random.float() < 0.7 ? "announced" : "removed";
    this.#fleet.leave(host, how);
    this.#fleet.addHost();
    await timers.run(SERVES_MS);
    await timers.runUntil(Math.max(timers.now(), startedAt + 14_000));
    for (const machine of this.#fleet.machines) machine.start();
  }

  /**
   * Stops machines a second apart, and starts them again a second after the last
   * has ended. Returns when all have ended.
   */
  async restartInTurn(machines: readonly NodeMachine[]): Promise<void> {
    const { timers } = this.#fleet;
    for (const machine of machines) {
      machine.terminate();
      await timers.run(1_000);
    }
    while (machines.some(({ isRunning }) => isRunning)) await timers.run(20);
    timers.after(1_000, () => {
      for (const machine of machines) machine.start();
    });
    await timers.run(250);
  }

  /** For a time the store turns some machines away and serves the others. */
  turnAway(
    machines: ReadonlySet<NodeMachine>,
    access: StoreAccess,
    forMs: number,
  ): void {
    const { timers } = this.#fleet;
    for (const machine of machines) {
      machine.storeAccess = access;
      machine.disturbedAt = Infinity;
    }
    timers.after(forMs, () => {
      for (const machine of machines) {
        machine.storeAccess = "served";
        machine.disturbedAt = timers.now();
      }
    });
  }

  #planDisruption(): void {
    const kind = this.#random.int(5);
    if (kind === 0) return this.#stopInTurn((machine) => machine.terminate());
    if (kind === 1) return this.#stopInTurn((machine) => machine.kill());
    if (kind === 2) return this.#turnAwaySome();
    if (kind === 3) return this.#loseStatuses();
    this.#loseResponses();
  }

  /** Some machines receive no statuses; they stay in touch. */
  #loseStatuses(): void {
    const { timers, machines } = this.#fleet;
    const affected = this.#shuffle(machines)
      .slice(0, 1 + this.#random.int(machines.length));
    for (const machine of affected) machine.receivesStatuses = false;
    timers.after(500 + this.#random.int(6_000), () => {
      for (const machine of affected) machine.receivesStatuses = true;
    });
  }

  /**
   * The store's responses to requests in progress are lost; the machines stay in
   * touch, as new requests get responses.
   */
  #loseResponses(): void {
    const { machines } = this.#fleet;
    const count = 1 + this.#random.int(machines.length);
    for (const machine of this.#readersFirst().slice(0, count)) {
      machine.loseResponses();
    }
  }

  /** Machines stop in turn and start again; first those that read the store. */
  #stopInTurn(stop: (machine: NodeMachine) => void): void {
    const { timers } = this.#fleet;
    const count = 1 + this.#random.int(3);
    const gapMs = this.#random.int(1_500);
    for (const [i, machine] of this.#readersFirst().slice(0, count).entries()) {
      timers.after(i * gapMs, () => {
        stop(machine);
        const restartMs = 500 + this.#random.int(5_500);
        timers.after(restartMs, () => machine.start());
      });
    }
  }

  /** The store turns some machines away and serves the others. */
  #turnAwaySome(): void {
    const { length } = this.#fleet.machines;
    const count = Math.max(1, Math.floor(length * TURNED_AWAY_SHARE));
    this.turnAway(
      new Set(this.#readersFirst().slice(0, count)),
      this.#random.pick(["silent", "refused"] as const),
      1_000 + this.#random.int(8_000),
    );
  }

  /** Running machines: the leader and the lowest ids first, in random order. */
  #readersFirst(): NodeMachine[] {
    const { running, leader } = this.#fleet;
    const readers = running.filter((machine, i) => i < 2 || machine === leader);
    const others = running.filter((machine) => !readers.includes(machine));
    return [...this.#shuffle(readers), ...this.#shuffle(others)];
  }

  #shuffle<T>(items: readonly T[]): T[] {
    return items
      .map((item) => ({ item, order: this.#random.float() }))
      .sort((a, b) => a.order - b.order)
      .map(({ item }) => item);
  }

  #check(): void {
    const { sent, leftAt, drainMs, machines, timers } = this.#fleet;
    for (const request of sent.slice(this.#checkedCount)) {
      const left = leftAt.get(request.hostId);
      if (left === undefined || request.at - left <= drainMs) continue;
      const machine = machines.find(({ id }) => id === request.nodeId);
      const disturbedAt = machine?.disturbedAt ?? Infinity;
      if (timers.now() - disturbedAt < CONTACT_MS) continue;
      this.late.push({ ...request, afterMs: request.at - left });
    }
    this.#checkedCount = sent.length;
  }
}
