/**
 * Measures what single decisions cost in processor time, over fleets of several
 * sizes.
 *
 * Usage: `node dist/tools/bench_decisions.js`. Prints microseconds per decision.
 *
 * @module
 */
import { performance } from "node:perf_hooks";
import process from "node:process";
import { Random } from "../src/base/random.ts";
import { CatalogHolder } from "../src/core/catalog/catalog_holder.ts";
import type { EntryNode } from "../src/core/entry/mod.ts";
import { EntryDirectory } from "../src/core/entry/mod.ts";
import { HostRegistry } from "../src/core/fleet/host_registry.ts";
import { ReplicaView } from "../src/core/fleet/replica_view.ts";
import { SuspicionTracker } from "../src/core/fleet/suspicion_tracker.ts";
import type { FreeHost } from "../src/core/orchestrator/layout.ts";
import { planLayout } from "../src/core/orchestrator/layout.ts";
import { ColdHostLimiter } from "../src/core/relay/cold_host_limiter.ts";
import { HostNotices } from "../src/core/relay/host_notices.ts";
import { LoadTracker } from "../src/core/relay/load_tracker.ts";
import type { PlacementQuery } from "../src/core/relay/placer.ts";
import { Placer } from "../src/core/relay/placer.ts";
import { ReplicaFailures } from "../src/core/relay/replica_failures.ts";
import { EngineOutlook } from "../src/core/outlook/mod.ts";
import { RequestCosts } from "../src/core/relay/request_costs.ts";
import { RequestQueue } from "../src/core/relay/request_queue.ts";
import { exampleCatalog } from "../src/standins/fleet/example_catalog.ts";
import type { ServingHost } from "../src/world/serving_host.ts";

const GROUP_SIZE = 3;
const HOSTS_PER_DOMAIN = 73;
const LOADS_PER_PEER = 24;
/** One in this many hosts of the steady layout is free. */
const FREE_EVERY = 12;
const FLEETS = [
  { hosts: 54, peers: 3 },
  { hosts: 222, peers: 31 },
  { hosts: 1_095, peers: 77 },
  { hosts: 4_380, peers: 311 },
];

function createHost(i: number): ServingHost {
  const rank = i % GROUP_SIZE;
  const domain = Math.floor(i / HOSTS_PER_DOMAIN);
  return {
    id: `i-${i}`,
    address: `10.0.0.1:${i}`,
    service: "pool",
    zone: `zone-${domain % 5}`,
    slots: 18,
    draining: false,
    coldLeftMs: 0,
    born: 1,
    domain: `domain-${domain}`,
    staged: ["small"],
    models: ["small"],
    membership: {
      group: `g-${Math.floor(i / GROUP_SIZE)}`,
      epoch: 1,
      rank,
      state: rank === 0 ? "open" : "ready",
    },
  };
}

/** A fleet whose hosts all serve, as one node knows it. */
class DecisionFleet {
  readonly hosts: ServingHost[];
  readonly registry = new HostRegistry();
  readonly loads = new LoadTracker();
  readonly placer: Placer;
  readonly view: ReplicaView;
  readonly query: PlacementQuery;
  readonly #peers: number;

  constructor(hosts: number, peers: number) {
    this.#peers = peers;
    this.hosts = Array.from({ length: hosts }, (_, i) => createHost(i));
    this.registry.replaceAll(this.hosts, 0, false);
    const catalog = new CatalogHolder(() => 0, () => 0);
    catalog.installIfNewer(exampleCatalog(1));
    this.view = new ReplicaView(this.registry, catalog, new Set());
    this.placer = new Placer({
      view: this.view,
      suspicions: new SuspicionTracker(),
      hosts: this.registry,
      loads: this.loads,
      outlook: new EngineOutlook({
        fleetDemand: () => new Map(),
        statusLagMs: () => 0,
      }),
      failures: new ReplicaFailures(),
      coldHostLimiter: new ColdHostLimiter(),
      hostNotices: new HostNotices(() => ({ size: 1, rank: 0 })),
      random: new Random(1),
      nodeId: "node-0",
      zone: "zone-0",
      fleetSize: () => peers + 1,
      fleetRank: () => 0,
    });
    const service = catalog.inForce?.services.get("pool");
    if (service === undefined) throw new Error("The catalog has no pool");
    this.query = {
      service,
      model: "small",
      promptTokens: 600,
      firstByteLimitMs: 1_000,
      gapLimitMs: 1_000,
      excludes: () => false,
    };
    for (let peer = 0; peer < peers; peer++) this.reportLoads(peer);
  }

