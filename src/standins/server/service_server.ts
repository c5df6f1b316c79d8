/**
 * HTTP server of a simulated plain service.
 *
 * @module
 */
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { createServer } from "node:http";
import type { ServiceSim } from "../sim/service_sim.ts";
import { readJson, sendJson } from "./http_helpers.ts";

/** Serves one instance of a plain service. */
export class ServiceServer {
  readonly service: ServiceSim;
  readonly server: Server;
  readonly #name: string;

  constructor(service: ServiceSim, name: string) {
    this.service = service;
    this.#name = name;
    this.server = createServer((req, res) => {
      this.#handle(req, res);
    });
  }

  async #handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
    if (!this.service.alive) {
      req.socket.destroy();
      return;
    }
    // A paused process accepts connections but never responds.
    if (this.service.paused) return;
    if (req.url === "/engine/status") {
      return sendJson(res, 200, this.service.status());
    }
    await readJson(req);
    this.service.run({
      attemptId: String(req.headers["x-request-id"] ?? ""),
      service: this.#name,
      idempotencyKey: String(req.headers["idempotency-key"] ?? ""),
      fingerprint: String(req.headers["x-request-seed"] ?? ""),
    }, {
      respond: (status, body) => sendJson(res, status, JSON.parse(body)),
      abort: () => res.destroy(),
    });
  }
}
