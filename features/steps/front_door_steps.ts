/**
 * Steps of platform.feature: what clients send and get.
 *
 * @module
 */
import assert from "node:assert/strict";
import { Buffer } from "node:buffer";
import { connect } from "node:net";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { SystemTimers } from "../../src/base/system_timers.ts";
import { sleep } from "../../src/base/timers.ts";
import type { RelayCall, RelayReply } from "../../src/core/relay/relay_call.ts";
import { FrontDoor } from "../../src/platform/front_door.ts";

const timers = new SystemTimers();
const HOST = "127.0.0.1";
const LIMITS = {
  maxHeaderBytes: 2_048,
  maxBodyBytes: 4_096,
  headerTimeoutMs: 300,
  idleTimeoutMs: 5_000,
};

interface FrontDoorWorld {
  closers: (() => void)[];
  port: number;
  calls: RelayCall[];
  gone: boolean;
  raw: string;
  isClosed: boolean;
}

After(function (this: FrontDoorWorld) {
  for (const close of this.closers ?? []) close();
});

async function openDoor(
  world: FrontDoorWorld,
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
  function (this: FrontDoorWorld) {
    return openDoor(this, (reply) => {
      reply.head(200, ["x-test", "1"]);
      reply.data(Buffer.from("fine"));
      reply.end();
    });
  },
);

Given("a front door whose requests are held", function (this: FrontDoorWorld) {
  return openDoor(this, () => {});
});

Given(
  "a front door whose requests are refused as {string}",
  function (this: FrontDoorWorld, kind: string) {
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
  function (this: FrontDoorWorld, bytes: number) {
    return openDoor(this, (reply) => {
      reply.head(200, []);
      reply.data(Buffer.alloc(bytes, "x"));
      timers.after(50, () => reply.cut());
    });
  },
);

/** Sends bytes and collects what comes until the channel ends or is idle. */
async function sendRaw(
  world: FrontDoorWorld,
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
  When(`a client sends ${name}`, function (this: FrontDoorWorld) {
    return sendRaw(this, parts);
  });
}

When("a client sends a small request", function (this: FrontDoorWorld) {
  return sendRaw(this, [`${START}${ID}Content-Length: 0\r\n\r\n`]);
});

When(
  "a client sends a request and closes its channel",
  async function (this: FrontDoorWorld) {
    const socket = connect(this.port, HOST);
    socket.write(`${START}${ID}Content-Length: 0\r\n\r\n`);
    await sleep(timers, 100);
    socket.destroy();
    await sleep(timers, 100);
  },
);

When(
  "a client sends an order with a key, a tenant of its own and hop-by-hop headers",
  function (this: FrontDoorWorld) {
    return sendRaw(this, [
      `${START}${ID}Authorization: Token k1\r\nOleanderarch-Tenant: other\r\n` +
      `Connection: close, X-Mine\r\nX-Mine: 1\r\nX-Kept: 2\r\n` +
      `Content-Length: 4\r\n\r\nbody`,
    ]);
  },
);

Then("it gets status {int}", function (this: FrontDoorWorld, status: number) {
  assert.match(this.raw, new RegExp(`^HTTP/1.1 ${status} `));
});

Then(
  "it is told to come back in {float} seconds",
  function (this: FrontDoorWorld, seconds: number) {
    const [, value] = /retry-after: ([\d.]+)/i.exec(this.raw) ?? [];
    assert.equal(Number(value), seconds);
  },
);

Then(
  "the call has the client's method, path, body and id",
  function (this: FrontDoorWorld) {
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
  function (this: FrontDoorWorld) {
    const names = this.calls[0].headers.filter((_, i) => i % 2 === 0);
    assert.deepEqual(names, ["Host", "Oleanderarch-Attempt-Id", "X-Kept"]);
  },
);

Then(
  "the call is told that its caller has gone",
  function (this: FrontDoorWorld) {
    assert.equal(this.gone, true);
  },
);

Then(
  "its channel is closed without the end of the answer",
  function (this: FrontDoorWorld) {
    assert.equal(this.isClosed, true);
    assert.match(this.raw, /x{10}/);
    assert.ok(!this.raw.endsWith("0\r\n\r\n"));
  },
);
