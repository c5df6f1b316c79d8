/**
 * Steps of platform.feature: the memory that bodies of requests take.
 *
 * @module
 */
import assert from "node:assert/strict";
import type { Buffer } from "node:buffer";
import { randomBytes } from "node:crypto";
import { Agent, request } from "node:http";
import type { ClientRequest } from "node:http";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { SystemTimers } from "../../src/base/system_timers.ts";
import { sleep } from "../../src/base/timers.ts";
import { BodyBudget } from "../../src/core/limits/body_budget.ts";
import type {
  RelayRequest,
  RelayResponse,
} from "../../src/core/relay/relay_request.ts";
import { RelayServer } from "../../src/platform/relay_server.ts";

const timers = new SystemTimers();
const HOST = "127.0.0.1";
/** Time in which a request has reached the server, or its refusal the caller. */
const ARRIVAL_MS = 150;

interface Answer {
  readonly status: number | undefined;
  readonly retryAfter: string | undefined;
}

interface BodyWorld {
  bodyServer: RelayServer;
  agent: Agent;
  relayed: { request: RelayRequest; response: RelayResponse }[];
  answers: Answer[];
  /** The body that was sent last. */
  sentBody: Buffer;
}

After(function (this: BodyWorld) {
  this.bodyServer?.close();
  this.agent?.destroy();
});

Given(
  "a relay server with a budget of {int} bytes for bodies and an idle timeout of {int} ms",
  async function (this: BodyWorld, bytes: number, idleTimeoutMs: number) {
    this.relayed = [];
    this.answers = [];
    this.agent = new Agent({ keepAlive: true });
    this.bodyServer = new RelayServer(
      (request, response) => {
        this.relayed.push({ request, response });
        return { onCallerDisconnected() {} };
      },
      undefined,
      undefined,
      new BodyBudget(bytes, () => timers.now()),
    );
    this.bodyServer.limits = {
      maxHeaderBytes: 2_048,
      maxBodyBytes: 200_000,
      headerTimeoutMs: 300,
      idleTimeoutMs,
    };
    await this.bodyServer.listen(HOST, 0);
  },
);

function send(
  world: BodyWorld,
  headers: Readonly<Record<string, string>> = {},
): ClientRequest {
  const req = request({
    host: HOST,
    port: world.bodyServer.port,
    method: "POST",
    path: "/order/1",
    agent: world.agent,
    headers: { "Oleanderarch-Attempt-Id": "a1", ...headers },
  }, (res) => {
    res.resume();
    world.answers.push({
      status: res.statusCode,
      retryAfter: res.headers["retry-after"],
    });
  });
  req.on("error", () => {});
  return req;
}

async function sendBody(
  world: BodyWorld,
  kind: string,
  bytes: number,
): Promise<void> {
  world.sentBody = randomBytes(bytes);
  const body = world.sentBody;
  const req = send(
    world,
    kind === "sized" ? { "Content-Length": `${bytes}` } : {},
  );
  // Without a length, the first write makes the body chunked.
  if (kind === "chunked") req.write(body.subarray(0, 100));
  req.end(kind === "chunked" ? body.subarray(100) : body);
  await sleep(timers, ARRIVAL_MS);
}

When(
  "one caller sends a body of {int} bytes",
  function (this: BodyWorld, bytes: number) {
    return sendBody(this, "sized", bytes);
  },
);

When(
  "another caller sends a {word} body of {int} bytes",
  function (this: BodyWorld, kind: string, bytes: number) {
    return sendBody(this, kind, bytes);
  },
);

When(
  "another caller sends a {word} body of {int} bytes after {int} milliseconds",
  async function (this: BodyWorld, kind: string, bytes: number, ms: number) {
    await sleep(timers, ms);
    await sendBody(this, kind, bytes);
  },
);

When(
  "a caller stands still within a body of {int} bytes",
  async function (this: BodyWorld, bytes: number) {
    send(this, { "Content-Length": `${bytes}` }).write("x");
    await sleep(timers, ARRIVAL_MS);
  },
);

When("the response to the first caller ends", async function (this: BodyWorld) {
  const [{ response }] = this.relayed;
  response.writeHead(200, []);
  response.end();
  await sleep(timers, ARRIVAL_MS);
});

Then(
  "the other caller is refused with {int} and a time to return, and nothing of it is relayed",
  function (this: BodyWorld, status: number) {
    assert.equal(this.relayed.length, 1);
    const [answer] = this.answers;
    assert.equal(answer?.status, status);
    assert.ok(Number(answer.retryAfter) > 0);
  },
);

Then(
  "the other caller's connection serves its next request",
  async function (this: BodyWorld) {
    assert.equal(Object.values(this.agent.freeSockets).flat().length, 1);
    send(this).end();
    await sleep(timers, ARRIVAL_MS);
    const { response } = this.relayed[1];
    response.writeHead(204, []);
    response.end();
    await sleep(timers, ARRIVAL_MS);
    assert.equal(this.answers.at(-1)?.status, 204);
  },
);

Then("the other caller's whole body is relayed", function (this: BodyWorld) {
  const last = this.relayed.at(-1);
  assert.deepEqual(last?.request.body, this.sentBody);
});
