/**
 * The events that the product and the baseline are put through.
 *
 * @module
 */
import type { Random } from "../base/random.ts";
import { sleep } from "../base/timers.ts";
import type { Callers } from "./callers.ts";
import type { Checker } from "./checker.ts";
import type { Cluster } from "./cluster.ts";
import { HOSTS_LINK, STORE_LINK } from "./fakes.ts";

/** What a scenario acts on. */
export interface Stage {
  readonly cluster: Cluster;
  readonly callers: Callers;
  readonly checker: Checker;
  /** Draws the same for the product and the baseline. */
  readonly random: Random;
}

/** One course of events. */
export interface Scenario {
  readonly name: string;
  /** Multiple of the deployment's load. */
  readonly load?: number;
  /** Acts while load runs; settles when the events are over. */
  readonly play: (stage: Stage) => Promise<void>;
  /** Whether it can be one of a pair. */
  readonly pairs?: boolean;
}

const S = 1_000;

/** Load time of a group, with room: how long after a fault service is watched. */
const RECOVERY_MS = 30 * S;

function engineIds({ cluster }: Stage): string[] {
  return [...cluster.engines.keys()];
}

/** Picks a host that is in a group of the largest model. */
function memberOfLarge(stage: Stage): string {
  const [model] = stage.cluster.deployment.models;
  const inGroup = engineIds(stage).filter((id) =>
    stage.cluster.engines.get(id)?.membership?.model === model.name
  );
  return stage.random.pick(inGroup.length > 0 ? inGroup : engineIds(stage));
}

async function hostDies(stage: Stage): Promise<void> {
  const { cluster } = stage;
  await sleep(cluster.timers, 5 * S);
  const id = memberOfLarge(stage);
  cluster.hostDies(id);
  await sleep(cluster.timers, RECOVERY_MS);
  cluster.hostReturns(id);
  await sleep(cluster.timers, RECOVERY_MS);
}

async function hostPauses(stage: Stage): Promise<void> {
  const { cluster } = stage;
  await sleep(cluster.timers, 5 * S);
  const engine = cluster.engines.get(memberOfLarge(stage));
  if (engine !== undefined) engine.paused = true;
  await sleep(cluster.timers, 12 * S);
  if (engine !== undefined) engine.paused = false;
  await sleep(cluster.timers, RECOVERY_MS);
}

async function domainDark(stage: Stage): Promise<void> {
  const { cluster, random } = stage;
  await sleep(cluster.timers, 5 * S);
  const engines = cluster.hosts.filter((h) => h.kind === "engine");
  const { fabricDomain } = random.pick(engines);
  const dark = engines.filter((h) => h.fabricDomain === fabricDomain);
  for (const host of dark) cluster.hostDies(host.id);
  await sleep(cluster.timers, RECOVERY_MS);
  for (const host of dark) cluster.hostReturns(host.id);
  await sleep(cluster.timers, RECOVERY_MS);
}

async function zoneOutBack(stage: Stage): Promise<void> {
  const { cluster, random } = stage;
  await sleep(cluster.timers, 5 * S);
  const zone = random.pick(cluster.deployment.fleet.zones);
  cluster.setZone(zone, "out");
  await sleep(cluster.timers, 45 * S);
  cluster.setZone(zone, "in");
  await sleep(cluster.timers, 60 * S);
}

async function zoneFlap(stage: Stage): Promise<void> {
  const { cluster, random } = stage;
  await sleep(cluster.timers, 5 * S);
  const zone = random.pick(cluster.deployment.fleet.zones);
  cluster.setZone(zone, "out");
  await sleep(cluster.timers, 35 * S);
  cluster.setZone(zone, "in");
  await sleep(cluster.timers, 25 * S);
  cluster.setZone(zone, "out");
  await sleep(cluster.timers, 40 * S);
  cluster.setZone(zone, "in");
  await sleep(cluster.timers, 60 * S);
}

async function coldCohort(stage: Stage): Promise<void> {
  const { cluster } = stage;
  await sleep(cluster.timers, 5 * S);
  const [model] = cluster.deployment.models;
  const leaders = cluster.wholeGroups(model.name);
  for (const leader of leaders.slice(0, Math.ceil(leaders.length / 2))) {
    leader.crash("fault");
  }
  await sleep(cluster.timers, 2 * RECOVERY_MS);
}

