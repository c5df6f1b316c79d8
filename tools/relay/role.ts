/**
 * Entry point of the processes of the relay benchmark.
 *
 * @module
 */
import process from "node:process";
import { match } from "ts-pattern";
import { startClient } from "./client.ts";
import { startEngine } from "./engine.ts";
import { startGateway, startPipe, startPlatform } from "./relays.ts";

const [role, arg] = process.argv.slice(2);
await match(role)
  .with("engine", () => startEngine(Number(arg)))
  .with("platform", () => startPlatform())
  .with("pipe", () => startPipe())
  .with("gateway", () => startGateway())
  .with("client", () => startClient())
  .otherwise(() => Promise.reject(new Error(`Unknown role: ${role}`)));
process.send?.("ready");
