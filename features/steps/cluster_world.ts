/**
 * A simulated cluster in virtual time, shared by the steps of a scenario.
 *
 * @module
 */
import assert from "node:assert/strict";
import type { SentRequest } from "../../src/bench/callers.ts";
import {
  hasCorrectResponse,
  SimulatedCallers,
} from "../../src/bench/callers.ts";
import type { PromiseNumber } from "../../src/bench/checker.ts";
import { Checker } from "../../src/bench/checker.ts";
import { Cluster } from "../../src/bench/cluster.ts";
import type { Deployment } from "../../src/bench/deployment.ts";
import type { EngineSim } from "../../src/standins/sim/engine_sim.ts";

const RAMP_MS = 8_000;
const WARM_UP_MS = 12_000;
const COOL_DOWN_MS = 62_000;

/**
 * One simulation run. Steps start it, inject faults, and check it once at its
 * end.
 */
export class ClusterRun {
  readonly cluster: Cluster;
  readonly callers: SimulatedCallers;
  readonly checker: Checker;
  /**
   * Virtual time in milliseconds from which steps inject faults and check
   * requests.
   */
  checkedFrom = 0;
  /** Incarnation of the gateway that a step shut down. */
  shutDownIncarnation = "";
  #finished = false;

  constructor(deployment: Deployment, seed: number, inForceBoundMs?: number) {
    this.cluster = new Cluster(deployment, "product", seed);
    this.callers = new SimulatedCallers(this.cluster, seed + 2);
    this.checker = new Checker(this.cluster, inForceBoundMs);
  }

  /**
   * Configures the cluster, waits until its groups serve, and starts the load.
   */
  async start(loadFactor = 1): Promise<void> {
    await this.cluster.deploy();
    this.callers.start(loadFactor, RAMP_MS);
    await this.advance(WARM_UP_MS);
    this.checkedFrom = this.cluster.timers.now();
  }

  /** Advances virtual time. */
  advance(ms: number): Promise<void> {
    return this.cluster.timers.run(ms);
  }

  /** Stops the load, waits for outstanding responses and collects breaches. */
  async finish(): Promise<void> {
    if (this.#finished) return;
    this.#finished = true;
    this.callers.stop();
    await this.advance(COOL_DOWN_MS);
    this.checker.finish(this.callers);
  }

  /**
   * Asserts that the run has no breaches of the system's promise with this
   * number; the error lists the first three.
   */
  async expectNoBreaches(promise: PromiseNumber): Promise<void> {
    await this.finish();
    const breaches = this.checker.breaches.filter((b) => b.promise === promise);
    const text = breaches.slice(0, 3).map((b) => `at ${b.at}: ${b.detail}`);
    assert.equal(breaches.length, 0, text.join("\n"));
  }

  /** Requests sent since `checkedFrom`. */
  get requestsToCheck(): SentRequest[] {
    return this.callers.requests.filter((r) => r.sentAt >= this.checkedFrom);
  }

  /**
   * Asserts that, since `checkedFrom`, at least one response was complete and
   * no stream was interrupted. Also asserts promise 5 for the whole run: no
   * request is left without a response, and no response has wrong or missing
   * text.
   */
  async expectCompleteStreams(): Promise<void> {
    await this.expectNoBreaches(5);
    const complete = this.requestsToCheck.filter((r) =>
      hasCorrectResponse(r, this.cluster)
    );
    assert.ok(
      complete.length > 0,
      "No request since the fault got a complete response",
    );
    const interrupted = this.requestsToCheck.filter((r) =>
      r.problem?.kind === "stream_interrupted"
    );
    assert.equal(
      interrupted.length,
      0,
      `${interrupted.length} streams were interrupted`,
    );
  }

  /** Heads of all groups whose members are ready. */
  groupHeads(): EngineSim[] {
    const { models } = this.cluster.deployment;
    return models.flatMap((model) => this.cluster.readyGroupHeads(model.name));
  }

  /** The second member of a group that runs the first model. */
  secondMember(): EngineSim {
    const [model] = this.cluster.deployment.models;
    const [head] = this.cluster.readyGroupHeads(model.name);
    const address = head.membership?.members[1];
    for (const engine of this.cluster.engines.values()) {
      if (engine.address === address) return engine;
    }
    throw new Error(
      "The first ready group of the first model has no second member",
    );
  }
}
