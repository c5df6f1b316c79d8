/**
 * Steps of departed_callers.feature: a relay behind its server, over loopback
 * sockets.
 *
 * @module
 */
import assert from "node:assert/strict";
import type { Socket } from "node:net";
import { connect } from "node:net";
import { performance } from "node:perf_hooks";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { LoopMonitor } from "../../src/base/loop_monitor.ts";
import { SystemTimers } from "../../src/base/system_timers.ts";
import { sleep } from "../../src/base/timers.ts";
import { RelayServer } from "../../src/platform/relay_server.ts";
import { RelayFixture } from "./relay_fixture.ts";

const HOST = "127.0.0.1";
const CALLERS = 20;
/** Longer than a stand-in takes to begin its responses. */
const SETTLE_MS = 150;
/** Time in which requests are sent to upstreams, and none fails. */
const SENT_AFTER_MS = 20;

interface DepartedCallerWorld {
  fixture: RelayFixture<SystemTimers>;
  server: RelayServer;
  sockets: Socket[];
  /** Requests that upstreams received after the loop was blocked. */
  receivedCount: number;
}

After(function (this: DepartedCallerWorld) {
  for (const socket of this.sockets ?? []) socket.destroy();
  this.server?.close();
});

Given(
  "a relay behind a server on loopback",
  async function (this: DepartedCallerWorld) {
    const fixture = new RelayFixture(new SystemTimers());
    const monitor = new LoopMonitor(fixture.timers);
    monitor.start();
    fixture.loopLag = monitor;
    this.fixture = fixture;
    this.server = new RelayServer((request, response) =>
      fixture.relay.handle(request, response)
    );
    await this.server.listen(HOST, 0);
    this.sockets = await Promise.all(
      Array.from({ length: CALLERS }, () => connectTo(this.server.port)),
    );
    await sleep(fixture.timers, SETTLE_MS);
  },
);

function connectTo(port: number): Promise<Socket> {
  return new Promise((resolve) => {
    const socket = connect(port, HOST, () => resolve(socket));
    socket.on("error", () => {});
  });
}

function sendRequest(socket: Socket, id: string): void {
  socket.write(
    `POST /draft/${id} HTTP/1.1\r\nHost: album.example\r\n` +
      `Oleanderarch-Attempt-Id: ${id}\r\nOleanderarch-Model: small\r\n` +
      `Oleanderarch-Token-Count: 600,80\r\nOleanderarch-Deadline-Ms: 8000\r\n` +
      `Authorization: Token bindery-key\r\nContent-Length: 4\r\n\r\nbody`,
  );
}

function sendRequests({ sockets }: DepartedCallerWorld): void {
  for (const [i, socket] of sockets.entries()) sendRequest(socket, `r${i}`);
}

/** Blocks the loop, and counts the requests that upstreams receive from then on. */
async function blockLoop(
  world: DepartedCallerWorld,
  ms: number,
  callersDisconnect: boolean,
): Promise<void> {
  const { attempts } = world.fixture.upstreams;
  const countBefore = attempts.length;
  if (callersDisconnect) {
    for (const socket of world.sockets) {
      socket.destroy();
    }
  }
  const until = performance.now() + ms;
  while (performance.now() < until);
  await sleep(world.fixture.timers, SETTLE_MS);
  world.receivedCount = attempts.length - countBefore;
}

When(
  /^the event loop is blocked for (\d+) milliseconds in which 20 callers send requests( and disconnect)?$/,
  function (this: DepartedCallerWorld, ms: string, disconnect: string | null) {
    this.fixture.addGroups(4, "small");
    sendRequests(this);
    return blockLoop(this, Number(ms), disconnect !== null);
  },
);

When(
  /^the event loop is blocked for (\d+) milliseconds in which 20 requests fail( and their callers disconnect)?$/,
  async function (
    this: DepartedCallerWorld,
    ms: string,
    disconnect: string | null,
  ) {
    const { fixture } = this;
    fixture.addGroups(4, "small");
    for (let group = 0; group < 2; group++) {
      const script = { kind: "reset_before_response" } as const;
      fixture.upstreams.setScript(`i-${group}-0`, script);
    }
    sendRequests(this);
    await sleep(fixture.timers, SENT_AFTER_MS);
    assert.equal(fixture.upstreams.attempts.length, CALLERS);
    return blockLoop(this, Number(ms), disconnect !== null);
  },
);

When(
  "a caller with a full connection closes its side in the middle of a stream",
  async function (this: DepartedCallerWorld) {
    const { fixture } = this;
    const [socket] = this.sockets;
    fixture.addGroups(4, "small");
    fixture.upstreams.eventsPerStream = 1_000;
    fixture.upstreams.paddingBytes = 400_000;
    socket.pause();
    sendRequest(socket, "r0");
    await sleep(fixture.timers, 500);
    assert.equal(fixture.upstreams.runningCount, 1);
    socket.end();
    await sleep(fixture.timers, 300);
  },
);

Then("the upstreams receive no request", function (this: DepartedCallerWorld) {
  assert.equal(this.receivedCount, 0);
});

Then(
  "the upstreams receive some requests",
  function (this: DepartedCallerWorld) {
    assert.ok(this.receivedCount > 0);
  },
);

Then(
  "the upstreams receive {int} requests",
  function (this: DepartedCallerWorld, count: number) {
    assert.equal(this.receivedCount, count);
  },
);

Then(
  "the stream is cancelled within 300 milliseconds",
  function (this: DepartedCallerWorld) {
    assert.equal(this.fixture.upstreams.runningCount, 0);
  },
);
