/**
 * A real gateway process that reports its resource usage.
 *
 * @module
 */
import { subscribe } from "node:diagnostics_channel";
import type { Socket } from "node:net";
import process from "node:process";
import { GatewayProcess } from "../../src/gateway/gateway_process.ts";
import { createLogger } from "../../src/logging/logger.ts";
import type { GatewayStart, GatewayUsage } from "./messages.ts";

const PEER_KEY = "capacity-peer-key-0123";
const sockets = new Set<Socket>();
let closedBytes = 0;

/** Counts the bytes of every socket, including those that have closed. */
function trackSockets(): void {
  const track = (message: unknown) => {
    const { socket } = message as { socket: Socket };
    sockets.add(socket);
    socket.once("close", () => {
      closedBytes += socket.bytesRead + socket.bytesWritten;
      sockets.delete(socket);
    });
  };
  subscribe("net.client.socket", track);
  subscribe("net.server.socket", track);
}

function readUsage(gateway: GatewayProcess): GatewayUsage {
  const { user, system } = process.cpuUsage();
  let socketBytes = closedBytes;
  for (const socket of sockets) {
    socketBytes += socket.bytesRead + socket.bytesWritten;
  }
  const { table, cfg } = gateway.gateway;
  return {
    cpuMs: (user + system) / 1000,
    residentBytes: process.memoryUsage.rss(),
    socketBytes,
    revision: cfg.revision,
    members: cfg.gateways.length,
    openUpstreams: table.entries.size,
  };
}

trackSockets();
process.once("message", async (start: GatewayStart) => {
  const logging = { format: "json", level: "error" } as const;
  const loopbackAddress = (port: number) => `127.0.0.1:${port}`;
  const gateway = new GatewayProcess({
    gateway: {
      id: `gw-${start.index}`,
      availability_zone: "z",
      caller_address: loopbackAddress(start.callerPort),
      peer_address: loopbackAddress(start.peerPort),
    },
    platform: {
      store: `http://${loopbackAddress(start.storePort)}`,
      host_list: `http://${loopbackAddress(start.hostListPort)}`,
    },
    peers: { key: PEER_KEY, seeds: start.seedPorts.map(loopbackAddress) },
    limits: { max_body: 1_048_576 },
    log: logging,
  }, createLogger({ ...logging, process: `gw-${start.index}` }));
  await gateway.start();
  process.on("message", () => process.send?.(readUsage(gateway)));
  process.send?.("ready");
});
