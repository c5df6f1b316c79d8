/**
 * Scenarios of faults and changes, run against the product and the baseline.
 *
 * @module
 */
import type { Random } from "../base/random.ts";
import { sleep } from "../base/timers.ts";
import type { SimulatedCallers } from "./callers.ts";
import type { Checker } from "./checker.ts";
import type { Cluster } from "./cluster.ts";
import { HOST_LIST_ENDPOINT, STORE_ENDPOINT } from "./fakes.ts";

/** The run that a scenario controls. */
export interface ScenarioContext {
  readonly cluster: Cluster;
  readonly callers: SimulatedCallers;
  readonly checker: Checker;
  /** Yields the same values for the product and the baseline. */
  readonly random: Random;
}

/** A sequence of faults and operators' changes under load. */
export interface Scenario {
  readonly name: string;
  /** Factor applied to the deployment's request rates; 1 by default. */
  readonly loadFactor?: number;
  /** Injects the faults and changes under load; resolves when all are over. */
  readonly run: (context: ScenarioContext) => Promise<void>;
  /** Whether `two-at-once` may choose this scenario; true by default. */
  readonly canBePaired?: boolean;
}

const SECOND_MS = 1_000;

/** Observation time after a fault: the load time of a group, with a margin. */
const RECOVERY_MS = 30 * SECOND_MS;

function engineHostIds({ cluster }: ScenarioContext): string[] {
  return [...cluster.engines.keys()];
}

/**
 * Picks a random host in a group of the first model, which is the largest, or
 * any engine host if there is no such group. Returns the host's id.
 */
function pickGroupMember(context: ScenarioContext): string {
  const [model] = context.cluster.deployment.models;
  const members = engineHostIds(context).filter((id) =>
    context.cluster.engines.get(id)?.membership?.model === model.name
  );
  return context.random.pick(
    members.length > 0 ? members : engineHostIds(context),
  );
}

async function hostDies(context: ScenarioContext): Promise<void> {
  const { cluster } = context;
  await sleep(cluster.timers, 5 * SECOND_MS);
  const id = pickGroupMember(context);
  cluster.killHost(id);
  await sleep(cluster.timers, RECOVERY_MS);
  cluster.restartHost(id);
  await sleep(cluster.timers, RECOVERY_MS);
}

async function hostPauses(context: ScenarioContext): Promise<void> {
  const { cluster } = context;
  await sleep(cluster.timers, 5 * SECOND_MS);
  const engine = cluster.engines.get(pickGroupMember(context));
  if (engine !== undefined) engine.paused = true;
  await sleep(cluster.timers, 12 * SECOND_MS);
  if (engine !== undefined) engine.paused = false;
  await sleep(cluster.timers, RECOVERY_MS);
}

async function fabricDomainFails(context: ScenarioContext): Promise<void> {
  const { cluster, random } = context;
  await sleep(cluster.timers, 5 * SECOND_MS);
  const engines = cluster.hosts.filter((h) => h.kind === "engine");
  const { fabricDomain } = random.pick(engines);
  const failedHosts = engines.filter((h) => h.fabricDomain === fabricDomain);
  for (const host of failedHosts) cluster.killHost(host.id);
  await sleep(cluster.timers, RECOVERY_MS);
  for (const host of failedHosts) cluster.restartHost(host.id);
  await sleep(cluster.timers, RECOVERY_MS);
}

async function zoneOutAndBack(context: ScenarioContext): Promise<void> {
  const { cluster, random } = context;
  await sleep(cluster.timers, 5 * SECOND_MS);
  const zone = random.pick(cluster.deployment.fleet.zones);
  cluster.setZone(zone, "out");
  await sleep(cluster.timers, 45 * SECOND_MS);
  cluster.setZone(zone, "in");
  await sleep(cluster.timers, 60 * SECOND_MS);
}

async function zoneFlaps(context: ScenarioContext): Promise<void> {
  const { cluster, random } = context;
  await sleep(cluster.timers, 5 * SECOND_MS);
  const zone = random.pick(cluster.deployment.fleet.zones);
  cluster.setZone(zone, "out");
  await sleep(cluster.timers, 35 * SECOND_MS);
  cluster.setZone(zone, "in");
  await sleep(cluster.timers, 25 * SECOND_MS);
  cluster.setZone(zone, "out");
  await sleep(cluster.timers, 40 * SECOND_MS);
  cluster.setZone(zone, "in");
  await sleep(cluster.timers, 60 * SECOND_MS);
}

/** Crashes half the groups' heads, so that these groups start cold together. */
async function halfOfGroupsCrash(context: ScenarioContext): Promise<void> {
  const { cluster } = context;
  await sleep(cluster.timers, 5 * SECOND_MS);
  const [model] = cluster.deployment.models;
  const heads = cluster.readyGroupHeads(model.name);
  for (const head of heads.slice(0, Math.ceil(heads.length / 2))) {
    head.crash("fault");
  }
  await sleep(cluster.timers, 2 * RECOVERY_MS);
}

