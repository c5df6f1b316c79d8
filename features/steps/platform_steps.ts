import assert from "node:assert/strict";
import { Buffer } from "node:buffer";
import { createServer as createHttpServer } from "node:http";
import type { AddressInfo, Server, Socket } from "node:net";
import { connect, createServer } from "node:net";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { SystemTimers } from "../../src/base/system_timers.ts";
import { sleep } from "../../src/base/timers.ts";
import type { RelayCall, RelayReply } from "../../src/core/relay/relay_call.ts";
import { FrontDoor } from "../../src/platform/front_door.ts";
import { parseManifest } from "../../src/platform/manifest.ts";
import { PlatformStore } from "../../src/platform/platform_store.ts";
import { ServerChannels } from "../../src/platform/server_channels.ts";
import { StoreSchema } from "../../src/platform/store_schema.ts";
import type { RelayEnd, RelayHead } from "../../src/ports/relay_client.ts";
import { serveStore } from "../../src/standins/platform/store_calls.ts";
import { MemoryCoordination } from "../../src/standins/fleet/memory_coordination.ts";

const timers = new SystemTimers();
const HOST = "127.0.0.1";
const LIMITS = {
  maxHeaderBytes: 2_048,
  maxBodyBytes: 4_096,
  headerTimeoutMs: 300,
  idleTimeoutMs: 5_000,
};

interface Attempt {
  end: RelayEnd;
  head: RelayHead | undefined;
  body: string;
}

interface PlatformWorld {
  closers: (() => void)[];
  port: number;
  calls: RelayCall[];
  gone: boolean;
  raw: string;
  isClosed: boolean;
  seen: string;
  attempts: Attempt[];
  entry: string;
  state: MemoryCoordination;
  store: PlatformStore;
  results: unknown[];
}

After(function (this: PlatformWorld) {
  for (const close of this.closers ?? []) close();
});

async function openDoor(
  world: PlatformWorld,
  answer: (reply: RelayReply) => void,
): Promise<void> {
  world.calls = [];
  world.gone = false;
  world.closers = [];
  const door = new FrontDoor((call, reply) => {
    world.calls.push(call);
    answer(reply);
    return {
      callerGone: () => {
        world.gone = true;
      },
    };
  });
  door.limits = LIMITS;
  await door.listen(HOST, 0);
  world.port = door.port;
  world.closers.push(() => door.close());
}

Given(
  "a front door whose requests are answered",
  function (this: PlatformWorld) {
    return openDoor(this, (reply) => {
      reply.head(200, ["x-test", "1"]);
      reply.data(Buffer.from("fine"));
      reply.end();
    });
  },
);

Given("a front door whose requests are held", function (this: PlatformWorld) {
  return openDoor(this, () => {});
});

Given(
  "a front door whose requests are refused as {string}",
  function (this: PlatformWorld, kind: string) {
    assert.equal(kind, "overloaded");
    return openDoor(
      this,
      (reply) =>
        reply.refuse({ kind: "overloaded", detail: "full", retryAfterMs: 250 }),
    );
  },
);

Given(
  "a front door whose answers are cut after {int} bytes",
  function (this: PlatformWorld, bytes: number) {
    return openDoor(this, (reply) => {
      reply.head(200, []);
      reply.data(Buffer.alloc(bytes, "x"));
      timers.after(50, () => reply.cut());
    });
  },
);

/** Sends bytes and collects what comes until the channel ends or is idle. */
async function sendRaw(
  world: PlatformWorld,
  parts: readonly string[],
): Promise<void> {
  world.raw = "";
  world.isClosed = false;
  const socket = connect(world.port, HOST);
  socket.on("data", (data) => world.raw += data.toString("latin1"));
  socket.on("close", () => world.isClosed = true);
  socket.on("error", () => {});
  for (const part of parts) {
    if (!socket.destroyed) socket.write(part);
    await sleep(timers, 20);
  }
  for (let i = 0; i < 60 && !world.raw.includes("\r\n\r\n"); i++) {
    await sleep(timers, 20);
  }
  await sleep(timers, 120);
  world.closers.push(() => socket.destroy());
}

