import assert from "node:assert/strict";
import { Buffer } from "node:buffer";
import { Given, Then } from "@cucumber/cucumber";
import { streamEvent } from "../../src/standins/fleet/scripted_upstreams.ts";
import type { RecordedResponse, RelayFixture } from "./relay_fixture.ts";

interface StreamWorld {
  fixture: RelayFixture;
  response: RecordedResponse;
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

Then(
  "the attempt's end is logged with {string}",
  function (this: StreamWorld, detail: string) {
    const lines = this.fixture.log.named("request_attempt_ended")
      .filter((fields) => fields.detail === detail);
    assert.equal(lines.length, 1);
  },
);

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

/** Replaces the escape sequences of line ends. */
function unescape(text: string): string {
  return text.replaceAll("\\n", "\n").replaceAll("\\r", "\r");
}
