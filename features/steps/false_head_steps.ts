/**
 * Steps of false_heads.feature: requests of callers.
 *
 * @module
 */
import assert from "node:assert/strict";
import { request } from "node:http";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { Random } from "../../src/base/random.ts";
import { SystemTimers } from "../../src/base/system_timers.ts";
import { sleep } from "../../src/base/timers.ts";
import type { RelayServer } from "../../src/platform/relay_server.ts";
import { FuzzRelay } from "../../tools/fuzz/fuzz_relay.ts";
import { RawHost } from "../../tools/fuzz/raw_host.ts";
import type { RawResponse } from "../../tools/fuzz/raw_responses.ts";
import {
  bodyOf,
  EARLY_ANSWER,
  EVENTS_PER_STREAM,
  eventsUpTo,
  FALSE_HEADS,
  SOUND_RESPONSES,
  UNUSUAL_ANSWER,
} from "../../tools/fuzz/raw_responses.ts";

/** Time in which a closed connection is closed on the host's side, too. */
const CLOSE_MS = 400;
/** Time after a response in which its connection can be used again. */
const CONNECTION_FREE_MS = 3;
const FOLLOWING_REQUESTS = 6;
const STREAM_HEADERS = {
  "Oleanderarch-Model": "small",
  "Oleanderarch-Token-Count": "600,10",
};
const [WHOLE] = SOUND_RESPONSES;

/** What a caller received over its connection. */
interface Received {
  readonly status: number | undefined;
  readonly body: string;
  readonly isComplete: boolean;
}

interface FalseHeadWorld {
  rawHosts: RawHost[];
  relay: FuzzRelay;
  relayServer: RelayServer;
  /** Responses to the attempts of the next request; the others are sound. */
  script: RawResponse[];
  soundResponse: RawResponse;
  head: RawResponse;
  requestId: string;
  received: Received;
}

After(function (this: FalseHeadWorld) {
  for (const host of this.rawHosts ?? []) host.close();
  this.relayServer?.close();
});

Given(
  "callers of a relay before {int} host(s)",
  async function (this: FalseHeadWorld, count: number) {
    const timers = new SystemTimers();
    const random = new Random(1);
    this.script = [];
    this.soundResponse = WHOLE;
    const choose = () => this.script.shift() ?? this.soundResponse;
    this.rawHosts = Array.from(
      { length: count },
      (_, i) => new RawHost(`host-${i}`, timers, random, choose),
    );
    await Promise.all(this.rawHosts.map((host) => host.listen()));
    this.relay = new FuzzRelay(this.rawHosts, 1);
    this.relayServer = await this.relay.serve();
  },
);

Given(
  "a stream's first attempt breaks off after {int} events",
  function (this: FalseHeadWorld, events: number) {
    this.script.push(eventsUpTo(events, "resets"));
    this.soundResponse = eventsUpTo(EVENTS_PER_STREAM, "ends");
  },
);

/** Sends a caller's request over a connection of its own. */
function sendToRelay(
  { relayServer }: FalseHeadWorld,
  path: string,
  requestId: string,
  bodyBytes = 0,
): Promise<Received> {
  const isStream = path === "/draft/" || path === "/once/";
  return new Promise((resolve) => {
    const req = request({
      host: "127.0.0.1",
      port: relayServer.port,
      method: "POST",
      path: `${path}${requestId}`,
      agent: false,
      headers: {
        Host: "album.example",
        Authorization: "Token bindery-key",
        "Oleanderarch-Attempt-Id": requestId,
        "Oleanderarch-Deadline-Ms": "4000",
        ...(isStream ? STREAM_HEADERS : {}),
      },
    }, (res) => {
      let body = "";
      res.on("data", (chunk) => body += String(chunk));
      res.on("error", () => {});
      res.on("close", () =>
        resolve({
          status: res.statusCode,
          body,
          isComplete: res.complete,
        }));
    });
    req.on(
      "error",
      () => resolve({ status: undefined, body: "", isComplete: false }),
    );
    req.end(`${"x".repeat(bodyBytes)}end of body`);
  });
}

When(
  /^a caller's (?:first|second) attempt at "([^"]+)" is responded to with "([^"]+)"$/,
  async function (this: FalseHeadWorld, path: string, name: string) {
    this.head = findHead(name);
    this.script.push(this.head);
    this.requestId = "r0";
    this.received = await sendToRelay(this, path, this.requestId);
  },
);

