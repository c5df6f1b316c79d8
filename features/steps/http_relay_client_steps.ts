/**
 * Steps of platform.feature: requests that are forwarded to hosts.
 *
 * @module
 */
import assert from "node:assert/strict";
import { Buffer } from "node:buffer";
import type { AddressInfo, Server, Socket } from "node:net";
import { createServer } from "node:net";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { SystemTimers } from "../../src/base/system_timers.ts";
import { sleep } from "../../src/base/timers.ts";
import { HttpRelayClient } from "../../src/platform/http_relay_client.ts";
import type { RelayEnd, RelayHead } from "../../src/ports/relay_client.ts";

const timers = new SystemTimers();
const HOST = "127.0.0.1";

interface Attempt {
  end: RelayEnd;
  head: RelayHead | undefined;
  body: string;
}

interface RelayClientWorld {
  closers: (() => void)[];
  port: number;
  received: string;
  attempts: Attempt[];
}

After(function (this: RelayClientWorld) {
  for (const close of this.closers ?? []) close();
});

const ID_AND_STAMP_HEADERS =
  "Oleanderarch-Attempt-Id: a1\r\nOleanderarch-Server-Stamp: s\r\n";
const STAMPED_OK = `HTTP/1.1 200 OK\r\n${ID_AND_STAMP_HEADERS}`;

interface RawResponse {
  readonly bytes: string;
  /** What the host does with the connection after it has sent the bytes. */
  readonly after: "keep" | "close" | "reset";
}

const RESPONSES: Readonly<Record<string, RawResponse>> = {
  "complete, with a length": {
    bytes: `${STAMPED_OK}Content-Length: 4\r\n\r\nfine`,
    after: "keep",
  },
  "complete, in chunks": {
    bytes:
      `${STAMPED_OK}Transfer-Encoding: chunked\r\n\r\n4\r\nfine\r\n0\r\n\r\n`,
    after: "keep",
  },
  "complete, without a length, then closes": {
    bytes: `${STAMPED_OK}Connection: close\r\n\r\nfine`,
    after: "close",
  },
  "half of its length, then closes": {
    bytes: `${STAMPED_OK}Content-Length: 8\r\n\r\nfine`,
    after: "close",
  },
  "half of its chunks, then closes": {
    bytes: `${STAMPED_OK}Transfer-Encoding: chunked\r\n` +
      "Connection: close\r\n\r\n4\r\nfine\r\n",
    after: "close",
  },
  "without a length, then resets": {
    bytes: `${STAMPED_OK}Connection: close\r\n\r\nfine`,
    after: "reset",
  },
  "with another request's id": {
    bytes: `${STAMPED_OK.replace("a1", "b2")}Content-Length: 4\r\n\r\nfine`,
    after: "keep",
  },
  "without a server stamp": {
    bytes: "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfine",
    after: "keep",
  },
  "with bytes that are not HTTP": {
    bytes: "\x00\x01\x02\r\n\r\n",
    after: "keep",
  },
  "with nothing, then closes": { bytes: "", after: "close" },
};

