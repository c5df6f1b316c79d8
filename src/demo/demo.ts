/**
 * The demonstration: sends requests and an order, takes a zone out, kills a host,
 * and checks the results.
 *
 * @module
 */
import process from "node:process";
import { Random } from "../base/random.ts";
import type { Timers } from "../base/timers.ts";
import { sleep } from "../base/timers.ts";
import { sha256 } from "../base/hash.ts";
import type { CallerResponse } from "../load/caller_client.ts";
import { CallerClient } from "../load/caller_client.ts";
import { DEFAULT_PROFILE } from "../standins/sim/engine_sim.ts";
import { CUSTOMER_KEY, LocalDeployment } from "./local_deployment.ts";

const MODEL = "layout-large";
const SERVICE = "albums";
const ZONES = ["ktm-a", "ktm-b", "ktm-c"];
const CALLER_COUNT = 8;
const GROUPS_OPEN_TIMEOUT_MS = 20_000;
/** Requests may still start in a zone for this long after it was taken out. */
const ZONE_CHANGE_BOUND_MS = 5_000;

/** The result of one check. */
export interface DemoCheck {
  readonly name: string;
  readonly passed: boolean;
  readonly detail: string;
}

/** Runs the demonstration and checks its results. */
export class Demo {
  readonly #timers: Timers;
  readonly #seed: number;
  readonly #checks: DemoCheck[] = [];
  readonly #responses: CallerResponse[] = [];
  #changeCount = 0;

  constructor(timers: Timers, seed: number) {
    this.#timers = timers;
    this.#seed = seed;
  }

  /** Runs all steps and returns the results of the checks. */
  async run(): Promise<readonly DemoCheck[]> {
    this.#print("Starting stand-ins, five gateways and a controller");
    const deployment = await LocalDeployment.start({
      timers: this.#timers,
      fleet: {
        zones: ZONES,
        domainsPerZone: 1,
        hostsPerDomain: 5,
        extraHosts: 0,
        acceleratorsPerHost: 8,
        service: SERVICE,
      },
      profile: { ...DEFAULT_PROFILE, loadMs: 1_500 },
      gatewayCount: 5,
    });
    try {
      await this.#submitConfiguration(deployment);
      await this.#waitForGroups(deployment);
      await this.#runSteps(deployment);
    } finally {
      await deployment.close();
    }
    return this.#checks;
  }