async function warmTurnsCold(stage: Stage): Promise<void> {
  const { cluster } = stage;
  await sleep(cluster.timers, 5 * S);
  const [model] = cluster.deployment.models;
  const leaders = cluster.wholeGroups(model.name);
  for (const leader of leaders.slice(0, 3)) leader.turnCold();
  await sleep(cluster.timers, 2 * RECOVERY_MS);
}

async function straggler(stage: Stage): Promise<void> {
  const { cluster } = stage;
  await sleep(cluster.timers, 5 * S);
  const [model] = cluster.deployment.models;
  const [leader] = cluster.wholeGroups(model.name);
  leader.slowdown = 8;
  await sleep(cluster.timers, 40 * S);
  leader.slowdown = 1;
  await sleep(cluster.timers, 20 * S);
}

async function crashRequest(stage: Stage): Promise<void> {
  const { cluster, callers } = stage;
  await sleep(cluster.timers, 5 * S);
  callers.send(cluster.deployment.workload[0], { poisonous: true });
  await sleep(cluster.timers, 2 * RECOVERY_MS);
}

async function storeOutage(stage: Stage): Promise<void> {
  const { cluster } = stage;
  await sleep(cluster.timers, 5 * S);
  cluster.store.down = true;
  await sleep(cluster.timers, 30 * S);
  const first = memberOfLarge(stage);
  cluster.hostDies(first);
  await sleep(cluster.timers, 120 * S);
  const second = memberOfLarge(stage);
  cluster.hostDies(second);
  await sleep(cluster.timers, 150 * S);
  cluster.store.down = false;
  await sleep(cluster.timers, 2 * RECOVERY_MS);
}

async function storeAnswerLost(stage: Stage): Promise<void> {
  const { cluster } = stage;
  for (let round = 0; round < 6; round++) {
    await sleep(cluster.timers, 5 * S);
    if (round % 2 === 0) cluster.store.loseAnswers = 5;
    else cluster.store.landLate = 5;
    if (round === 2) cluster.setZone(cluster.deployment.fleet.zones[0], "out");
    if (round === 5) cluster.setZone(cluster.deployment.fleet.zones[0], "in");
  }
  await sleep(cluster.timers, 60 * S);
}

async function gatewayPartitioned(stage: Stage): Promise<void> {
  const { cluster, random } = stage;
  await sleep(cluster.timers, 5 * S);
  const { id } = random.pick(cluster.gateways).member;
  const others = [
    ...cluster.gateways.map((g) => g.member.id).filter((g) => g !== id),
    "operator",
    "ctl-1",
    "ctl-2",
  ];
  const [zone] = cluster.deployment.fleet.zones;
  const cutStore = () => cluster.network.cut(id, STORE_LINK);
  const cutPeers = () => others.forEach((o) => cluster.network.cut(id, o));
  const heal = () => {
    cluster.network.heal(id, STORE_LINK);
    others.forEach((o) => cluster.network.heal(id, o));
  };
  for (const cuts of [[cutStore], [cutPeers], [cutStore, cutPeers]]) {
    for (const cut of cuts) cut();
    await sleep(cluster.timers, 2 * S);
    cluster.setZone(zone, "out");
    await sleep(cluster.timers, 20 * S);
    heal();
    await sleep(cluster.timers, 5 * S);
    cluster.setZone(zone, "in");
    await sleep(cluster.timers, 15 * S);
  }
  await sleep(cluster.timers, 45 * S);
}

async function gatewayCrashWithOrders(stage: Stage): Promise<void> {
  const { cluster, callers, random } = stage;
  await sleep(cluster.timers, 5 * S);
  const part = cluster.deployment.workload.find((p) => p.kind === "service");
  const { id } = random.pick(cluster.gateways).member;
  for (let i = 0; part !== undefined && i < 20; i++) {
    callers.send(part, { key: `burst-${i}`, gateway: id });
    callers.send(part, { key: `burst-${i}` });
  }
  await sleep(cluster.timers, 20 + random.int(40));
  cluster.killGateway(id);
  await sleep(cluster.timers, 20 * S);
  cluster.startGateway(id);
  await sleep(cluster.timers, RECOVERY_MS);
}

