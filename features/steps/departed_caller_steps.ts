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
/** Time after the requests at which their group is about to open. */
const OPENED_AFTER_MS = 5;

interface DepartedCallerWorld {
  fixture: RelayFixture<SystemTimers>;
  server: RelayServer;
  sockets: Socket[];
  closedAt: number;
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

function block(ms: number): void {
  const until = performance.now() + ms;
  while (performance.now() < until);
}

When(
  /^the event loop is blocked for (\d+) milliseconds in which 20 callers send (requests|requests that wait for a group)( and disconnect)?$/,
  async function (
    this: DepartedCallerWorld,
    ms: string,
    requests: string,
    departs: string | null,
  ) {
    const { fixture, sockets } = this;
    if (requests === "requests") {
      fixture.addGroups(4, "small");
      for (const [i, socket] of sockets.entries()) sendRequest(socket, `r${i}`);
    } else {
      fixture.announceGroup(0, "small", "ready");
      for (const [i, socket] of sockets.entries()) sendRequest(socket, `r${i}`);
      await sleep(fixture.timers, OPENED_AFTER_MS);
      assert.equal(fixture.relay.queuedCount, CALLERS);
      fixture.timers.after(0, () => fixture.announceGroup(0, "small", "open"));
    }
    if (departs !== null) { for (const socket of sockets) socket.destroy(); }
    block(Number(ms));
    await sleep(fixture.timers, SETTLE_MS);
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
  assert.equal(this.fixture.upstreams.attempts.length, 0);
});

Then(
  "the upstreams receive {int} requests",
  function (this: DepartedCallerWorld, count: number) {
    assert.equal(this.fixture.upstreams.attempts.length, count);
  },
);

Then(
  "the stream is cancelled within 300 milliseconds",
  function (this: DepartedCallerWorld) {
    assert.equal(this.fixture.upstreams.runningCount, 0);
  },
);
