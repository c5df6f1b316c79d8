/**
 * HTTP server of a simulated model engine.
 *
 * @module
 */
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { createServer } from "node:http";
import type { FencedCommand } from "../../ports/engine_control.ts";
import type { EngineSim } from "../sim/engine_sim.ts";
import { readJson, sendJson } from "./http_helpers.ts";

/** Text in a request's body that crashes each engine that runs the request. */
export const POISON_MARKER = "crash-the-engine";

/** Serves status, command and generation requests to one engine. */
export class EngineServer {
  readonly engine: EngineSim;
  readonly server: Server;

  constructor(engine: EngineSim) {
    this.engine = engine;
    this.server = createServer((req, res) => {
      this.#handle(req, res);
    });
  }

  async #handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
    if (!this.engine.alive) {
      req.socket.destroy();
      return;
    }
    // A paused process accepts connections but never responds.
    if (this.engine.paused) return;
    if (req.url === "/engine/status") {
      this.engine.publishReport();
      return sendJson(res, 200, this.engine.status());
    }
    const body = await readJson(req);
    if (req.url === "/engine/command") {
      const result = this.engine.command(body as unknown as FencedCommand);
      return sendJson(res, result.ok ? 200 : 409, result);
    }
    this.#generate(req, body, res);
  }

  #generate(
    req: IncomingMessage,
    body: Record<string, unknown>,
    res: ServerResponse,
  ): void {
    if (!this.engine.serves(Number(req.headers["x-group-epoch"]))) {
      res.writeHead(503, { "x-not-run": "1" }).end();
      return;
    }
    const request = {
      attemptId: String(req.headers["x-request-id"] ?? ""),
      fingerprint: String(req.headers["x-request-seed"] ?? ""),
      resumeAfter: Number(req.headers["x-resume-after"] ?? 0),
      poisonous: JSON.stringify(body).includes(POISON_MARKER),
    };
    const generation = body.stream === true
      ? this.#stream(request, res)
      : this.#respondBuffered(request, res, String(body.model));
    res.on("close", () => generation.cancel());
  }

  #stream(
    request: Parameters<EngineSim["generate"]>[0],
    res: ServerResponse,
  ) {
    res.writeHead(200, { "content-type": "text/event-stream" });
    res.flushHeaders();
    return this.engine.generate(request, {
      data: (chunk) => res.write(chunk),
      end: () => res.end(),
      abort: () => res.destroy(),
    });
  }

  /** Responds with one JSON body when the generation is complete. */
  #respondBuffered(
    request: Parameters<EngineSim["generate"]>[0],
    res: ServerResponse,
    model: string,
  ) {
    const texts: string[] = [];
    return this.engine.generate(request, {
      data: (chunk) => texts.push(new TextDecoder().decode(chunk)),
      end: () => sendJson(res, 200, toCompletion(model, texts.join(""))),
      abort: () => res.destroy(),
    });
  }
}

/** Joins the events of a stream into one chat completion. */
function toCompletion(model: string, events: string): unknown {
  const content = [...events.matchAll(/"content":"([^"]*)"/g)]
    .map(([, text]) => text).join("");
  const message = { role: "assistant", content };
  return {
    object: "chat.completion",
    model,
    choices: [{ index: 0, message, finish_reason: "stop" }],
  };
}
