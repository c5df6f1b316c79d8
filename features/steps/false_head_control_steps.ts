/**
 * Steps of false_heads.feature: reports, commands and calls of the store.
 *
 * @module
 */
import assert from "node:assert/strict";
import type { AddressInfo, Server, Socket } from "node:net";
import { createServer } from "node:net";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { SystemTimers } from "../../src/base/system_timers.ts";
import { sleep } from "../../src/base/timers.ts";
import { HttpEngineControl } from "../../src/adapters/http_engine_control.ts";
import { UndiciUpstreamClient } from "../../src/adapters/undici_upstream_client.ts";
import { HttpHostControl } from "../../src/platform/http_host_control.ts";
import { PlatformStore } from "../../src/platform/platform_store.ts";
import type {
  AttemptEnd,
  ResponseHead,
} from "../../src/ports/upstream_client.ts";
import type { Upstream } from "../../src/world/upstream.ts";
import {
  FALSE_STATUS_LINES,
  FOREIGN_CODINGS,
} from "../../tools/fuzz/raw_responses.ts";

const timers = new SystemTimers();
const HOST_IP = "127.0.0.1";
/** Time in which a closed connection is closed on the server's side, too. */
const CLOSE_MS = 400;

/** Bodies of successful responses, by the start of the path. */
const BODIES: Readonly<Record<string, unknown>> = {
  "/report": { seq: 3, busy: false },
  "/order": {},
  "/kv-range": { items: [], has_more: false, as_of: 7 },
  "/kv-txn": { rev: 8 },
  "/kv-lease": { lease: 4, ttl_ms: 5_000 },
  "/kv-lease-end": {},
  "/chat": {},
  "/engine": {
    hostId: "h-1",
    bootId: "b-1",
    phase: "idle",
    groupId: "",
    epoch: 0,
    running: 0,
    completed: 0,
    capacity: 4,
    weights: [],
  },
};

type Call = () => Promise<{ ok: boolean; err?: { kind: string } }>;

interface FalseHeadControlWorld {
  rawServer: Server;
  address: string;
  serverSockets: Set<Socket>;
  /** Connections on which the head was sent. */
  headSockets: Socket[];
  /** Number of requests that came on one of those connections after the head. */
  laterRequests: number;
  calls: readonly Call[];
  failures: (string | undefined)[];
}

After(function (this: FalseHeadControlWorld) {
  for (const socket of this.serverSockets ?? []) socket.destroy();
  this.rawServer?.close();
});

Given(
  "a server that responds with {string} to the first request on each path",
  async function (this: FalseHeadControlWorld, name: string) {
    const coding = FOREIGN_CODINGS.get(name);
    const line = coding === undefined
      ? FALSE_STATUS_LINES.get(name)
      : "HTTP/1.1 200 OK";
    assert.ok(line, name);
    this.serverSockets = new Set();
    this.headSockets = [];
    this.laterRequests = 0;
    const seen = new Set<string>();
    this.rawServer = createServer((socket) => {
      this.serverSockets.add(socket);
      socket.on("error", () => {});
      let text = "";
      socket.on("data", (data) => {
        text += data.toString("latin1");
        const path = completeRequestPath(text);
        if (path === undefined) return;
        text = "";
        if (this.headSockets.includes(socket)) this.laterRequests += 1;
        const isFirst = !seen.has(path);
        seen.add(path);
        if (isFirst) this.headSockets.push(socket);
        const body = JSON.stringify(BODIES[path]);
        const statusLine = isFirst ? line : "HTTP/1.1 200 OK";
        const length = `Content-Length: ${body.length}`;
        if (isFirst && coding !== undefined) {
          const chunk = `${body.length.toString(16)}\r\n${body}\r\n0\r\n\r\n`;
          socket.end(`${line}\r\n${coding}\r\n\r\n${chunk}`);
          return;
        }
        socket.write(`${statusLine}\r\n${length}\r\n\r\n${body}`);
      });
    });
    await new Promise<void>((resolve) =>
      this.rawServer.listen(0, HOST_IP, resolve)
    );
    const { port } = this.rawServer.address() as AddressInfo;
    this.address = `${HOST_IP}:${port}`;
  },
);

