import assert from "node:assert/strict";
import { Buffer } from "node:buffer";
import process from "node:process";
import { Given, Then, When } from "@cucumber/cucumber";
import fc from "fast-check";
import { streamEvent } from "../../src/standins/fleet/scripted_upstreams.ts";
import { VirtualTimers } from "../../src/bench/virtual_timers.ts";
import { ResponseWriter } from "../../src/core/gateway/response_writer.ts";
import { StreamSplice } from "../../src/core/streams/mod.ts";
import type { RelayFixture } from "./relay_fixture.ts";
import { RecordedResponse } from "./relay_fixture.ts";
import {
  anyEngineStream,
  anySpoiledStream,
  expectedValues,
  splice,
  spliceAtGateway,
  spoiledThenSound,
} from "./spoiled_streams.ts";

const SEED = Number(process.env.OLEANDER_STREAM_SEED ?? 51);
const RUNS = Number(process.env.OLEANDER_STREAM_RUNS ?? 5_000);

const GATEWAY_HEAD = { status: 200, headers: {} };

interface StreamWorld {
  fixture: RelayFixture;
  response: RecordedResponse;
  writer: ResponseWriter;
  splice: StreamSplice;
  /** How the groups write an event. */
  format: (event: string) => string;
}

/** Returns events as an upstream writes them, `perWrite` in each chunk. */
function writeEvents(
  firstId: number,
  lastId: number,
  perWrite: number,
  edit: (text: string) => string,
): Buffer[] {
  const chunks: Buffer[] = [];
  for (let id = firstId; id <= lastId; id += perWrite) {
    const count = Math.min(perWrite, lastId - id + 1);
    const events = Array.from({ length: count }, (_, i) => streamEvent(id + i));
    chunks.push(Buffer.from(edit(events.join(""))));
  }
  return chunks;
}

Given(
  "the first group sends {string} in place of {string}, {int} event(s) a write",
  function (this: StreamWorld, sent: string, text: string, perWrite: number) {
    const { upstreams } = this.fixture;
    const edit = (chunk: string) =>
      chunk.replace(unescape(text), unescape(sent));
    upstreams.setNextScript({
      kind: "chunks",
      chunksFrom: (firstId) =>
        writeEvents(firstId, upstreams.eventsPerStream, perWrite, edit),
    });
  },
);

Given(
  "every group breaks off after event {int}, and shows id {int} for event {int}",
  function (this: StreamWorld, last: number, shown: number, id: number) {
    const { upstreams } = this.fixture;
    for (const head of ["i-0-0", "i-1-0"]) {
      upstreams.setScript(head, {
        kind: "chunks",
        chunksFrom: (firstId) =>
          firstId === 1
            ? [...writeEvents(1, last, 1, String), Buffer.from("id")]
            : writeEvents(
              id,
              id,
              1,
              (event) => event.replace(`id: ${id}`, `id: ${shown}`),
            ),
      });
    }
  },
);

Given(
  "a stream that broke off after event {int}",
  function (this: StreamWorld, last: number) {
    this.splice = new StreamSplice({
      lastEventId: undefined,
      isResumable: true,
      numbering: "consecutive",
    });
    for (const chunk of writeEvents(1, last, 1, String)) {
      this.splice.push(chunk);
    }
    this.splice.beginAttempt();
  },
);

When(
  /^the (?:next )?attempt (?:begins|goes on) with id (\d+)$/,
  function (this: StreamWorld, id: string) {
    const { fault } = this.splice.push(streamEvent(Number(id)));
    assert.equal(fault, undefined);
  },
);

Then("no attempt continues the stream", function (this: StreamWorld) {
  assert.equal(this.splice.canContinue, false);
});

Then(
  "another attempt continues the stream after event {int}",
  function (this: StreamWorld, id: number) {
    assert.equal(this.splice.canContinue, true);
    assert.equal(this.splice.lastEventId, String(id));
  },
);

Given("the first group sends only a comment", function (this: StreamWorld) {
  this.fixture.upstreams.setNextScript({
    kind: "chunks",
    chunksFrom: () => [Buffer.from(": ping\n\n")],
  });
});

