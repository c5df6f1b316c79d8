/**
 * Steps of platform.feature: requests that are forwarded to servers.
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
import { ServerChannels } from "../../src/platform/server_channels.ts";
import type { RelayEnd, RelayHead } from "../../src/ports/relay_client.ts";

const timers = new SystemTimers();
const HOST = "127.0.0.1";

interface Attempt {
  end: RelayEnd;
  head: RelayHead | undefined;
  body: string;
}

interface ServerChannelWorld {
  closers: (() => void)[];
  port: number;
  seen: string;
  attempts: Attempt[];
}

After(function (this: ServerChannelWorld) {
  for (const close of this.closers ?? []) close();
});

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
  world: ServerChannelWorld,
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
  function (this: ServerChannelWorld, name: string) {
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
  function (this: ServerChannelWorld) {
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

Given("no server at the address", async function (this: ServerChannelWorld) {
  await listenRaw(this, () => {});
  for (const close of this.closers) close();
  this.closers = [];
});

function forward(
  world: ServerChannelWorld,
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
  async function (this: ServerChannelWorld) {
    this.attempts = [await forward(this, "a1", ["X-Bad", "a\nb"])];
  },
);

When("a request is forwarded to it", async function (this: ServerChannelWorld) {
  this.attempts = [await forward(this, "a1")];
});

When(
  "three requests are forwarded to it one after the other",
  async function (this: ServerChannelWorld) {
    this.attempts = [];
    for (const id of ["a1", "b2", "c3"]) {
      this.attempts.push(await forward(this, id));
      await sleep(timers, id === "a1" ? 5 : 40);
    }
  },
);

Then(
  "the attempt ends as {string}",
  function (this: ServerChannelWorld, kind: string) {
    assert.equal(this.attempts[0].end.kind, kind);
    if (kind === "ended") assert.equal(this.attempts[0].body, "fine");
  },
);

Then(
  "each attempt ended with its own answer or as failed",
  function (this: ServerChannelWorld) {
    const ids = ["a1", "b2", "c3"];
    for (const [i, attempt] of this.attempts.entries()) {
      if (attempt.end.kind === "ended") assert.equal(attempt.body, ids[i]);
    }
  },
);

Then(
  "no attempt got bytes of another's answer",
  function (this: ServerChannelWorld) {
    const ids = ["a1", "b2", "c3"];
    for (const [i, attempt] of this.attempts.entries()) {
      assert.ok(["", ids[i]].includes(attempt.body), attempt.body);
    }
  },
);

Then(
  "the server saw the time left, the instance, the tenant and the client's id",
  function (this: ServerChannelWorld) {
    assert.match(this.seen, /^POST \/order\/1 HTTP\/1\.1\r\n/);
    assert.match(this.seen, /oleanderarch-deadline-ms: 700\r\n/i);
    assert.match(this.seen, /oleanderarch-expect-instance: i-1\r\n/i);
    assert.match(this.seen, /oleanderarch-tenant: bindery\r\n/i);
    assert.match(this.seen, /oleanderarch-attempt-id: a1\r\n/i);
    assert.ok(this.seen.endsWith("\r\n\r\nbody"));
  },
);