const ID = "Oleanderarch-Attempt-Id: a1\r\n";
const START = `POST /order/1 HTTP/1.1\r\nHost: album.example\r\n`;

const INPUTS: Readonly<Record<string, readonly string[]>> = {
  "a header over the limit": [
    `${START}${ID}X-Long: ${"x".repeat(3_000)}\r\n\r\n`,
  ],
  "a body over the limit": [`${START}${ID}Content-Length: 5000\r\n\r\n`],
  "a chunked body over the limit": [
    `${START}${ID}Transfer-Encoding: chunked\r\n\r\n`,
    `1388\r\n${"x".repeat(5_000)}\r\n`,
  ],
  "a header that never ends": [`${START}X-Slow: `],
  "a request without an id": [`${START}Content-Length: 0\r\n\r\n`],
  "bytes that are no request": ["\x16\x03\x01 nonsense\r\n\r\n"],
  "a length that is written two times": [
    `${START}${ID}Content-Length: 3\r\nContent-Length: 30\r\n\r\nabc`,
  ],
};

for (const [name, parts] of Object.entries(INPUTS)) {
  When(`a client sends ${name}`, function (this: PlatformWorld) {
    return sendRaw(this, parts);
  });
}

When("a client sends a small request", function (this: PlatformWorld) {
  return sendRaw(this, [`${START}${ID}Content-Length: 0\r\n\r\n`]);
});

When(
  "a client sends a request and closes its channel",
  async function (this: PlatformWorld) {
    const socket = connect(this.port, HOST);
    socket.write(`${START}${ID}Content-Length: 0\r\n\r\n`);
    await sleep(timers, 100);
    socket.destroy();
    await sleep(timers, 100);
  },
);

When(
  "a client sends an order with a key, a tenant of its own and hop-by-hop headers",
  function (this: PlatformWorld) {
    return sendRaw(this, [
      `${START}${ID}Authorization: Token k1\r\nOleanderarch-Tenant: other\r\n` +
      `Connection: close, X-Mine\r\nX-Mine: 1\r\nX-Kept: 2\r\n` +
      `Content-Length: 4\r\n\r\nbody`,
    ]);
  },
);

Then("it gets status {int}", function (this: PlatformWorld, status: number) {
  assert.match(this.raw, new RegExp(`^HTTP/1.1 ${status} `));
});

Then(
  "it is told to come back in {float} seconds",
  function (this: PlatformWorld, seconds: number) {
    const [, value] = /retry-after: ([\d.]+)/i.exec(this.raw) ?? [];
    assert.equal(Number(value), seconds);
  },
);

Then(
  "the call has the client's method, path, body and id",
  function (this: PlatformWorld) {
    const [call] = this.calls;
    assert.deepEqual(
      [call.method, call.target, Buffer.from(call.body).toString(), call.id],
      ["POST", "/order/1", "body", "a1"],
    );
    assert.equal(call.apiKey, "k1");
  },
);

Then(
  "the forwarded headers hold neither key nor tenant nor hop-by-hop headers",
  function (this: PlatformWorld) {
    const names = this.calls[0].headers.filter((_, i) => i % 2 === 0);
    assert.deepEqual(names, ["Host", "Oleanderarch-Attempt-Id", "X-Kept"]);
  },
);

Then(
  "the call is told that its caller has gone",
  function (this: PlatformWorld) {
    assert.equal(this.gone, true);
  },
);

Then(
  "its channel is closed without the end of the answer",
  function (this: PlatformWorld) {
    assert.equal(this.isClosed, true);
    assert.match(this.raw, /x{10}/);
    assert.ok(!this.raw.endsWith("0\r\n\r\n"));
  },
);

const SIGNED =
  "Oleanderarch-Attempt-Id: a1\r\nOleanderarch-Server-Stamp: s\r\n";
const OK = `HTTP/1.1 200 OK\r\n${SIGNED}`;

interface ServerAnswer {
  readonly bytes: string;
  readonly after: "keep" | "close" | "reset";
}

