/**
 * Steps of decisions.feature for periodic timers and status batches.
 *
 * @module
 */
import assert from "node:assert/strict";
import { Buffer } from "node:buffer";
import { Given, Then, When } from "@cucumber/cucumber";
import { InvariantError } from "../../src/base/outcome.ts";
import { ErrorPolicy } from "../../src/node/error_policy.ts";
import { PeriodicTimers } from "../../src/base/periodic_timers.ts";
import type { Timer } from "../../src/base/timers.ts";
import { VirtualTimers } from "../../src/bench/virtual_timers.ts";
import {
  decodeBatch,
  encodeBatch,
} from "../../src/core/gossip/message_codec.ts";
import type { StatusBatch } from "../../src/core/gossip/messages.ts";
import { sampleStatus } from "./sample_status.ts";

interface TimerWorld {
  timers: VirtualTimers;
  periodic: PeriodicTimers;
  wakeUps: Set<number>;
  calls: Map<number, number>;
  subscribed: Timer[];
  parsed: Record<string, unknown>;
  batch: StatusBatch;
  errors: unknown[];
  errorPolicy: ErrorPolicy;
  elapsedMs: number;
}

Given(
  "periodic work every {int}, {int} and {int} milliseconds, started at different times",
  async function (this: TimerWorld, a: number, b: number, c: number) {
    this.timers = new VirtualTimers();
    this.wakeUps = new Set();
    this.calls = new Map();
    this.subscribed = [];
    // Real timers fire slightly late, so these do too.
    this.periodic = new PeriodicTimers({
      now: () => this.timers.now(),
      after: (ms, callback) =>
        this.timers.after(Math.ceil(ms) + 0.3, () => {
          this.wakeUps.add(this.timers.now());
          callback();
        }),
    });
    for (const period of [a, b, c]) {
      await this.timers.run(17);
      this.subscribed.push(this.periodic.add(period, () => {
        this.calls.set(period, (this.calls.get(period) ?? 0) + 1);
      }));
    }
    this.wakeUps.clear();
    this.calls.clear();
  },
);

Given(
  "periodic work every {int} milliseconds that fails, and other work at the same times",
  function (this: TimerWorld, period: number) {
    this.timers = new VirtualTimers();
    this.calls = new Map();
    this.errors = [];
    this.periodic = new PeriodicTimers(
      this.timers,
      (err) => this.errors.push(err),
    );
    this.periodic.add(period, () => {
      throw new Error("unexpected");
    });
    this.periodic.add(period, () => {
      this.calls.set(period, (this.calls.get(period) ?? 0) + 1);
    });
  },
);

Then(
  "the other work was called {int} times, and {int} errors were reported",
  function (this: TimerWorld, calls: number, errors: number) {
    assert.equal(this.calls.get(50), calls);
    assert.equal(this.errors.length, errors);
  },
);

Given("an error policy", function (this: TimerWorld) {
  this.errorPolicy = new ErrorPolicy(() => this.elapsedMs);
  this.elapsedMs = 0;
});

Then(
  /^"(\d+) (unexpected errors|broken invariants)(?: in (\d+) minutes| at once)?" (ends|does not end) the process$/,
  function (
    this: TimerWorld,
    count: string,
    kind: string,
    minutes: string | null,
    verdict: string,
  ) {
    const err = kind === "broken invariants"
      ? new InvariantError("broken")
      : new Error("unexpected");
    const intervalMs = Number(minutes ?? 0) * 60_000 / Number(count);
    let isFatal = false;
    for (let i = 0; i < Number(count); i++) {
      isFatal = this.errorPolicy.isFatal(err);
      this.elapsedMs += intervalMs;
    }
    assert.equal(isFatal, verdict === "ends");
  },
);

When(
  "{int} seconds elapse",
  async function (this: TimerWorld, seconds: number) {
    await this.timers.run(seconds * 1_000);
  },
);

When(
  "the work with the shortest period is cancelled",
  function (this: TimerWorld) {
    this.subscribed[0].cancel();
  },
);

Then(
  "the process woke up {int} to {int} times",
  function (this: TimerWorld, min: number, max: number) {
    const { size } = this.wakeUps;
    assert.ok(size >= min && size <= max, `woke up ${size} times`);
  },
);