async function startRawServer(
  world: RelayClientWorld,
  onRequest: (socket: Socket) => void,
): Promise<void> {
  world.closers = [];
  world.received = "";
  const sockets = new Set<Socket>();
  const server: Server = createServer((socket) => {
    sockets.add(socket);
    socket.on("error", () => {});
    socket.on("data", (data) => {
      world.received += data.toString("latin1");
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
  "a host that responds {string}",
  function (this: RelayClientWorld, name: string) {
    const { bytes, after } = RESPONSES[name];
    return startRawServer(this, (socket) => {
      if (bytes !== "") socket.write(bytes);
      if (after === "close") socket.end();
      // The client must read the bytes first, as a reset discards unread ones.
      if (after === "reset") timers.after(40, () => socket.resetAndDestroy());
    });
  },
);

Given(
  "a host that sends a second response after each response",
  function (this: RelayClientWorld) {
    return startRawServer(this, (socket) => {
      const id = /Attempt-Id: (\w+)/i.exec(
        this.received.split("POST").at(-1) ?? "",
      )
        ?.[1];
      const response = `HTTP/1.1 200 OK\r\nOleanderarch-Attempt-Id: ${id}\r\n` +
        `Oleanderarch-Server-Stamp: s\r\nContent-Length: 2\r\n\r\n${id}`;
      socket.write(response);
      timers.after(15, () => socket.write(response));
    });
  },
);

Given("no host at the address", async function (this: RelayClientWorld) {
  await startRawServer(this, () => {});
  for (const close of this.closers) close();
  this.closers = [];
});

function forward(
  world: RelayClientWorld,
  requestId: string,
  headers: readonly string[] = [],
  mayStart = () => true,
): Promise<Attempt> {
  return new Promise((resolve) => {
    const attempt: Attempt = {
      end: { kind: "ended" },
      head: undefined,
      body: "",
    };
    new ClientForPort(world.port).client.send(
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
        priority: 1,
        idempotent: true,
        mayStart,
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

/** Keeps one client per port, so that connections are reused between requests. */
class ClientForPort {
  static readonly #clients = new Map<number, HttpRelayClient>();
  readonly client: HttpRelayClient;

  constructor(port: number) {
    this.client = ClientForPort.#clients.get(port) ??
      new HttpRelayClient(timers);
    ClientForPort.#clients.set(port, this.client);
  }
}

When(
  "a request with a header that can't be sent is forwarded to it",
  async function (this: RelayClientWorld) {
    this.attempts = [await forward(this, "a1", ["X-Bad", "a\nb"])];
  },
);

When(
  "the host leaves while a connection for a request to it is opened",
  async function (this: RelayClientWorld) {
    let isServing = true;
    const attempt = forward(this, "a1", [], () => isServing);
    isServing = false;
    this.attempts = [await attempt];
  },
);

When(
  "the host leaves while a connection to it is idle, and a request is forwarded to it",
  async function (this: RelayClientWorld) {
    await forward(this, "a1");
    this.received = "";
    this.attempts = [await forward(this, "a1", [], () => false)];
  },
);

Then("the host received nothing", async function (this: RelayClientWorld) {
  await sleep(timers, 30);
  assert.equal(this.received, "");
});

When("a request is forwarded to it", async function (this: RelayClientWorld) {
  this.attempts = [await forward(this, "a1")];
});

When(
  "three requests are forwarded to it one after the other",
  async function (this: RelayClientWorld) {
    this.attempts = [];
    for (const id of ["a1", "b2", "c3"]) {
      this.attempts.push(await forward(this, id));
      // Request b2 is sent before the second response to a1, and c3 after the one to b2.
      await sleep(timers, id === "a1" ? 5 : 40);
    }
  },
);

Then(
  "the attempt ends as {string}",
  function (this: RelayClientWorld, kind: string) {
    assert.equal(this.attempts[0].end.kind, kind);
    if (kind === "ended") assert.equal(this.attempts[0].body, "fine");
  },
);

Then(
  "each attempt ended with its own response or failed",
  function (this: RelayClientWorld) {
    const ids = ["a1", "b2", "c3"];
    for (const [i, attempt] of this.attempts.entries()) {
      if (attempt.end.kind === "ended") assert.equal(attempt.body, ids[i]);
    }
  },
);

Then(
  "no attempt received bytes of another's response",
  function (this: RelayClientWorld) {
    const ids = ["a1", "b2", "c3"];
    for (const [i, attempt] of this.attempts.entries()) {
      assert.ok(["", ids[i]].includes(attempt.body), attempt.body);
    }
  },
);

Then(
  "the host received the remaining time, its own id, the tenant and the request id",
  function (this: RelayClientWorld) {
    assert.match(this.received, /^POST \/order\/1 HTTP\/1\.1\r\n/);
    assert.match(this.received, /oleanderarch-deadline-ms: 700\r\n/i);
    assert.match(this.received, /oleanderarch-expect-instance: i-1\r\n/i);
    assert.match(this.received, /oleanderarch-tenant: bindery\r\n/i);
    assert.match(this.received, /oleanderarch-attempt-id: a1\r\n/i);
    assert.ok(this.received.endsWith("\r\n\r\nbody"));
  },
);