  async #runSteps(deployment: LocalDeployment): Promise<void> {
    const loop = { isStopped: false };
    const callers = Array.from(
      { length: CALLER_COUNT },
      (_, i) => this.#sendRequests(deployment, i, loop),
    );
    await sleep(this.#timers, 2_000);
    await this.#placeOrder(deployment);
    await this.#takeZoneOutAndIn(deployment);
    await this.#killHost(deployment);
    loop.isStopped = true;
    await Promise.all(callers);
    const completeCount = this.#responses.filter((r) => r.isComplete).length;
    this.#recordCheck(
      "Every response is complete",
      completeCount === this.#responses.length && completeCount > 0,
      `${completeCount} of ${this.#responses.length} streams`,
    );
  }

  async #submitConfiguration(deployment: LocalDeployment): Promise<void> {
    const team = "platform";
    const targets = { betweenTokensMs: 200, reliabilityPercent: 99 };
    await this.#submitChange(deployment, {
      kind: "set_class",
      value: {
        name: "counter",
        team,
        priority: 5,
        firstTokenMs: 3_000,
        ...targets,
      },
    });
    await this.#submitChange(deployment, {
      kind: "set_model",
      value: {
        name: MODEL,
        team,
        version: "v1",
        hostsPerReplica: 4,
        minReplicas: 3,
        rank: 5,
        enginesCheckFencing: true,
      },
    });
    await this.#submitChange(deployment, {
      kind: "set_service",
      value: {
        name: SERVICE,
        team,
        repeatable: false,
        notRunStatuses: [],
        timeoutMs: 5_000,
      },
    });
    await this.#submitChange(deployment, {
      kind: "set_customer",
      value: {
        name: "front-desk",
        team,
        keyHashes: [sha256(CUSTOMER_KEY)],
        maxConcurrent: 100,
        defaultClass: "counter",
      },
    });
  }

  async #waitForGroups(deployment: LocalDeployment): Promise<void> {
    const deadline = this.#timers.now() + GROUPS_OPEN_TIMEOUT_MS;
    while (this.#countOpenGroups(deployment) < ZONES.length) {
      if (this.#timers.now() > deadline) break;
      await sleep(this.#timers, 200);
    }
    const open = this.#countOpenGroups(deployment);
    this.#recordCheck(
      "Four-host groups are open",
      open >= ZONES.length,
      `${open} groups`,
    );
  }

  #countOpenGroups(deployment: LocalDeployment): number {
    const [gateway] = deployment.gateways;
    const entries = [...gateway.gateway.table.entries.values()];
    return entries.filter((e) => e.isListed && e.upstream.serves === MODEL)
      .length;
  }

  async #sendRequests(
    deployment: LocalDeployment,
    index: number,
    loop: { isStopped: boolean },
  ): Promise<void> {
    const client = this.#createClient(deployment, index);
    for (let i = 0; !loop.isStopped; i++) {
      this.#responses.push(
        await client.chat(MODEL, `seed ${this.#seed} ${index}/${i}`),
      );
    }
  }

  #createClient(deployment: LocalDeployment, index: number): CallerClient {
    return new CallerClient({
      seeds: deployment.callerAddresses,
      key: CUSTOMER_KEY,
      zone: ZONES[index % ZONES.length],
    }, () => this.#timers.now());
  }

  async #placeOrder(deployment: LocalDeployment): Promise<void> {
    this.#print(
      "Sending one order through two gateways at once, then through a third",
    );
    const placeOrder = (address: string) =>
      new CallerClient(
        { seeds: [address], key: CUSTOMER_KEY },
        () => this.#timers.now(),
      ).order(SERVICE, "album-1", { pages: 24 });
    const [first, second, third] = deployment.callerAddresses;
    const responses = await Promise.all([
      placeOrder(first),
      placeOrder(second),
    ]);
    responses.push(await placeOrder(third));
    const isSame = responses.every((r) =>
      r.isComplete && r.text === responses[0].text
    );
    const runCount =
      deployment.journal.filter((e) => e.kind === "order_run").length;
    this.#recordCheck(
      "The order is recorded once and gets three responses",
      isSame && runCount === 1,
      `ran ${runCount} times`,
    );
  }

  async #takeZoneOutAndIn(deployment: LocalDeployment): Promise<void> {
    const zone = new Random(this.#seed).pick(ZONES);
    this.#print(`Taking ${zone} out and bringing it back`);
    const seconds = await this.#submitChange(deployment, {
      kind: "set_zone",
      zone,
      state: "out",
    });
    const outAt = this.#timers.now();
    await sleep(this.#timers, ZONE_CHANGE_BOUND_MS + 2_000);
    const lateCount =
      deployment.journal.filter((e) =>
        e.kind === "request_started" && e.availabilityZone === zone &&
        e.at > outAt + ZONE_CHANGE_BOUND_MS
      ).length;
    this.#recordCheck(
      "A zone that is out gets no new work",
      lateCount === 0,
      `${lateCount} late requests; in force after ${seconds.toFixed(2)} s`,
    );
    await this.#submitChange(deployment, {
      kind: "set_zone",
      zone,
      state: "in",
    });
    await sleep(this.#timers, 2_000);
  }

  async #killHost(deployment: LocalDeployment): Promise<void> {
    const engines = [...deployment.standins.engines.values()];
    const busy = engines.find((e) => e.running > 0) ?? engines[0];
    const members = busy.membership?.members ?? [];
    // Kills the last member of a group that has requests in progress.
    const victim = engines.find((e) => e.address === members.at(-1)) ?? busy;
    const runningCount = busy.running;
    const countBefore = this.#responses.length;
    this.#print(
      `Killing ${victim.hostId} while ${runningCount} streams run on its group`,
    );
    victim.die();
    await sleep(this.#timers, 8_000);
    const responsesSince = this.#responses.slice(countBefore);
    const completeCount = responsesSince.filter((r) => r.isComplete).length;
    this.#recordCheck(
      "Streams on a killed host are complete",
      completeCount === responsesSince.length && responsesSince.length > 0 &&
        runningCount > 0,
      `${completeCount} of ${responsesSince.length} streams since, ${runningCount} on the host`,
    );
  }

  /** Submits a change; returns the time until it was in force, in seconds. */
  async #submitChange(
    deployment: LocalDeployment,
    action: Record<string, unknown>,
  ): Promise<number> {
    const startedAt = this.#timers.now();
    this.#changeCount += 1;
    const response = await deployment.submit(
      action,
      `demo-${this.#changeCount}`,
    );
    if (response.status !== 200) {
      const detail = JSON.stringify(response.body);
      this.#recordCheck(
        `Change ${this.#changeCount} is accepted`,
        false,
        detail,
      );
    }
    return (this.#timers.now() - startedAt) / 1000;
  }

  #recordCheck(name: string, passed: boolean, detail: string): void {
    this.#checks.push({ name, passed, detail });
    this.#print(`${passed ? "held" : "BROKEN"}: ${name} (${detail})`);
  }

  #print(text: string): void {
    process.stdout.write(`${text}\n`);
  }
}