Given(
  "every group sends {string} in place of {string}",
  function (this: StreamWorld, sent: string, pattern: string) {
    const expression = new RegExp(pattern, "m");
    this.format = (event) => event.replace(expression, unescape(sent));
    setStream(this.fixture, this.format, Infinity);
  },
);

Given(
  "every group resets the connection after {int} events",
  function (this: StreamWorld, events: number) {
    setStream(this.fixture, this.format, events);
  },
);

Given(
  "the next group resets the connection within event {int}",
  function (this: StreamWorld, id: number) {
    const { upstreams } = this.fixture;
    upstreams.setNextScript({ kind: "reset_after", events: id - 1 });
  },
);

/** Lets all groups send formatted events, and break off after some. */
function setStream(
  { upstreams }: RelayFixture,
  format: (event: string) => string,
  lastId: number,
): void {
  for (const head of ["i-0-0", "i-1-0", "i-2-0"]) {
    upstreams.setScript(head, {
      kind: "chunks",
      chunksFrom: (firstId) =>
        writeEvents(
          firstId,
          Math.min(lastId, upstreams.eventsPerStream),
          1,
          format,
        ),
      isReset: lastId < Infinity,
    });
  }
}

Given(
  "the first group sends an event of {int} bytes as event {int}, after event {int} in the same write",
  function (this: StreamWorld, bytes: number, id: number, before: number) {
    const large = `id: ${id}\ndata: ${"x".repeat(bytes)}`;
    this.fixture.upstreams.setNextScript({
      kind: "chunks",
      chunksFrom: (firstId) => [
        ...writeEvents(firstId, before - 1, 1, String),
        Buffer.from(streamEvent(before) + large),
      ],
    });
  },
);

When(
  "a stream of {int} events is requested again",
  async function (this: StreamWorld, events: number) {
    this.fixture.upstreams.eventsPerStream = events;
    // Only the attempts of this request are counted.
    this.fixture.upstreams.attempts.length = 0;
    const { catalog } = this.fixture;
    catalog.recordConfirmation(catalog.version, catalog.readClocks());
    this.response = this.fixture.sendRequest("/draft/");
    await this.fixture.timers.run(3_000);
  },
);

When(
  "a stream of {int} events that must not run twice is requested",
  async function (this: StreamWorld, events: number) {
    this.fixture.upstreams.eventsPerStream = events;
    this.response = this.fixture.sendRequest("/once/");
    await this.fixture.timers.run(3_000);
  },
);

Then(
  "the response is broken off after piece {int}",
  function (this: StreamWorld, last: number) {
    assert.ok(this.response.isAborted, "the response is not broken off");
    assert.deepEqual(pieces(this.response), range(1, last));
  },
);

Then(
  "the response contains {string}",
  function (this: StreamWorld, text: string) {
    assert.ok(this.response.body.includes(unescape(text)));
  },
);

Then(
  "the caller has pieces {int} to {int} in a complete response after {int} attempt(s)",
  function (this: StreamWorld, from: number, to: number, attempts: number) {
    assert.ok(this.response.isComplete, "the response is not complete");
    assert.deepEqual(pieces(this.response), range(from, to));
    assert.equal(this.fixture.upstreams.attempts.length, attempts);
  },
);

Then(
  "the retry asked for the events after {int}",
  function (this: StreamWorld, id: number) {
    const { attempt } = this.fixture.upstreams.attempts[1];
    assert.equal(attempt.lastEventId, String(id));
  },
);

Then(
  "any streams with one wrong byte outside their data keep it, whatever their chunks, overlaps and cuts are",
  function () {
    fc.assert(
      fc.property(anySpoiledStream, (stream) => {
        const { isComplete, values } = splice(stream);
        if (isComplete) assert.deepEqual(values, expectedValues(stream));
      }),
      { seed: SEED, numRuns: RUNS },
    );
  },
);