Then(
  "the work every {int} milliseconds was called {int} times",
  function (this: TimerWorld, period: number, times: number) {
    const calls = this.calls.get(period) ?? 0;
    assert.ok(Math.abs(calls - times) <= 1, `called ${calls} times`);
  },
);

const STATUS = sampleStatus();

Given("a batch with every kind of status field", function (this: TimerWorld) {
  const batch = { isForwarded: true, isUrgent: false, statuses: [STATUS] };
  const bytes = encodeBatch(batch);
  assert.deepEqual(decodeBatch(bytes), batch);
  this.parsed = JSON.parse(Buffer.from(bytes).toString());
});

Then(
  "a batch with any field missing or of another type is rejected",
  function (this: TimerWorld) {
    let tried = 0;
    for (const invalid of invalidCopies(this.parsed)) {
      tried += 1;
      const text = JSON.stringify(invalid);
      assert.equal(decodeBatch(Buffer.from(text)), undefined, text);
    }
    assert.ok(tried > 100, `only ${tried} copies tried`);
  },
);

Given(
  "a status with a request that was in flight at {int} crashes",
  function (this: TimerWorld, count: number) {
    const crashed = Array.from({ length: count }, (_, i) => `h-${i}`);
    const strikes = [{ fingerprint: "f", crashed }];
    this.batch = {
      isForwarded: false,
      isUrgent: false,
      statuses: [{ ...STATUS, strikes }],
    };
  },
);

Then(
  "its peers accept the message, with {int} of the crashes",
  function (this: TimerWorld, count: number) {
    const received = decodeBatch(encodeBatch(this.batch));
    assert.equal(received?.statuses[0].strikes[0].crashed.length, count);
  },
);

/** Fields that nodes of earlier versions don't send. */
const OPTIONAL_FIELDS: ReadonlySet<string> = new Set([
  "ct",
  "cl",
  "cp",
  "sp",
  "hl",
  "er",
  "hr",
  "re",
  "en",
  "ep",
  "ac",
]);

Then(
  "one without the fields of later versions is read as empty in these",
  function (this: TimerWorld) {
    const batch = this.parsed as { b: Record<string, unknown>[] };
    const earlier = Object.fromEntries(
      Object.entries(batch.b[0]).filter(([name]) => !OPTIONAL_FIELDS.has(name)),
    );
    const text = JSON.stringify({ ...batch, b: [earlier] });
    const [status] = decodeBatch(Buffer.from(text))?.statuses ?? [];
    assert.deepEqual(status, {
      ...STATUS,
      createdAt: undefined,
      clockLags: [],
      suspectParts: [],
      soundParts: [],
      hostLimits: [],
      storeEra: 0,
      hostRead: undefined,
      residuals: [],
      entry: undefined,
      acceptsCompressed: false,
    });
  },
);

/** Returns copies of a value, each with a field removed or of another type. */
function invalidCopies(value: unknown): unknown[] {
  const replacements = typeof value === "object"
    ? ["x", 1, null]
    : [{}, [1], null];
  if (typeof value !== "string") replacements.push("x");
  const replaced: unknown[] = replacements.filter((other) =>
    // A host change whose value is null is valid: it removes the announcement.
    !(other === null && value === "{}")
  );
  if (Array.isArray(value)) {
    const nested = value.flatMap((item, i) =>
      invalidCopies(item).map((invalid) =>
        value.map((original, at) => at === i ? invalid : original)
      )
    );
    return [...replaced, ...nested];
  }
  if (typeof value !== "object" || value === null) return replaced;
  const nested = Object.entries(value).flatMap(([key, item]) =>
    invalidCopies(item).map((invalid) => ({ ...value, [key]: invalid }))
  );
  // The entries of `demand`, one for each model, are optional.
  const isMap = "large" in value;
  const without = isMap
    ? []
    : Object.keys(value).filter((key) => !OPTIONAL_FIELDS.has(key)).map((key) =>
      Object.fromEntries(Object.entries(value).filter(([name]) => name !== key))
    );
  return [...replaced, ...nested, ...without];
}