/** Makes up to three groups cold again without a restart. */
async function warmEnginesTurnCold(context: ScenarioContext): Promise<void> {
  const { cluster } = context;
  await sleep(cluster.timers, 5 * SECOND_MS);
  const [model] = cluster.deployment.models;
  const heads = cluster.readyGroupHeads(model.name);
  for (const head of heads.slice(0, 3)) head.resetWarmUp();
  await sleep(cluster.timers, 2 * RECOVERY_MS);
}

async function engineIsSlow(context: ScenarioContext): Promise<void> {
  const { cluster } = context;
  await sleep(cluster.timers, 5 * SECOND_MS);
  const [model] = cluster.deployment.models;
  const [head] = cluster.readyGroupHeads(model.name);
  head.slowdown = 8;
  await sleep(cluster.timers, 40 * SECOND_MS);
  head.slowdown = 1;
  await sleep(cluster.timers, 20 * SECOND_MS);
}

/** Sends a request that crashes each engine that runs it. */
async function requestCrashesEngines(context: ScenarioContext): Promise<void> {
  const { cluster, callers } = context;
  await sleep(cluster.timers, 5 * SECOND_MS);
  callers.send(cluster.deployment.workload[0], { poisonous: true });
  await sleep(cluster.timers, 2 * RECOVERY_MS);
}

/** Takes the store down; two hosts die during the outage. */
async function storeIsDown(context: ScenarioContext): Promise<void> {
  const { cluster } = context;
  await sleep(cluster.timers, 5 * SECOND_MS);
  cluster.store.down = true;
  await sleep(cluster.timers, 30 * SECOND_MS);
  const firstHostId = pickGroupMember(context);
  cluster.killHost(firstHostId);
  await sleep(cluster.timers, 120 * SECOND_MS);
  const secondHostId = pickGroupMember(context);
  cluster.killHost(secondHostId);
  await sleep(cluster.timers, 150 * SECOND_MS);
  cluster.store.down = false;
  await sleep(cluster.timers, 2 * RECOVERY_MS);
}

/**
 * Drops the responses to some writes and delays other writes, while a zone is
 * taken out and returned.
 */
async function storeResponsesLost(context: ScenarioContext): Promise<void> {
  const { cluster } = context;
  for (let round = 0; round < 6; round++) {
    await sleep(cluster.timers, 5 * SECOND_MS);
    if (round % 2 === 0) cluster.store.responsesToDrop = 5;
    else cluster.store.writesToDelay = 5;
    if (round === 2) cluster.setZone(cluster.deployment.fleet.zones[0], "out");
    if (round === 5) cluster.setZone(cluster.deployment.fleet.zones[0], "in");
  }
  await sleep(cluster.timers, 60 * SECOND_MS);
}

/** Disconnects a gateway from the store, from its peers, then from both. */
async function gatewayPartitioned(context: ScenarioContext): Promise<void> {
  const { cluster, random } = context;
  await sleep(cluster.timers, 5 * SECOND_MS);
  const { id } = random.pick(cluster.gateways).member;
  const otherEndpoints = [
    ...cluster.gateways.map((gateway) => gateway.member.id).filter((otherId) =>
      otherId !== id
    ),
    "operator",
    "ctl-1",
    "ctl-2",
  ];
  const [zone] = cluster.deployment.fleet.zones;
  const disconnectStore = () => cluster.network.disconnect(id, STORE_ENDPOINT);
  const disconnectPeers = () =>
    otherEndpoints.forEach((endpoint) =>
      cluster.network.disconnect(id, endpoint)
    );
  const reconnect = () => {
    cluster.network.reconnect(id, STORE_ENDPOINT);
    otherEndpoints.forEach((endpoint) =>
      cluster.network.reconnect(id, endpoint)
    );
  };
  for (
    const disconnects of [[disconnectStore], [disconnectPeers], [
      disconnectStore,
      disconnectPeers,
    ]]
  ) {
    for (const disconnect of disconnects) disconnect();
    await sleep(cluster.timers, 2 * SECOND_MS);
    cluster.setZone(zone, "out");
    await sleep(cluster.timers, 20 * SECOND_MS);
    reconnect();
    await sleep(cluster.timers, 5 * SECOND_MS);
    cluster.setZone(zone, "in");
    await sleep(cluster.timers, 15 * SECOND_MS);
  }
  await sleep(cluster.timers, 45 * SECOND_MS);
}

/** Kills a gateway while orders are in flight through it and other gateways. */
async function gatewayCrashesWithOrders(
  context: ScenarioContext,
): Promise<void> {
  const { cluster, callers, random } = context;
  await sleep(cluster.timers, 5 * SECOND_MS);
  const part = cluster.deployment.workload.find((p) => p.kind === "service");
  const { id } = random.pick(cluster.gateways).member;
  for (let i = 0; part !== undefined && i < 20; i++) {
    callers.send(part, { key: `burst-${i}`, gatewayId: id });
    callers.send(part, { key: `burst-${i}` });
  }
  await sleep(cluster.timers, 20 + random.int(40));
  cluster.killGateway(id);
  await sleep(cluster.timers, 20 * SECOND_MS);
  cluster.startGateway(id);
  await sleep(cluster.timers, RECOVERY_MS);
}