Then(
  "any engines' streams with one wrong byte outside their data keep it at a gateway",
  function () {
    fc.assert(
      fc.property(anyEngineStream, (stream) => {
        const { isComplete, values } = spliceAtGateway(stream);
        if (isComplete) assert.deepEqual(values, expectedValues(stream));
      }),
      { seed: SEED, numRuns: RUNS },
    );
  },
);

Given(
  /^an engine that sends "([^"]*)" in place of "([^"]*)" and (breaks off|ends) after event (\d+)$/,
  function (
    this: StreamWorld,
    sent: string,
    text: string,
    end: string,
    last: string,
  ) {
    const marker = end === "ends" ? "data: [DONE]\n\n" : "";
    const edit = (chunk: string) =>
      (chunk + marker).replace(unescape(text), unescape(sent));
    const response = new RecordedResponse(() => 0);
    this.response = response;
    this.writer = new ResponseWriter(
      {
        writeHead: (status) => response.writeHead(status, []),
        write: (chunk) => response.write(chunk),
        end: () => response.end(),
        fail() {},
        onDrain() {},
      },
      new VirtualTimers(),
      0,
    );
    for (const chunk of writeEvents(1, Number(last), Number(last), edit)) {
      const { kind } = this.writer.writeStream(GATEWAY_HEAD, chunk);
      if (kind === "ended") return this.writer.end();
    }
    this.writer.reset();
  },
);

When(
  "another engine continues the stream up to event {int}",
  function (this: StreamWorld, last: number) {
    if (this.response.isComplete) return;
    const marker = Buffer.from("data: [DONE]\n\n");
    const events = writeEvents(this.writer.eventCount + 1, last, 1, String);
    for (const chunk of [...events, marker]) {
      const { kind } = this.writer.writeStream(GATEWAY_HEAD, chunk);
      if (kind === "ended") this.writer.end();
    }
  },
);

Then(
  "the gateway's caller has pieces {int} to {int} in a complete response",
  function (this: StreamWorld, from: number, to: number) {
    assert.ok(this.response.isComplete, "the response is not complete");
    assert.deepEqual(pieces(this.response), range(from, to));
  },
);

Then(
  "any stream with one wrong byte outside its data is complete after a sound attempt",
  function () {
    fc.assert(
      fc.property(spoiledThenSound, (stream) => {
        const { isComplete, values } = splice(stream);
        assert.ok(isComplete, "the response is not complete");
        assert.deepEqual(values, expectedValues(stream));
      }),
      { seed: SEED, numRuns: RUNS },
    );
  },
);

Then(
  "the attempt's end is logged with {string}",
  function (this: StreamWorld, detail: string) {
    const lines = this.fixture.log.named("request_attempt_ended")
      .filter((fields) => fields.detail === detail);
    assert.equal(lines.length, 1);
  },
);

Then(
  "the service's numbering {string} is logged",
  function (this: StreamWorld, numbering: string) {
    const last = this.fixture.log.named("event_numbering_learned").at(-1);
    assert.deepEqual(last, { service: "pool", numbering });
  },
);

Then("no numbering is logged", function (this: StreamWorld) {
  assert.deepEqual(this.fixture.log.named("event_numbering_learned"), []);
});

Then(
  "{int} stream fault(s) of the kind {string} is/are counted",
  async function (this: StreamWorld, count: number, kind: string) {
    const text = await this.fixture.metrics.registry.metrics();
    const pattern = new RegExp(
      `^oleander_stream_faults_total\\{.*fault="${kind}".*\\} (\\d+)$`,
      "m",
    );
    assert.equal(Number(pattern.exec(text)?.[1] ?? 0), count);
  },
);

/** Returns the numbers in the data of the events, whatever their ids are. */
function pieces(response: RecordedResponse): number[] {
  return [...response.body.matchAll(/^data: piece (\d+)\r?$/gm)]
    .map(([, piece]) => Number(piece));
}

function range(from: number, to: number): number[] {
  return Array.from({ length: to - from + 1 }, (_, i) => from + i);
}

/** Replaces the escape sequences of line ends. */
function unescape(text: string): string {
  return text.replaceAll("\\n", "\n").replaceAll("\\r", "\r");
}