const ANSWERS: Readonly<Record<string, ServerAnswer>> = {
  "whole with a length": {
    bytes: `${OK}Content-Length: 4\r\n\r\nfine`,
    after: "keep",
  },
  "whole in chunks": {
    bytes: `${OK}Transfer-Encoding: chunked\r\n\r\n4\r\nfine\r\n0\r\n\r\n`,
    after: "keep",
  },
  "whole without a length, then closes": {
    bytes: `${OK}Connection: close\r\n\r\nfine`,
    after: "close",
  },
  "half of its length, then closes": {
    bytes: `${OK}Content-Length: 8\r\n\r\nfine`,
    after: "close",
  },
  "half of its chunks, then closes": {
    bytes: `${OK}Transfer-Encoding: chunked\r\n` +
      "Connection: close\r\n\r\n4\r\nfine\r\n",
    after: "close",
  },
  "without a length, then resets": {
    bytes: `${OK}Connection: close\r\n\r\nfine`,
    after: "reset",
  },
  "with another request's id": {
    bytes: `${OK.replace("a1", "b2")}Content-Length: 4\r\n\r\nfine`,
    after: "keep",
  },
  "without a signature": {
    bytes: "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfine",
    after: "keep",
  },
  "with bytes that are no answer": {
    bytes: "\x00\x01\x02\r\n\r\n",
    after: "keep",
  },
  "nothing and closes": { bytes: "", after: "close" },
};

async function listenRaw(
  world: PlatformWorld,
  onRequest: (socket: Socket) => void,
): Promise<void> {
  world.closers = [];
  world.seen = "";
  const sockets = new Set<Socket>();
  const server: Server = createServer((socket) => {
    sockets.add(socket);
    socket.on("error", () => {});
    socket.on("data", (data) => {
      world.seen += data.toString("latin1");
      if (data.includes("\r\n\r\n")) onRequest(socket);
    });
  });
  await new Promise<void>((resolve) => server.listen(0, HOST, resolve));
  world.port = (server.address() as AddressInfo).port;
  world.closers.push(() => {
    for (const socket of sockets) socket.destroy();
    server.close();
  });
}

Given(
  "a server that answers {string}",
  function (this: PlatformWorld, name: string) {
    const { bytes, after } = ANSWERS[name];
    return listenRaw(this, (socket) => {
      if (bytes !== "") socket.write(bytes);
      if (after === "close") socket.end();
      if (after === "reset") timers.after(40, () => socket.resetAndDestroy());
    });
  },
);

Given(
  "a server that sends a second answer after each answer",
  function (this: PlatformWorld) {
    return listenRaw(this, (socket) => {
      const id = /Attempt-Id: (\w+)/i.exec(this.seen.split("POST").at(-1) ?? "")
        ?.[1];
      const answer = `HTTP/1.1 200 OK\r\nOleanderarch-Attempt-Id: ${id}\r\n` +
        `Oleanderarch-Server-Stamp: s\r\nContent-Length: 2\r\n\r\n${id}`;
      socket.write(answer);
      timers.after(15, () => socket.write(answer));
    });
  },
);

Given("no server at the address", async function (this: PlatformWorld) {
  await listenRaw(this, () => {});
  for (const close of this.closers) close();
  this.closers = [];
});

function forward(
  world: PlatformWorld,
  requestId: string,
  headers: readonly string[] = [],
): Promise<Attempt> {
  return new Promise((resolve) => {
    const attempt: Attempt = {
      end: { kind: "ended" },
      head: undefined,
      body: "",
    };
    new ServerChannelsOnce(world.port).client.send(
      { id: "i-1", address: `${HOST}:${world.port}` },
      {
        requestId,
        method: "POST",
        path: "/order/1",
        headers: [
          "Host",
          "album.example",
          "Oleanderarch-Attempt-Id",
          requestId,
          ...headers,
        ],
        body: Buffer.from("body"),
        deadlineMs: 700,
        customer: "bindery",
        lastEventId: undefined,
        urgency: 1,
        idempotent: true,
      },
      {
        onHead: (head) => attempt.head = head,
        onData: (chunk) => attempt.body += Buffer.from(chunk).toString(),
        onEnd: (end) => {
          attempt.end = end;
          resolve(attempt);
        },
      },
    );
  });
}