When(
  "a caller's request with a body of {int} bytes is responded to with {string}",
  async function (this: FalseHeadWorld, bytes: number, name: string) {
    for (const host of this.rawHosts) host.respondsEarly = true;
    this.script.push(findHead(name));
    this.requestId = "r0";
    this.received = await sendToRelay(this, "/order/", "r0", bytes);
  },
);

When(
  "a caller's second request on a connection is responded to with {string}",
  async function (this: FalseHeadWorld, name: string) {
    this.head = findHead(name);
    await sendToRelay(this, "/order/", "earlier");
    await sleep(this.relay.timers, CONNECTION_FREE_MS);
    this.script.push(this.head);
    this.requestId = "r0";
    this.received = await sendToRelay(this, "/order/", this.requestId);
    const [, second] = this.rawHosts[0].received;
    assert.equal(second.previous?.requestId, "earlier");
  },
);

function findHead(name: string): RawResponse {
  const head = [...FALSE_HEADS, UNUSUAL_ANSWER, EARLY_ANSWER]
    .find((response) => response.name === name);
  assert.ok(head, name);
  return head;
}

Then(
  "the caller receives status 502 and no byte of a host",
  function (this: FalseHeadWorld) {
    const { status, body, isComplete } = this.received;
    assert.equal(status, 502);
    assert.ok(isComplete);
    assert.match(body, /^\{"error":"upstream_failed: /);
    assert.ok(!body.includes(bodyOf(this.requestId)));
  },
);

Then(
  "the caller receives status 200 and the whole body of a host",
  function (this: FalseHeadWorld) {
    const { received, requestId } = this;
    const body = bodyOf(requestId);
    assert.deepEqual(received, { status: 200, body, isComplete: true });
  },
);

Then(
  "the caller has received events 1 to {int}, once each, and status 200",
  function (this: FalseHeadWorld, last: number) {
    const { status, body, isComplete } = this.received;
    assert.equal(status, 200);
    assert.ok(isComplete);
    const ids = [...body.matchAll(/^id: (\d+)$/gm)].map(([, id]) => Number(id));
    assert.deepEqual(ids, Array.from({ length: last }, (_, i) => i + 1));
  },
);

Then(
  "the request was sent to {int} host(s)",
  function (this: FalseHeadWorld, hosts: number) {
    const received = this.rawHosts.flatMap((host) => host.received)
      .filter(({ requestId }) => requestId === this.requestId);
    assert.equal(received.length, hosts);
    assert.equal(new Set(received.map(({ hostId }) => hostId)).size, hosts);
  },
);

Then(
  /^the relay's (first|second) attempt is "([^"]+)"$/,
  function (this: FalseHeadWorld, nth: string, outcome: string) {
    const [first, second] = this.relay.attemptOutcomes;
    assert.equal(nth === "first" ? first : second, outcome);
  },
);

Then(
  "the connection of the head is closed and no other request used it",
  async function (this: FalseHeadWorld) {
    const { timers } = this.relay;
    const deadline = timers.now() + CLOSE_MS;
    const requests = () => this.rawHosts.flatMap((host) => host.received);
    const isOpen = () =>
      requests().some(({ response, isOpen }) =>
        response === this.head && isOpen()
      );
    while (isOpen() && timers.now() < deadline) await sleep(timers, 5);
    assert.equal(isOpen(), false);
    const later = requests()
      .filter(({ previous }) => previous?.response === this.head);
    assert.deepEqual(later, []);
  },
);

Then("the requests that follow are served", async function (
  this: FalseHeadWorld,
) {
  this.soundResponse = WHOLE;
  for (let i = 0; i < FOLLOWING_REQUESTS; i++) {
    const id = `later-${i}`;
    const received = await sendToRelay(this, "/order/", id);
    const expected = { status: 200, body: bodyOf(id), isComplete: true };
    assert.deepEqual(received, expected);
  }
  assert.equal(this.relay.inFlight, 0);
  const requests = this.rawHosts.flatMap((host) => host.received);
  const later = requests
    .filter(({ previous }) => previous?.response === this.head);
  assert.deepEqual(later, []);
});