async function gatewayShutsDown(context: ScenarioContext): Promise<void> {
  const { cluster, checker, random } = context;
  await sleep(cluster.timers, 5 * SECOND_MS);
  const instance = random.pick(cluster.gateways);
  instance.gateway.shutdown().then(() => {
    checker.recordShutdown(instance.member.incarnation);
    instance.process.kill();
  });
  await sleep(cluster.timers, 40 * SECOND_MS);
  cluster.startGateway(instance.member.id);
  await sleep(cluster.timers, RECOVERY_MS);
}

/**
 * Pauses the leading controller soon after a host fails, until after that host
 * has restarted.
 */
async function controllerPaused(context: ScenarioContext): Promise<void> {
  const { cluster } = context;
  await sleep(cluster.timers, 5 * SECOND_MS);
  const { process } = cluster.leadingController();
  const id = pickGroupMember(context);
  cluster.killHost(id);
  await sleep(cluster.timers, 1.2 * SECOND_MS);
  process.pause();
  await sleep(cluster.timers, 15 * SECOND_MS);
  cluster.restartHost(id);
  await sleep(cluster.timers, 5 * SECOND_MS);
  process.resume();
  await sleep(cluster.timers, 2 * RECOVERY_MS);
}

/** Submits conflicting changes of several operators at the same time. */
async function operatorsRace(context: ScenarioContext): Promise<void> {
  const { cluster } = context;
  const { zones } = cluster.deployment.fleet;
  for (let round = 0; round < 5; round++) {
    await sleep(cluster.timers, 5 * SECOND_MS);
    const zone = zones[0];
    cluster.submitChange(
      { kind: "set_zone", zone, state: "out" },
      "asha",
      true,
    );
    cluster.submitChange(
      { kind: "set_zone", zone, state: "in" },
      "bikash",
      true,
    );
    const [firstClass] = cluster.deployment.classes;
    const value = {
      ...firstClass,
      firstTokenMs: firstClass.firstTokenMs + round,
    };
    cluster.submitChange({ kind: "set_class", value }, "chandra");
  }
  cluster.setZone(zones[0], "in");
  await sleep(cluster.timers, 60 * SECOND_MS);
}

async function upstreamLeaves(context: ScenarioContext): Promise<void> {
  const { cluster } = context;
  await sleep(cluster.timers, 5 * SECOND_MS);
  const id = pickGroupMember(context);
  cluster.markHostLeaving(id);
  const [serviceHostId] = cluster.services.keys();
  cluster.markHostLeaving(serviceHostId);
  await sleep(cluster.timers, 40 * SECOND_MS);
  cluster.killHost(id);
  cluster.killHost(serviceHostId);
  await sleep(cluster.timers, 20 * SECOND_MS);
}

async function hostListDisconnected(context: ScenarioContext): Promise<void> {
  const { cluster } = context;
  await sleep(cluster.timers, 2 * SECOND_MS);
  for (const { member } of cluster.gateways) {
    cluster.network.disconnect(member.id, HOST_LIST_ENDPOINT);
  }
  await sleep(cluster.timers, 20 * SECOND_MS);
  for (const { member } of cluster.gateways) {
    cluster.network.reconnect(member.id, HOST_LIST_ENDPOINT);
  }
}

/** Runs two other random scenarios concurrently. */
async function twoAtOnce(context: ScenarioContext): Promise<void> {
  const choices = SCENARIOS.filter((s) => s.canBePaired !== false);
  const first = context.random.pick(choices);
  const second = context.random.pick(choices.filter((s) => s !== first));
  await Promise.all([first.run(context), second.run(context)]);
}

/** All scenarios, in the order of the benchmark's report. */
export const SCENARIOS: readonly Scenario[] = [
  {
    name: "steady",
    run: ({ cluster }) => sleep(cluster.timers, 60 * SECOND_MS),
    canBePaired: false,
  },
  { name: "host-dies", run: hostDies },
  { name: "host-pauses", run: hostPauses },
  { name: "fabric-domain-dark", run: fabricDomainFails },
  { name: "zone-out-back", run: zoneOutAndBack },
  { name: "zone-flap", run: zoneFlaps, loadFactor: 1.15 },
  { name: "cold-cohort", run: halfOfGroupsCrash },
  { name: "warm-turns-cold", run: warmEnginesTurnCold },
  { name: "straggler", run: engineIsSlow },
  { name: "crash-request", run: requestCrashesEngines },
  { name: "store-outage", run: storeIsDown },
  { name: "store-answer-lost", run: storeResponsesLost },
  { name: "gateway-partitioned", run: gatewayPartitioned },
  { name: "gateway-crash-with-orders", run: gatewayCrashesWithOrders },
  { name: "gateway-shutdown", run: gatewayShutsDown },
  { name: "controller-paused", run: controllerPaused },
  { name: "operators-race", run: operatorsRace },
  { name: "upstream-leaves", run: upstreamLeaves },
  { name: "host-list-cut", run: hostListDisconnected },
  { name: "two-at-once", run: twoAtOnce, canBePaired: false },
];