/** One client for each port, so that channels are kept between requests. */
class ServerChannelsOnce {
  static readonly #clients = new Map<number, ServerChannels>();
  readonly client: ServerChannels;

  constructor(port: number) {
    this.client = ServerChannelsOnce.#clients.get(port) ?? new ServerChannels();
    ServerChannelsOnce.#clients.set(port, this.client);
  }
}

When(
  "a request with a header that can't be sent is forwarded to it",
  async function (this: PlatformWorld) {
    this.attempts = [await forward(this, "a1", ["X-Bad", "a\nb"])];
  },
);

When("a request is forwarded to it", async function (this: PlatformWorld) {
  this.attempts = [await forward(this, "a1")];
});

When(
  "three requests are forwarded to it one after the other",
  async function (this: PlatformWorld) {
    this.attempts = [];
    for (const id of ["a1", "b2", "c3"]) {
      this.attempts.push(await forward(this, id));
      await sleep(timers, id === "a1" ? 5 : 40);
    }
  },
);

Then(
  "the attempt ends as {string}",
  function (this: PlatformWorld, kind: string) {
    assert.equal(this.attempts[0].end.kind, kind);
    if (kind === "ended") assert.equal(this.attempts[0].body, "fine");
  },
);

Then(
  "each attempt ended with its own answer or as failed",
  function (this: PlatformWorld) {
    const ids = ["a1", "b2", "c3"];
    for (const [i, attempt] of this.attempts.entries()) {
      if (attempt.end.kind === "ended") assert.equal(attempt.body, ids[i]);
    }
  },
);

Then(
  "no attempt got bytes of another's answer",
  function (this: PlatformWorld) {
    const ids = ["a1", "b2", "c3"];
    for (const [i, attempt] of this.attempts.entries()) {
      assert.ok(["", ids[i]].includes(attempt.body), attempt.body);
    }
  },
);

Then(
  "the server saw the time left, the instance, the tenant and the client's id",
  function (this: PlatformWorld) {
    assert.match(this.seen, /^POST \/order\/1 HTTP\/1\.1\r\n/);
    assert.match(this.seen, /oleanderarch-deadline-ms: 700\r\n/i);
    assert.match(this.seen, /oleanderarch-expect-instance: i-1\r\n/i);
    assert.match(this.seen, /oleanderarch-tenant: bindery\r\n/i);
    assert.match(this.seen, /oleanderarch-attempt-id: a1\r\n/i);
    assert.ok(this.seen.endsWith("\r\n\r\nbody"));
  },
);

const ENTRY = {
  service: "pool",
  address: "10.1.64.46:8646",
  zone: "valley-a",
  version: "v1",
  slots: 18,
  state: "ready",
  cold_left_ms: 0,
  stage: "both",
  domain: "valley-a-d0",
  models: [{ name: "large", version: 1, adapters: [] }],
  staged: ["large"],
  group: { name: "g-1", epoch: 7, rank: 0, state: "open" },
  seq: 4,
  born: 1_790_032_699_014,
};

const ENTRIES: Readonly<Record<string, string>> = {
  "as it is": JSON.stringify(ENTRY),
  "with no address": JSON.stringify({ ...ENTRY, address: undefined }),
  "with an address that is a number": JSON.stringify({ ...ENTRY, address: 7 }),
  "with an unknown state": JSON.stringify({ ...ENTRY, state: "asleep" }),
  "with no slots": JSON.stringify({ ...ENTRY, slots: 0 }),
  "that is no JSON": "\x00{",
  "of a group without an epoch": JSON.stringify({
    ...ENTRY,
    group: { name: "g-1" },
  }),
};

Given(
  "the example entry of a server, {string}",
  function (this: PlatformWorld, name: string) {
    this.entry = ENTRIES[name];
  },
);

Then("it names no server", function (this: PlatformWorld) {
  const value = Buffer.from(this.entry, "latin1");
  assert.equal(new StoreSchema().parseHost("servers/i-1", value), undefined);
});

Then("it names a host that may serve", function (this: PlatformWorld) {
  const value = Buffer.from(this.entry);
  const host = new StoreSchema().parseHost("servers/i-1", value);
  assert.equal(host?.id, "i-1");
  assert.deepEqual(host?.membership, {
    group: "g-1",
    epoch: 7,
    rank: 0,
    state: "open",
  });
});

