/**
 * A cluster in virtual time, as steps share it.
 *
 * @module
 */
import assert from "node:assert/strict";
import type { Sending } from "../../src/bench/callers.ts";
import { Callers, isWhole } from "../../src/bench/callers.ts";
import type { PromiseNumber } from "../../src/bench/checker.ts";
import { Checker } from "../../src/bench/checker.ts";
import { Cluster } from "../../src/bench/cluster.ts";
import type { Deployment } from "../../src/bench/deployment.ts";
import type { EngineSim } from "../../src/standins/sim/engine_sim.ts";

const RAMP_MS = 8_000;
const WARM_UP_MS = 12_000;
const COOL_DOWN_MS = 62_000;

/** One run: set up, broken by steps, judged once. */
export class ClusterRun {
  readonly cluster: Cluster;
  readonly callers: Callers;
  readonly checker: Checker;
  faultAt = 0;
  shutDownIncarnation = "";
  #finished = false;

  constructor(deployment: Deployment, seed: number, inForceBoundMs?: number) {
    this.cluster = new Cluster(deployment, "product", seed);
    this.callers = new Callers(this.cluster, seed + 2);
    this.checker = new Checker(this.cluster, inForceBoundMs);
  }

  /** Declares everything, waits for groups, and sends the load. */
  async start(loadFactor = 1): Promise<void> {
    await this.cluster.settle();
    this.callers.start(loadFactor, RAMP_MS);
    await this.advance(WARM_UP_MS);
    this.faultAt = this.cluster.timers.now();
  }

  /** Lets virtual time pass. */
  advance(ms: number): Promise<void> {
    return this.cluster.timers.run(ms);
  }

  /** Stops the load, waits for the last answers and counts breaches. */
  async finish(): Promise<void> {
    if (this.#finished) return;
    this.#finished = true;
    this.callers.stop();
    await this.advance(COOL_DOWN_MS);
    this.checker.finish(this.callers);
  }

  /** Fails with the first breaches of a promise. */
  async expectNoBreaches(promise: PromiseNumber): Promise<void> {
    await this.finish();
    const found = this.checker.breaches.filter((b) => b.promise === promise);
    const text = found.slice(0, 3).map((b) => `at ${b.at}: ${b.detail}`);
    assert.equal(found.length, 0, text.join("\n"));
  }

  /** Sendings since the fault. */
  get sinceFault(): Sending[] {
    return this.callers.sendings.filter((s) => s.sentAt >= this.faultAt);
  }

  /** Answers that were neither whole nor an explicit failure. */
  async expectCompleteStreams(): Promise<void> {
    await this.expectNoBreaches(5);
    const whole = this.sinceFault.filter((s) => isWhole(s, this.cluster));
    assert.ok(whole.length > 0, "No answer was whole");
    const cut = this.sinceFault.filter((s) =>
      s.problem?.kind === "stream_interrupted"
    );
    assert.equal(cut.length, 0, `${cut.length} streams were interrupted`);
  }

  /** Leaders of all whole groups. */
  leaders(): EngineSim[] {
    const { models } = this.cluster.deployment;
    return models.flatMap((model) => this.cluster.wholeGroups(model.name));
  }

  /** A member of a large group that does not lead it. */
  follower(): EngineSim {
    const [model] = this.cluster.deployment.models;
    const [leader] = this.cluster.wholeGroups(model.name);
    const address = leader.membership?.members[1];
    for (const engine of this.cluster.engines.values()) {
      if (engine.address === address) return engine;
    }
    throw new Error("No group with a second member");
  }
}
