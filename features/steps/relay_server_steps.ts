/**
 * Steps of platform.feature: callers' requests and the responses to them.
 *
 * @module
 */
import assert from "node:assert/strict";
import { Buffer } from "node:buffer";
import { connect } from "node:net";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { SystemTimers } from "../../src/base/system_timers.ts";
import { sleep } from "../../src/base/timers.ts";
import type {
  RelayRequest,
  RelayResponse,
} from "../../src/core/relay/relay_request.ts";
import { RelayServer } from "../../src/platform/relay_server.ts";

const timers = new SystemTimers();
const HOST = "127.0.0.1";
const LIMITS = {
  maxHeaderBytes: 2_048,
  maxBodyBytes: 4_096,
  headerTimeoutMs: 300,
  idleTimeoutMs: 5_000,
};

interface RelayServerWorld {
  closers: (() => void)[];
  port: number;
  requests: RelayRequest[];
  callerDisconnected: boolean;
  errors: unknown[];
  received: string;
  isClosed: boolean;
}

After(function (this: RelayServerWorld) {
  for (const close of this.closers ?? []) close();
});

async function startServer(
  world: RelayServerWorld,
  handle: (response: RelayResponse) => void,
  onError?: (err: unknown) => void,
): Promise<void> {
  world.requests = [];
  world.callerDisconnected = false;
  world.closers = [];
  const server = new RelayServer((request, response) => {
    world.requests.push(request);
    handle(response);
    return {
      onCallerDisconnected: () => {
        world.callerDisconnected = true;
      },
    };
  }, onError);
  server.limits = LIMITS;
  await server.listen(HOST, 0);
  world.port = server.port;
  world.closers.push(() => server.close());
}

Given(
  "a relay server that responds to requests",
  function (this: RelayServerWorld) {
    return startServer(this, (response) => {
      response.writeHead(200, ["x-test", "1"]);
      response.write(Buffer.from("fine"));
      response.end();
    });
  },
);

Given(
  "a relay server that fails unexpectedly on its first request",
  function (this: RelayServerWorld) {
    this.errors = [];
    return startServer(this, (response) => {
      if (this.requests.length === 1) throw new Error("unexpected");
      response.writeHead(200, ["x-test", "1"]);
      response.write(Buffer.from("fine"));
      response.end();
    }, (err) => this.errors.push(err));
  },
);

Then("the error is reported once", function (this: RelayServerWorld) {
  assert.equal(this.errors.length, 1);
});

Given(
  "a relay server that leaves requests pending",
  function (this: RelayServerWorld) {
    return startServer(this, () => {});
  },
);

Given(
  "a relay server that refuses requests as {string}",
  function (this: RelayServerWorld, kind: string) {
    assert.equal(kind, "overloaded");
    return startServer(
      this,
      (response) =>
        response.refuse({
          kind: "overloaded",
          detail: "full",
          retryAfterMs: 250,
        }),
    );
  },
);

Given(
  "a relay server that aborts responses after {int} bytes",
  function (this: RelayServerWorld, bytes: number) {
    return startServer(this, (response) => {
      response.writeHead(200, []);
      response.write(Buffer.alloc(bytes, "x"));
      timers.after(50, () => response.abort());
    });
  },
);

/** Sends bytes, and collects the response until shortly after its header. */
async function sendRaw(
  world: RelayServerWorld,
  parts: readonly string[],
): Promise<void> {
  world.received = "";
  world.isClosed = false;
  const socket = connect(world.port, HOST);
  socket.on("data", (data) => world.received += data.toString("latin1"));
  socket.on("close", () => world.isClosed = true);
  socket.on("error", () => {});
  for (const part of parts) {
    if (!socket.destroyed) socket.write(part);
    await sleep(timers, 20);
  }
  for (let i = 0; i < 60 && !world.received.includes("\r\n\r\n"); i++) {
    await sleep(timers, 20);
  }
  await sleep(timers, 120);
  world.closers.push(() => socket.destroy());
}