/** Returns the start of a complete request's path; undefined if it's incomplete. */
function completeRequestPath(text: string): string | undefined {
  const headEnd = text.indexOf("\r\n\r\n");
  if (headEnd < 0) return undefined;
  const length = Number(/content-length: (\d+)/i.exec(text)?.[1] ?? 0);
  if (text.length < headEnd + 4 + length) return undefined;
  return /^\S+ (\/[^\s/?]*)/.exec(text)?.[1];
}

/** Sends one attempt of a gateway. */
function sendAttempt(
  client: UndiciUpstreamClient,
  address: string,
): ReturnType<Call> {
  return new Promise((resolve) => {
    let head: ResponseHead | undefined;
    const onEnd = ({ kind }: AttemptEnd) => {
      const ok = kind === "ended" && head?.status === 200;
      // A head that was passed on before its attempt broke would be a fault, too.
      const failure = head === undefined ? kind : `${kind} after a head`;
      resolve(ok ? { ok } : { ok, err: { kind: failure } });
    };
    client.send({ address, epoch: 1 } as Upstream, {
      attemptId: "a-1",
      method: "POST",
      path: "/chat",
      headers: {},
      body: new Uint8Array(1),
      resumeAfter: 0,
      streaming: false,
    }, { onHead: (received) => head = received, onData() {}, onEnd });
  });
}

/** Makes calls one after the other; returns how each failed, if it did. */
async function makeCalls(
  world: FalseHeadControlWorld,
): Promise<(string | undefined)[]> {
  const kinds: (string | undefined)[] = [];
  for (const call of world.calls) {
    const res = await call();
    kinds.push(res.ok ? undefined : res.err?.kind);
  }
  return kinds;
}

When(
  "a report is requested and a join is sent",
  async function (this: FalseHeadControlWorld) {
    const control = new HttpHostControl(timers);
    const host = { id: "i-1", address: this.address };
    const group = { group: "g-1", epoch: 1, model: "small", members: ["i-1"] };
    this.calls = [
      () => control.report(host),
      () => control.command(host, { ...group, kind: "join" }, 0),
    ];
    this.failures = await makeCalls(this);
  },
);

When("a gateway sends an attempt", async function (
  this: FalseHeadControlWorld,
) {
  const client = new UndiciUpstreamClient();
  this.calls = [() => sendAttempt(client, this.address)];
  this.failures = await makeCalls(this);
});

When("a controller requests the status of an engine", async function (
  this: FalseHeadControlWorld,
) {
  const control = new HttpEngineControl();
  this.calls = [() => control.status(this.address)];
  this.failures = await makeCalls(this);
});

When(
  "keys are listed and written, and a lease is granted and ended",
  async function (this: FalseHeadControlWorld) {
    const store = new PlatformStore(timers, this.address);
    this.calls = [
      () => store.list("my/"),
      () => store.write([], [{ key: "my/a", value: "1" }], []),
      () => store.grantLease(5_000),
      () => store.endLease({ era: 0, id: 4, ttlMs: 5_000 }),
    ];
    this.failures = await makeCalls(this);
  },
);

Then(
  /^(?:both calls|all calls|the call) fails? as "([^"]+)"$/,
  function (this: FalseHeadControlWorld, kind: string) {
    assert.deepEqual(this.failures, this.calls.map(() => kind));
  },
);

Then(
  "every connection with that head is closed",
  async function (this: FalseHeadControlWorld) {
    const deadline = timers.now() + CLOSE_MS;
    const isOpen = () => this.headSockets.some((socket) => !socket.destroyed);
    while (isOpen() && timers.now() < deadline) await sleep(timers, 5);
    assert.equal(isOpen(), false);
    assert.ok(this.headSockets.length >= this.calls.length);
    assert.equal(this.laterRequests, 0);
  },
);

Then(
  "the same calls succeed afterwards",
  async function (this: FalseHeadControlWorld) {
    assert.deepEqual(await makeCalls(this), this.calls.map(() => undefined));
    assert.equal(this.laterRequests, 0);
  },
);
