/**
 * Orders to servers, and their reports.
 *
 * @module
 */
import { Agent } from "undici";
import type { Outcome } from "../base/outcome.ts";
import { failure, success } from "../base/outcome.ts";
import type { Timers } from "../base/timers.ts";
import { sleep } from "../base/timers.ts";
import type {
  CommandAnswer,
  HostCommand,
  HostControl,
  HostControlError,
  HostRef,
} from "../ports/host_control.ts";
import type { HostReport } from "../world/serving_host.ts";
import type { JsonAnswer } from "./json_calls.ts";
import { callJson } from "./json_calls.ts";
import { parseServerReport } from "./server_entry.ts";

const CONNECT_LIMIT_MS = 1_000;
const REPORT_LIMIT_MS = 220;
/** A report not answered by then is asked for on another channel, too. */
const ASK_TWICE_MS = 70;
const ORDER_LIMIT_MS = 300;
/** Servers close channels that stay idle; a new one costs a millisecond. */
const KEEP_CHANNEL_MS = 500;

const ANSWERS: Readonly<Record<number, CommandAnswer>> = {
  200: "done",
  202: "begun",
  400: "unknown",
  409: "conflict",
  412: "stale",
  421: "wrong_host",
};

/** {@linkcode HostControl} by orders and reports. */
export class ServerOrders implements HostControl {
  readonly #timers: Timers;
  readonly #agent = new Agent({
    connections: 4,
    connectTimeout: CONNECT_LIMIT_MS,
    pipelining: 1,
    keepAliveTimeout: KEEP_CHANNEL_MS,
    keepAliveMaxTimeout: KEEP_CHANNEL_MS,
  });

  constructor(timers: Timers) {
    this.#timers = timers;
  }

  async report(host: HostRef): Promise<Outcome<HostReport, HostControlError>> {
    const res = await this.#ask(`http://${host.address}/report`);
    if (res.kind !== "answer") return failure(lost(res));
    const report = res.status === 200 ? parseServerReport(res.body) : undefined;
    if (report !== undefined) return success(report);
    return failure({ kind: "malformed", detail: `status ${res.status}` });
  }

  /** Asks, and once more when a packet seems to be lost. */
  async #ask(url: string): Promise<JsonAnswer> {
    const first = callJson(
      this.#timers,
      this.#agent,
      "GET",
      url,
      REPORT_LIMIT_MS,
    );
    const early = await Promise.race([
      first,
      sleep(this.#timers, ASK_TWICE_MS),
    ]);
    if (early !== undefined) return early;
    const leftMs = REPORT_LIMIT_MS - ASK_TWICE_MS;
    const second = callJson(this.#timers, this.#agent, "GET", url, leftMs);
    const sooner = await Promise.race([first, second]);
    return sooner.kind === "answer" ? sooner : await first;
  }

  async command(
    host: HostRef,
    command: HostCommand,
    expectedSeq: number | undefined,
  ): Promise<Outcome<CommandAnswer, HostControlError>> {
    const url = `http://${host.address}/order`;
    const body = {
      ...orderOf(command),
      ...(expectedSeq === undefined ? {} : { expected: expectedSeq }),
    };
    const res = await callJson(
      this.#timers,
      this.#agent,
      "POST",
      url,
      ORDER_LIMIT_MS,
      body,
    );
    if (res.kind !== "answer") return failure(lost(res));
    const answer = ANSWERS[res.status];
    if (answer !== undefined) return success(answer);
    return failure({ kind: "malformed", detail: `status ${res.status}` });
  }
}

function orderOf(command: HostCommand): Record<string, unknown> {
  switch (command.kind) {
    case "join": {
      const { group, epoch, model, members } = command;
      return { operation: "join", group, epoch, model, members };
    }
    case "close": {
      const { group, epoch } = command;
      const mode = command.mode === "finish" ? "queue" : "preempt";
      return { operation: "close", group, epoch, close_mode: mode };
    }
    case "stage":
      return { operation: "stage", model: command.model };
    default: {
      const { kind, group, epoch } = command;
      return { operation: kind, group, epoch };
    }
  }
}

function lost(res: JsonAnswer & { detail: string }): HostControlError {
  const isRefused = res.detail === "ECONNREFUSED" ||
    res.detail === "ECONNRESET";
  return { kind: isRefused ? "refused" : "silent", detail: res.detail };
}