const ID_HEADER = "Oleanderarch-Attempt-Id: a1\r\n";
const REQUEST_START = `POST /order/1 HTTP/1.1\r\nHost: album.example\r\n`;

const INPUTS: Readonly<Record<string, readonly string[]>> = {
  "a header over the limit": [
    `${REQUEST_START}${ID_HEADER}X-Long: ${"x".repeat(3_000)}\r\n\r\n`,
  ],
  "a body over the limit": [
    `${REQUEST_START}${ID_HEADER}Content-Length: 5000\r\n\r\n`,
  ],
  "a chunked body over the limit": [
    `${REQUEST_START}${ID_HEADER}Transfer-Encoding: chunked\r\n\r\n`,
    // The chunk size is hexadecimal: 5,000 bytes.
    `1388\r\n${"x".repeat(5_000)}\r\n`,
  ],
  "a header that never ends": [`${REQUEST_START}X-Slow: `],
  "a request without an id": [`${REQUEST_START}Content-Length: 0\r\n\r\n`],
  "bytes that are not HTTP": ["\x16\x03\x01 nonsense\r\n\r\n"],
  "two Content-Length headers": [
    `${REQUEST_START}${ID_HEADER}Content-Length: 3\r\nContent-Length: 30\r\n\r\nabc`,
  ],
};

for (const [name, parts] of Object.entries(INPUTS)) {
  When(`the relay server receives ${name}`, function (this: RelayServerWorld) {
    return sendRaw(this, parts);
  });
}

When("a caller sends a small request", function (this: RelayServerWorld) {
  return sendRaw(this, [
    `${REQUEST_START}${ID_HEADER}Content-Length: 0\r\n\r\n`,
  ]);
});

When(
  "a caller sends a request and closes its connection",
  async function (this: RelayServerWorld) {
    const socket = connect(this.port, HOST);
    socket.write(`${REQUEST_START}${ID_HEADER}Content-Length: 0\r\n\r\n`);
    await sleep(timers, 100);
    socket.destroy();
    await sleep(timers, 100);
  },
);

When(
  "a caller sends a request with a key, a tenant of its own and hop-by-hop headers",
  function (this: RelayServerWorld) {
    return sendRaw(this, [
      `${REQUEST_START}${ID_HEADER}Authorization: Token k1\r\nOleanderarch-Tenant: other\r\n` +
      `Connection: close, X-Mine\r\nX-Mine: 1\r\nX-Kept: 2\r\n` +
      `Content-Length: 4\r\n\r\nbody`,
    ]);
  },
);

Then(
  "the caller receives status {int}",
  function (this: RelayServerWorld, status: number) {
    assert.match(this.received, new RegExp(`^HTTP/1.1 ${status} `));
  },
);

Then(
  "the caller receives a retry delay of {float} seconds",
  function (this: RelayServerWorld, seconds: number) {
    const [, value] = /retry-after: ([\d.]+)/i.exec(this.received) ?? [];
    assert.equal(Number(value), seconds);
  },
);

Then(
  "the relayed request has the caller's method, path, body and id",
  function (this: RelayServerWorld) {
    const [request] = this.requests;
    assert.deepEqual(
      [
        request.method,
        request.target,
        Buffer.from(request.body).toString(),
        request.id,
      ],
      ["POST", "/order/1", "body", "a1"],
    );
    assert.equal(request.apiKey, "k1");
  },
);

Then(
  "the forwarded headers include neither key nor tenant nor hop-by-hop headers",
  function (this: RelayServerWorld) {
    const names = this.requests[0].headers.filter((_, i) => i % 2 === 0);
    assert.deepEqual(names, ["Host", "Oleanderarch-Attempt-Id", "X-Kept"]);
  },
);

Then(
  "the relay is notified that the caller has disconnected",
  function (this: RelayServerWorld) {
    assert.equal(this.callerDisconnected, true);
  },
);

Then(
  "the caller's connection is closed without the end of the response",
  function (this: RelayServerWorld) {
    assert.equal(this.isClosed, true);
    assert.match(this.received, /x{10}/);
    assert.ok(!this.received.endsWith("0\r\n\r\n"));
  },
);