  /** Records the report of one peer. */
  reportLoads(round: number): void {
    const peer = round % Math.max(1, this.#peers);
    const groups = Math.floor(this.hosts.length / GROUP_SIZE);
    const loads = Array.from({ length: LOADS_PER_PEER }, (_, i) => ({
      key: `g-${(peer * 7 + i) % groups}@1`,
      inFlight: 1,
      pendingPromptTokens: 300,
      silentMs: 10,
    }));
    this.loads.recordPeerLoads(`node-${peer}`, loads, 0, 0);
  }

  /** Announces one host with another state, and reads the groups. */
  changeHost(round: number): void {
    const host = this.hosts[round % this.hosts.length];
    this.registry.announce({ ...host }, 0);
    if (this.registry.groups.size === 0) throw new Error("No groups");
  }

  /** Plans a layout with a share of the hosts free, as after losses. */
  plan(): void {
    const { query, hosts } = this;
    const free = hosts.filter((_, i) => i % FREE_EVERY === 0).map(toFreeHost);
    const domains = new Map<string, number>();
    for (const { domain } of hosts) {
      domains.set(domain, (domains.get(domain) ?? 0) + 1);
    }
    const groups = [...this.registry.groups.values()].map((group) => ({
      model: group.model,
      domain: group.head?.domain ?? "",
    }));
    planLayout({
      models: query.service.engine?.models ?? [],
      free,
      groups,
      needed: new Map([["large", 2], ["small", groups.length / 2]]),
      usableHosts: domains,
      loadsAreCheap: false,
      loadBudget: 3,
    });
  }
}

/** Sizes of fleets for which addresses are chosen. */
const NODE_COUNTS = [5, 36, 65, 300];
const ZONE_COUNT = 3;
/** Longer than the interval of decisions, so that each question needs one. */
const QUESTION_INTERVAL_MS = 1_000;

function createNodes(count: number): EntryNode[] {
  return Array.from({ length: count }, (_, i) => ({
    id: `node-${1_000 + i}`,
    address: `10.0.0.1:${i}`,
    zone: `zone-${i % ZONE_COUNT}`,
    status: {
      cores: i % 10 === 0 ? 1.35 : 0.324,
      linkMbps: 200,
      work: i % ZONE_COUNT === 0 ? 0.25 : 0.05,
      isBehind: false,
      plan: undefined,
    },
  }));
}

/** Asks one node for addresses; it decides anew for each question. */
class AddressQuestions {
  readonly #directory: EntryDirectory;

  constructor(nodes: readonly EntryNode[], selfId: string) {
    this.#directory = new EntryDirectory({
      selfId,
      nodes: () => nodes,
      onChange: () => {},
      onSwitch: () => {},
    });
  }

  ask(round: number): void {
    const now = round * QUESTION_INTERVAL_MS;
    const addresses = this.#directory.addresses("zone-0", now);
    if (addresses.length === 0) throw new Error("No addresses");
  }
}

function toFreeHost(host: ServingHost): FreeHost {
  return {
    id: host.id,
    domain: host.domain,
    zone: host.zone,
    loadedModel: "small",
    staged: ["small"],
    isLoading: false,
    loadingModel: undefined,
    isCold: false,
    idleMs: 100,
    crossDomainGroup: undefined,
  };
}