async function gatewayShutdown(stage: Stage): Promise<void> {
  const { cluster, checker, random } = stage;
  await sleep(cluster.timers, 5 * S);
  const slot = random.pick(cluster.gateways);
  slot.gateway.shutdown().then(() => {
    checker.shutdownEnded(slot.member.incarnation);
    slot.node.kill();
  });
  await sleep(cluster.timers, 40 * S);
  cluster.startGateway(slot.member.id);
  await sleep(cluster.timers, RECOVERY_MS);
}

async function controllerPaused(stage: Stage): Promise<void> {
  const { cluster } = stage;
  await sleep(cluster.timers, 5 * S);
  const { node } = cluster.activeController();
  const id = memberOfLarge(stage);
  cluster.hostDies(id);
  await sleep(cluster.timers, 1.2 * S);
  node.pause();
  await sleep(cluster.timers, 15 * S);
  cluster.hostReturns(id);
  await sleep(cluster.timers, 5 * S);
  node.resume();
  await sleep(cluster.timers, 2 * RECOVERY_MS);
}

async function operatorsRace(stage: Stage): Promise<void> {
  const { cluster } = stage;
  const { zones } = cluster.deployment.fleet;
  for (let round = 0; round < 5; round++) {
    await sleep(cluster.timers, 5 * S);
    const zone = zones[0];
    cluster.change({ kind: "set_zone", zone, state: "out" }, "asha", true);
    cluster.change({ kind: "set_zone", zone, state: "in" }, "bikash", true);
    const [first] = cluster.deployment.classes;
    const value = { ...first, firstTokenMs: first.firstTokenMs + round };
    cluster.change({ kind: "set_class", value }, "chandra");
  }
  cluster.setZone(zones[0], "in");
  await sleep(cluster.timers, 60 * S);
}

async function upstreamLeaves(stage: Stage): Promise<void> {
  const { cluster } = stage;
  await sleep(cluster.timers, 5 * S);
  const id = memberOfLarge(stage);
  cluster.hostLeaves(id);
  const [service] = cluster.services.keys();
  cluster.hostLeaves(service);
  await sleep(cluster.timers, 40 * S);
  cluster.hostDies(id);
  cluster.hostDies(service);
  await sleep(cluster.timers, 20 * S);
}

async function hostListCut(stage: Stage): Promise<void> {
  const { cluster } = stage;
  await sleep(cluster.timers, 2 * S);
  for (const { member } of cluster.gateways) {
    cluster.network.cut(member.id, HOSTS_LINK);
  }
  await sleep(cluster.timers, 20 * S);
  for (const { member } of cluster.gateways) {
    cluster.network.heal(member.id, HOSTS_LINK);
  }
}

async function twoAtOnce(stage: Stage): Promise<void> {
  const choices = SCENARIOS.filter((s) => s.pairs !== false);
  const first = stage.random.pick(choices);
  const second = stage.random.pick(choices.filter((s) => s !== first));
  await Promise.all([first.play(stage), second.play(stage)]);
}

/** Every scenario, in the order of the report. */
export const SCENARIOS: readonly Scenario[] = [
  {
    name: "steady",
    play: ({ cluster }) => sleep(cluster.timers, 60 * S),
    pairs: false,
  },
  { name: "host-dies", play: hostDies },
  { name: "host-pauses", play: hostPauses },
  { name: "fabric-domain-dark", play: domainDark },
  { name: "zone-out-back", play: zoneOutBack },
  { name: "zone-flap", play: zoneFlap, load: 1.15 },
  { name: "cold-cohort", play: coldCohort },
  { name: "warm-turns-cold", play: warmTurnsCold },
  { name: "straggler", play: straggler },
  { name: "crash-request", play: crashRequest },
  { name: "store-outage", play: storeOutage },
  { name: "store-answer-lost", play: storeAnswerLost },
  { name: "gateway-partitioned", play: gatewayPartitioned },
  { name: "gateway-crash-with-orders", play: gatewayCrashWithOrders },
  { name: "gateway-shutdown", play: gatewayShutdown },
  { name: "controller-paused", play: controllerPaused },
  { name: "operators-race", play: operatorsRace },
  { name: "upstream-leaves", play: upstreamLeaves },
  { name: "host-list-cut", play: hostListCut },
  { name: "two-at-once", play: twoAtOnce, pairs: false },
];
