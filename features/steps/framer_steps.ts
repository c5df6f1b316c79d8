import assert from "node:assert/strict";
import { Buffer } from "node:buffer";
import { Given, Then, When } from "@cucumber/cucumber";
import { EventFramer } from "../../src/naive/event_framer.ts";

interface FramerWorld {
  stream: Buffer;
  forwarded: Buffer;
  events: number;
  ended: boolean;
}

function makeStream(count: number, tail: string): Buffer {
  let text = "";
  for (let i = 1; i <= count; i++) text += `id: ${i}\ndata: {"n":${i}}\n\n`;
  return Buffer.from(text + tail);
}

Given(
  "a stream of {int} events and its end marker",
  function (this: FramerWorld, count: number) {
    this.stream = makeStream(count, "data: [DONE]\n\n");
  },
);

Given(
  "a stream of {int} events without an end marker",
  function (this: FramerWorld, count: number) {
    this.stream = makeStream(count, "");
  },
);

When(
  "it arrives in chunks of {int} bytes",
  function (this: FramerWorld, size: number) {
    const framer = new EventFramer();
    const parts: Uint8Array[] = [];
    this.events = 0;
    this.ended = false;
    for (let at = 0; at < this.stream.length; at += size) {
      const framed = framer.push(this.stream.subarray(at, at + size));
      assert.ok(framed);
      parts.push(Buffer.from(framed.bytes));
      this.events += framed.events;
      this.ended ||= framed.ended;
    }
    this.forwarded = Buffer.concat(parts);
  },
);

Then(
  "{int} events are counted, the bytes are unchanged and the end marker is detected",
  function (this: FramerWorld, count: number) {
    assert.equal(this.events, count);
    assert.equal(this.ended, true);
    assert.ok(this.forwarded.equals(this.stream));
  },
);

Then(
  "{int} events are counted and no end marker is detected",
  function (this: FramerWorld, count: number) {
    assert.equal(this.events, count);
    assert.equal(this.ended, false);
  },
);
