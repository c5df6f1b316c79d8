/**
 * Processes between client and engine: the gateway with its platform, and the
 * plain pipe that it is compared with.
 *
 * @module
 */
import { createServer } from "node:http";
import { Agent, request } from "undici";
import { listen } from "../../src/adapters/listen.ts";
import { sha256 } from "../../src/base/hash.ts";
import { SystemTimers } from "../../src/base/system_timers.ts";
import { sleep } from "../../src/base/timers.ts";
import type { Action } from "../../src/core/configuration/change.ts";
import { ControllerProcess } from "../../src/controller/controller_process.ts";
import { GatewayProcess } from "../../src/gateway/gateway_process.ts";
import { createLogger } from "../../src/logging/logger.ts";
import { MemoryKeyValue } from "../../src/standins/sim/memory_key_value.ts";
import { sendJson } from "../../src/standins/server/http_helpers.ts";
import { StoreServer } from "../../src/standins/server/store_server.ts";
import { BENCH_KEY, BENCH_MODEL, PORTS } from "./messages.ts";

const PEER_KEY = "relay-bench-peer-key";
const ENGINES = 2;
const timers = new SystemTimers();
const logging = { format: "json", level: "error" } as const;
const log = createLogger({ ...logging, process: "relay-bench" });
const platform = {
  store: `http://127.0.0.1:${PORTS.store}`,
  host_list: `http://127.0.0.1:${PORTS.hostList}`,
};
const peers = { key: PEER_KEY, seeds: [`127.0.0.1:${PORTS.gatewayPeer}`] };

/** Starts the store, the host list and a controller, and declares the model. */
export async function startPlatform(): Promise<void> {
  const store = new StoreServer(timers, new MemoryKeyValue(timers));
  await listen(store.server, `127.0.0.1:${PORTS.store}`);
  const hosts = Array.from({ length: ENGINES }, (_, i) => ({
    id: `engine-${i}`,
    kind: "engine",
    address: `127.0.0.1:${PORTS.firstEngine + i}`,
    availabilityZone: "z",
    fabricDomain: `d-${i}`,
    accelerators: 8,
    bootId: `engine-${i}-b1`,
    state: "live",
  }));
  const hostListServer = createServer((_req, res) =>
    sendJson(res, 200, { hosts })
  );
  await listen(hostListServer, `127.0.0.1:${PORTS.hostList}`);
  const controller = new ControllerProcess({
    controller: { id: "ctl", admin_address: `127.0.0.1:${PORTS.admin}` },
    platform,
    peers,
    token: {},
    log: logging,
  }, log);
  await controller.start();
  await submitDeclarations(controller);
}

async function submitDeclarations(
  controller: ControllerProcess,
): Promise<void> {
  const team = "bench";
  const latencyTargets = { firstTokenMs: 60_000, betweenTokensMs: 1_000 };
  const actions: Action[] = [
    {
      kind: "set_class",
      value: {
        name: "any",
        team,
        priority: 1,
        reliabilityPercent: 90,
        ...latencyTargets,
      },
    },
    {
      kind: "set_model",
      value: {
        name: BENCH_MODEL,
        team,
        version: "v1",
        hostsPerReplica: 1,
        minReplicas: ENGINES,
        rank: 1,
        enginesCheckFencing: true,
      },
    },
    {
      kind: "set_customer",
      value: {
        name: "bench",
        team,
        keyHashes: [sha256(BENCH_KEY)],
        maxConcurrent: 100_000,
        defaultClass: "any",
      },
    },
  ];
  for (const [i, action] of actions.entries()) {
    const change = { changeId: `bench-${i}`, author: "bench", action };
    await controller.controller.administration.submit(change, 20_000);
  }
}

/** Starts a gateway and waits until its upstreams are open. */
export async function startGateway(): Promise<void> {
  const gateway = new GatewayProcess({
    gateway: {
      id: "gw-1",
      availability_zone: "z",
      caller_address: `127.0.0.1:${PORTS.gatewayCaller}`,
      peer_address: `127.0.0.1:${PORTS.gatewayPeer}`,
    },
    platform,
    peers,
    limits: { max_body: 1_048_576 },
    log: logging,
  }, log);
  await gateway.start();
  const isReady = () => {
    const entries = [...gateway.gateway.table.entries.values()];
    const listed = entries.filter((entry) => entry.isListed).length;
    return listed === ENGINES && gateway.gateway.cfg.gateways.length > 0;
  };
  while (!isReady()) await sleep(timers, 100);
}

/**
 * Starts the baseline: pipes responses from undici into node:http, with no other
 * logic than alternating between the engines.
 */
export async function startPipe(): Promise<void> {
  const agent = new Agent({ connections: 8_192, bodyTimeout: 0 });
  let nextEngine = 0;
  const server = createServer(async (req, res) => {
    const port = PORTS.firstEngine + nextEngine++ % ENGINES;
    try {
      const response = await request(`http://127.0.0.1:${port}${req.url}`, {
        method: "POST",
        dispatcher: agent,
        body: req,
      });
      res.writeHead(response.statusCode, {
        "content-type": "text/event-stream",
      });
      res.on("close", () => response.body.destroy());
      response.body.on("error", () => res.destroy());
      response.body.pipe(res);
    } catch {
      res.destroy();
    }
  });
  await listen(server, `127.0.0.1:${PORTS.pipe}`);
}