Then(
  "the example manifest becomes a catalog with its routes, engines and keys",
  function (this: PlatformWorld) {
    const catalog = parseManifest({
      version: 7,
      routes: [{
        name: "r1",
        host: "Album.example",
        path_prefix: "/a/",
        kind: "streaming",
        timeout_ms: 8_000,
        goal_ms: 300,
        priority: 1,
        traffic_split: [
          { service: "pool", weight: 90 },
          { service: "other", weight: 10 },
        ],
        attempts: 2,
        resumable: true,
        gap_target_ms: 250,
      }],
      services: [{ name: "pool", health: "/health", max_conns: 10 }],
      limits: {
        max_header_bytes: 1,
        max_body_bytes: 2,
        header_timeout_ms: 3,
        idle_timeout_ms: 4,
      },
      tenants: [{ name: "t1", keys: ["k1"] }],
    });
    const [route] = catalog?.routes ?? [];
    assert.equal(route.hostName, "album.example");
    assert.equal(route.gapMs, 250);
    assert.deepEqual(route.targets.map((t) => t.weight), [90, 10]);
    assert.deepEqual(catalog?.customers?.[0].keys, ["k1"]);
    assert.equal(parseManifest({ version: "7" }), undefined);
  },
);

Given("a store over HTTP", async function (this: PlatformWorld) {
  this.closers = [];
  this.results = [];
  this.state = new MemoryCoordination(timers);
  const server = createHttpServer(serveStore(this.state));
  await new Promise<void>((resolve) => server.listen(0, HOST, resolve));
  const { port } = server.address() as AddressInfo;
  this.store = new PlatformStore(`${HOST}:${port}`);
  this.closers.push(() => {
    server.closeAllConnections();
    server.close();
  });
});

When(
  "keys are written under a condition, listed, watched and leased",
  async function (this: PlatformWorld) {
    const { store } = this;
    const lease = await store.grantLease(5_000);
    assert.ok(lease.ok);
    const put = { key: "my/a", value: "1", leaseId: lease.value.id };
    const condition = { key: "my/a", revision: 0 };
    this.results.push(await store.write([condition], [put], []));
    this.results.push(await store.write([condition], [put], []));
    const listed = await store.list("my/");
    assert.ok(listed.ok);
    this.results.push(listed.value.items.map((item) => item.key));
    const watched = store.changes("my/", listed.value.asOf, 2_000);
    await sleep(timers, 50);
    this.state.put("my/b", 2);
    const changes = await watched;
    assert.ok(changes.ok);
    this.results.push(changes.value.events.map((change) => change.key));
    this.results.push(await store.renewLease(lease.value.id));
    this.results.push(await store.renewLease(999));
    await store.endLease(lease.value.id);
    this.results.push(this.state.valueOf("my/a"));
  },
);

Then("each call gives what the store holds", function (this: PlatformWorld) {
  const [written, conflict, listed, changed, renewed, lapsed, ended] = this
    .results as { ok: boolean; value: { kind: string } }[];
  assert.equal(written.value.kind, "written");
  assert.equal(conflict.value.kind, "conflict");
  assert.deepEqual(listed, ["my/a"]);
  assert.deepEqual(changed, ["my/b"]);
  assert.deepEqual(renewed, { ok: true, value: true });
  assert.deepEqual(lapsed, { ok: true, value: false });
  assert.equal(ended, undefined);
});

Then(
  "a refused call had no effect, a call without an answer is ambiguous",
  async function (this: PlatformWorld) {
    this.state.faults.down = true;
    const put = { key: "my/c", value: "3" };
    const refused = await this.store.write([], [put], []);
    assert.ok(!refused.ok && refused.err.kind === "unavailable");
    assert.equal(this.state.valueOf("my/c"), undefined);
    this.state.faults.down = false;
    this.state.faults.loseNextWriteAnswer = true;
    const lost = await this.store.write([], [put], []);
    assert.ok(!lost.ok && lost.err.kind === "ambiguous");
    assert.equal(this.state.valueOf("my/c"), "3");
  },
);
