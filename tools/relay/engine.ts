/**
 * Engine of the relay benchmark: streams events as fast as they are read, or at
 * a fixed rate.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import type { IncomingMessage, ServerResponse } from "node:http";
import { createServer } from "node:http";
import { setImmediate } from "node:timers";
import { listen } from "../../src/adapters/listen.ts";
import { SystemTimers } from "../../src/base/system_timers.ts";
import type {
  EngineCommand,
  FencedCommand,
} from "../../src/ports/engine_control.ts";
import { readJson, sendJson } from "../../src/standins/server/http_helpers.ts";
import { PORTS } from "./messages.ts";
import { monotonicMs } from "./monotonic.ts";

const CAPACITY = 100_000;
/** Interval between the writes of a stream with a fixed event rate. */
const TICK_MS = 5;
/** Consecutive writes to one stream before it yields to the others. */
const WRITES_PER_TURN = 8;
const timers = new SystemTimers();

/** Starts engine number `index`. */
export async function startEngine(index: number): Promise<void> {
  const hostId = `engine-${index}`;
  let command: EngineCommand | undefined;
  const server = createServer(async (req, res) => {
    if (req.url === "/engine/status") {
      const isLoaded = command?.kind === "load";
      return sendJson(res, 200, {
        hostId,
        bootId: `${hostId}-b1`,
        phase: isLoaded ? "ready" : "idle",
        groupId: isLoaded ? command?.groupId : "",
        epoch: isLoaded ? command?.epoch : 0,
        running: 0,
        completed: 0,
        capacity: CAPACITY,
        weights: [],
      });
    }
    if (req.url === "/engine/command") {
      const body = await readJson(req) as unknown as FencedCommand;
      command = body.command;
      return sendJson(res, 200, { ok: true });
    }
    await streamResponse(req, res);
  });
  await listen(server, `127.0.0.1:${PORTS.firstEngine + index}`);
}

/** Streams a response; the request body sets its event rate and length. */
async function streamResponse(
  req: IncomingMessage,
  res: ServerResponse,
): Promise<void> {
  const body = await readJson(req);
  const eventsPerS = Number(body.events_per_s ?? 0);
  const total = Number(body.events ?? 0) || Infinity;
  res.writeHead(200, { "content-type": "text/event-stream" });
  res.socket?.setNoDelay(true);
  const batch = Number(body.batch ?? 1);
  if (eventsPerS > 0) return streamPaced(res, eventsPerS);
  let sent = 0;
  const writeBatches = () => {
    for (
      let n = 0;
      n < WRITES_PER_TURN && !res.destroyed && sent < total;
      n++
    ) {
      sent += batch;
      if (!res.write(formatEvents(batch))) {
        res.once("drain", writeBatches);
        return;
      }
    }
    if (sent < total) setImmediate(writeBatches);
    else if (!res.destroyed) res.end("data: [DONE]\n\n");
  };
  writeBatches();
}

function streamPaced(res: ServerResponse, eventsPerS: number): void {
  const startedAt = timers.now();
  let sentEvents = 0;
  const timer = timers.subscribe(TICK_MS, () => {
    const dueEvents =
      Math.floor((timers.now() - startedAt) * eventsPerS / 1000) + 1;
    if (dueEvents <= sentEvents) return;
    const count = dueEvents - sentEvents;
    sentEvents = dueEvents;
    res.write(formatEvents(count));
  });
  res.on("close", () => timer.cancel());
}

function formatEvents(count: number): Buffer {
  const data = `data: {"t":${monotonicMs().toFixed(3)},"c":"token "}\n\n`;
  return Buffer.from(data.repeat(count));
}
