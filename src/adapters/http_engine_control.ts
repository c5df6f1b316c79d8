/**
 * Engine status and commands over HTTP.
 *
 * @module
 */
import { Agent, buildConnector } from "undici";
import { z } from "zod";
import type { Outcome } from "../base/outcome.ts";
import { failure, success } from "../base/outcome.ts";
import { guardConnections } from "../base/status_line_guard.ts";
import type {
  EngineControl,
  EngineError,
  EngineStatus,
  FencedCommand,
} from "../ports/engine_control.ts";
import { requestJson } from "./http_json.ts";

const CONNECT_TIMEOUT_MS = 10_000;
const STATUS_TIMEOUT_MS = 1_000;

const StatusSchema = z.object({
  hostId: z.string(),
  bootId: z.string(),
  phase: z.enum(["idle", "loading", "ready"]),
  groupId: z.string(),
  epoch: z.int().min(0),
  running: z.int().min(0),
  completed: z.int().min(0),
  capacity: z.int().min(0),
  weights: z.array(z.string()),
});

/** {@linkcode EngineControl} over `GET /engine/status` and `POST /engine/command`. */
export class HttpEngineControl implements EngineControl {
  readonly #agent = new Agent({
    connections: 2,
    connect: guardConnections(buildConnector({ timeout: CONNECT_TIMEOUT_MS })),
    keepAliveTimeout: 10_000,
  });

  async status(address: string): Promise<Outcome<EngineStatus, EngineError>> {
    const res = await requestJson(`http://${address}/engine/status`, {
      dispatcher: this.#agent,
      timeoutMs: STATUS_TIMEOUT_MS,
      method: "GET",
    });
    if (!res.ok) return res;
    const parsed = StatusSchema.safeParse(res.value);
    if (parsed.success) return success(parsed.data);
    return failure({ kind: "malformed", detail: "The status is malformed" });
  }

  async send(
    address: string,
    command: FencedCommand,
  ): Promise<Outcome<true, EngineError>> {
    const res = await requestJson(`http://${address}/engine/command`, {
      dispatcher: this.#agent,
      timeoutMs: command.validForMs,
      method: "POST",
      body: command,
    });
    return res.ok ? success(true) : res;
  }

  /** Closes all connections. */
  async close(): Promise<void> {
    await this.#agent.destroy();
  }
}