/** A node's queue with requests of 24 customers that nothing has room for. */
class WaitingQueue {
  readonly #fleet: DecisionFleet;
  readonly #queue: RequestQueue;
  #arrivals = 0;

  constructor(fleet: DecisionFleet, waiting: number) {
    this.#fleet = fleet;
    const costs = new RequestCosts(
      fleet.view,
      new SuspicionTracker(),
      new EngineOutlook({ fleetDemand: () => new Map(), statusLagMs: () => 0 }),
    );
    this.#queue = new RequestQueue({
      // What the placer costs is measured apart.
      place: () => ({ kind: "full", expectedMs: 2_000 }),
      costOf: (query) => costs.of(query, 0),
      rateOf: (query) => costs.rateOf(query),
      position: () => ({ size: 36, rank: 0 }),
      onReturned: () => {},
    });
    for (let i = 0; i < waiting; i++) this.#arrive(Infinity);
  }

  dispatch(): void {
    this.#queue.dispatch(0);
  }

  /** A request arrives, is tried in turn, and is refused with a time. */
  refuse(): void {
    this.#arrive(0);
  }

  #arrive(queueDeadline: number): void {
    const i = this.#arrivals++;
    this.#queue.placeOrEnqueue({
      ...this.#fleet.query,
      promptTokens: 100 + i * 37 % 2_000,
      firstByteLimitMs: 200 + i * 13 % 600,
      arrivedAt: 0,
      queueDeadline,
      priority: i % 3,
      isRetry: false,
      customer: { name: `customer-${i % 24}` },
      fingerprint: `request-${i}`,
      contract: { route: { goalMs: 1_000 }, deadline: 6_000 },
      firstByteMs: undefined,
      onPlaced: () => {},
      onNotPlaced: () => {},
    }, 0);
  }
}

/** Runs `decide` for at least 300 ms; returns microseconds per call. */
function timeDecision(decide: (round: number) => void): number {
  for (let i = 0; i < 20; i++) decide(i);
  const startedAt = performance.now();
  let rounds = 0;
  while (performance.now() - startedAt < 300) decide(rounds++);
  return (performance.now() - startedAt) * 1_000 / rounds;
}

process.stdout.write(
  "  hosts  peers    place  report  change      plan   (microseconds)\n",
);
for (const { hosts, peers } of FLEETS) {
  const fleet = new DecisionFleet(hosts, peers);
  const costs = [
    timeDecision(() => fleet.placer.place(fleet.query, 0)),
    timeDecision((round) => fleet.reportLoads(round)),
    timeDecision((round) => fleet.changeHost(round)),
    timeDecision(() => fleet.plan()),
  ].map((us, i) => us.toFixed(1).padStart(i === 3 ? 10 : 8));
  const size = `${String(hosts).padStart(7)}${String(peers).padStart(7)}`;
  process.stdout.write(`${size} ${costs.join("")}\n`);
}

process.stdout.write("\nwaiting  dispatch   refuse   (microseconds)\n");
const [{ hosts, peers }] = FLEETS;
const smallFleet = new DecisionFleet(hosts, peers);
for (const waiting of [1, 8, 64, 500]) {
  const queue = new WaitingQueue(smallFleet, waiting);
  const costs = [
    timeDecision(() => queue.dispatch()),
    timeDecision(() => queue.refuse()),
  ].map((us) => us.toFixed(1).padStart(9));
  process.stdout.write(`${String(waiting).padStart(7)} ${costs.join("")}\n`);
}
process.stdout.write("\n  nodes  decide  follow   (microseconds, addresses)\n");
for (const count of NODE_COUNTS) {
  const nodes = createNodes(count);
  const costs = [nodes[0], nodes[nodes.length - 1]].map(({ id }) => {
    const questions = new AddressQuestions(nodes, id);
    let asked = 0;
    return timeDecision(() => questions.ask(asked++));
  }).map((us) => us.toFixed(1).padStart(8));
  process.stdout.write(`${String(count).padStart(7)}${costs.join("")}\n`);
}
