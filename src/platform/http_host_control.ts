/**
 * Sends commands to hosts, and requests their reports.
 *
 * @module
 */
import { Agent, buildConnector } from "undici";
import type { Outcome } from "../base/outcome.ts";
import { failure, success } from "../base/outcome.ts";
import {
  FALSE_HEAD_CODE,
  guardConnections,
} from "../base/status_line_guard.ts";
import type { Timers } from "../base/timers.ts";
import { sleep } from "../base/timers.ts";
import type {
  CommandReply,
  HostCommand,
  HostControl,
  HostControlError,
  HostRef,
} from "../ports/host_control.ts";
import {
  MAX_CONTROL_BODY_BYTES,
  MAX_HEAD_BYTES,
} from "../ports/response_limits.ts";
import type { HostReport } from "../world/serving_host.ts";
import type { JsonRequestResult } from "./json_requests.ts";
import { requestJson } from "./json_requests.ts";
import { parseHostReport } from "./host_entry.ts";
import { HEADER } from "./wire_names.ts";

const CONNECT_TIMEOUT_MS = 1_000;
const REPORT_TIMEOUT_MS = 220;
/** A report not received within this time is requested on a second connection, too. */
const REPORT_HEDGE_DELAY_MS = 70;
const COMMAND_TIMEOUT_MS = 300;
/** Short because hosts close idle connections; opening one takes a millisecond. */
const KEEP_ALIVE_MS = 500;

const REPLY_BY_STATUS: Readonly<Record<number, CommandReply>> = {
  200: "done",
  202: "begun",
  400: "unknown",
  409: "conflict",
  412: "stale",
  421: "wrong_host",
};

/** {@linkcode HostControl} over `POST /order` and `GET /report`. */
export class HttpHostControl implements HostControl {
  readonly #timers: Timers;
  readonly #agent = new Agent({
    connections: 4,
    connect: guardConnections(buildConnector({ timeout: CONNECT_TIMEOUT_MS })),
    pipelining: 1,
    maxHeaderSize: MAX_HEAD_BYTES,
    maxResponseSize: MAX_CONTROL_BODY_BYTES,
    keepAliveTimeout: KEEP_ALIVE_MS,
    keepAliveMaxTimeout: KEEP_ALIVE_MS,
  });

  constructor(timers: Timers) {
    this.#timers = timers;
  }

  async report(host: HostRef): Promise<Outcome<HostReport, HostControlError>> {
    const res = await this.#fetchReport(host);
    if (res.kind !== "answer") return failure(toHostControlError(res));
    if (REPLY_BY_STATUS[res.status] === "wrong_host") {
      return failure({ kind: "refused", detail: "the address is reused" });
    }
    const report = res.status === 200 ? parseHostReport(res.body) : undefined;
    if (report !== undefined) return success(report);
    return failure({ kind: "malformed", detail: `status ${res.status}` });
  }

  /**
   * Requests a report. Sends a second request if no response arrives within
   * {@linkcode REPORT_HEDGE_DELAY_MS}, because a packet may have been lost.
   */
  async #fetchReport(host: HostRef): Promise<JsonRequestResult> {
    const send = (timeoutMs: number) =>
      requestJson(
        this.#timers,
        this.#agent,
        "GET",
        `http://${host.address}/report`,
        timeoutMs,
        undefined,
        headersTo(host),
      );
    const first = send(REPORT_TIMEOUT_MS);
    const firstOrTimeout = await Promise.race([
      first,
      sleep(this.#timers, REPORT_HEDGE_DELAY_MS),
    ]);
    if (firstOrTimeout !== undefined) return firstOrTimeout;
    const second = send(REPORT_TIMEOUT_MS - REPORT_HEDGE_DELAY_MS);
    const winner = await Promise.race([first, second]);
    return winner.kind === "answer" ? winner : await first;
  }

  async command(
    host: HostRef,
    command: HostCommand,
    expectedSeq: number | undefined,
  ): Promise<Outcome<CommandReply, HostControlError>> {
    const url = `http://${host.address}/order`;
    const body = {
      ...toOrderBody(command),
      ...(expectedSeq === undefined ? {} : { expected: expectedSeq }),
    };
    const res = await requestJson(
      this.#timers,
      this.#agent,
      "POST",
      url,
      COMMAND_TIMEOUT_MS,
      body,
      headersTo(host),
    );
    if (res.kind !== "answer") return failure(toHostControlError(res));
    const reply = REPLY_BY_STATUS[res.status];
    if (reply !== undefined) return success(reply);
    return failure({ kind: "malformed", detail: `status ${res.status}` });
  }
}

/** Headers with which another host at a reused address rejects a request. */
function headersTo(host: HostRef): Readonly<Record<string, string>> {
  return { [HEADER.expectInstance]: host.id };
}

/** Converts a command to a request body. The platform calls a command an "order". */
function toOrderBody(command: HostCommand): Record<string, unknown> {
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

function toHostControlError(
  res: JsonRequestResult & { detail: string },
): HostControlError {
  if (res.detail === FALSE_HEAD_CODE) {
    return { kind: "malformed", detail: res.detail };
  }
  const isRefused = res.detail === "ECONNREFUSED" ||
    res.detail === "ECONNRESET";
  return { kind: isRefused ? "refused" : "silent", detail: res.detail };
}
