/**
 * Steps of platform.feature: host entries, the manifest and the store.
 *
 * @module
 */
import assert from "node:assert/strict";
import { Buffer } from "node:buffer";
import { createServer as createHttpServer } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { SystemTimers } from "../../src/base/system_timers.ts";
import { sleep } from "../../src/base/timers.ts";
import { parseManifest } from "../../src/platform/manifest.ts";
import { PlatformStore } from "../../src/platform/platform_store.ts";
import { StoreSchema } from "../../src/platform/store_schema.ts";
import { serveStore } from "../../src/standins/platform/store_listener.ts";
import { MemoryCoordination } from "../../src/standins/fleet/memory_coordination.ts";

const timers = new SystemTimers();
const HOST = "127.0.0.1";

interface PlatformStoreWorld {
  closers: (() => void)[];
  entry: string;
  state: MemoryCoordination;
  store: PlatformStore;
  results: unknown[];
  /** Connections that the store has accepted. */
  sockets: Set<Socket>;
}

After(function (this: PlatformStoreWorld) {
  for (const close of this.closers ?? []) close();
});

const ENTRY = {
  service: "pool",
  address: "10.1.64.46:8646",
  zone: "valley-a",
  version: "v1",
  slots: 18,
  state: "ready",
  cold_left_ms: 0,
  stage: "both",
  domain: "valley-a-d0",
  models: [{ name: "large", version: 1, adapters: [] }],
  staged: ["large"],
  group: { name: "g-1", epoch: 7, rank: 0, state: "open" },
  seq: 4,
  born: 1_790_032_699_014,
};

const ENTRY_VARIANTS: Readonly<Record<string, string>> = {
  "with all fields": JSON.stringify(ENTRY),
  "without an address": JSON.stringify({ ...ENTRY, address: undefined }),
  "with an address that is a number": JSON.stringify({ ...ENTRY, address: 7 }),
  "with an unknown state": JSON.stringify({ ...ENTRY, state: "asleep" }),
  "without slots": JSON.stringify({ ...ENTRY, slots: 0 }),
  "that is not JSON": "\x00{",
  "with a group without an epoch": JSON.stringify({
    ...ENTRY,
    group: { name: "g-1" },
  }),
};

Given(
  "the example host entry {string}",
  function (this: PlatformStoreWorld, name: string) {
    this.entry = ENTRY_VARIANTS[name];
  },
);

Then("it describes no usable host", function (this: PlatformStoreWorld) {
  const value = Buffer.from(this.entry, "latin1");
  assert.equal(new StoreSchema().parseHost("servers/i-1", value), undefined);
});

Then("it describes a usable host", function (this: PlatformStoreWorld) {
  const value = Buffer.from(this.entry);
  const host = new StoreSchema().parseHost("servers/i-1", value);
  assert.equal(host?.id, "i-1");
  assert.deepEqual(host?.membership, {
    group: "g-1",
    epoch: 7,
    rank: 0,
    state: "open",
  });
});

Then(
  "the example manifest is parsed into a catalog with its routes, engines and keys",
  function (this: PlatformStoreWorld) {
    const catalog = parseManifest({
      version: 7,
      routes: [{
        name: "r1",
        host: "Album.example",
        path_prefix: "/a/",
        kind: "streaming",
        timeout_ms: 8_000,
        goal_ms: 300,
        priority: 1,
        traffic_split: [
          { service: "pool", weight: 90 },
          { service: "other", weight: 10 },
        ],
        attempts: 2,
        resumable: true,
        gap_target_ms: 250,
      }],
      services: [{ name: "pool", health: "/health", max_conns: 10 }],
      limits: {
        max_header_bytes: 1,
        max_body_bytes: 2,
        header_timeout_ms: 3,
        idle_timeout_ms: 4,
      },
      tenants: [{ name: "t1", keys: ["k1"] }],
    });
    const [route] = catalog?.routes ?? [];
    assert.equal(route.hostName, "album.example");
    assert.equal(route.gapMs, 250);
    assert.deepEqual(route.targets.map((t) => t.weight), [90, 10]);
    assert.deepEqual(catalog?.customers?.[0].keys, ["k1"]);
    assert.equal(parseManifest({ version: "7" }), undefined);
  },
);

When(
  "{int} connections to it are open and all of them go silent",
  async function (this: PlatformStoreWorld, count: number) {
    const calls = Array.from({ length: count }, () => this.store.list("a/"));
    const listings = await Promise.all(calls);
    assert.ok(listings.every((listing) => listing.ok));
    assert.equal(this.sockets.size, count);
    // The client opens another connection while it takes all of them for busy.
    await sleep(timers, 50);
    for (const socket of this.sockets) socket.pause();
  },
);

Then(
  "the first call is lost, and the next one succeeds",
  async function (this: PlatformStoreWorld) {
    const { size } = this.sockets;
    const first = await this.store.list("a/");
    assert.deepEqual(first.ok || first.err.kind, "ambiguous");
    assert.equal(this.sockets.size, size);
    const next = await this.store.list("a/");
    assert.ok(next.ok);
  },
);

Given("a store over HTTP", async function (this: PlatformStoreWorld) {
  this.closers = [];
  this.sockets = new Set();
  this.results = [];
  this.state = new MemoryCoordination(timers);
  const server = createHttpServer(serveStore(this.state));
  server.on("connection", (socket) => this.sockets.add(socket));
  await new Promise<void>((resolve) => server.listen(0, HOST, resolve));
  const { port } = server.address() as AddressInfo;
  this.store = new PlatformStore(timers, `${HOST}:${port}`);
  this.closers.push(() => {
    server.closeAllConnections();
    server.close();
  });
});

When(
  "keys are written under a condition, listed, watched and leased",
  async function (this: PlatformStoreWorld) {
    const { store } = this;
    const lease = await store.grantLease(5_000);
    assert.ok(lease.ok);
    const put = { key: "my/a", value: "1", lease: lease.value };
    const condition = { key: "my/a", revision: 0 };
    this.results.push(await store.write([condition], [put], []));
    this.results.push(await store.write([condition], [put], []));
    const listed = await store.list("my/");
    assert.ok(listed.ok);
    this.results.push(listed.value.items.map((item) => item.key));
    const { era, asOf } = listed.value;
    const watched = store.changes("my/", { era, revision: asOf }, 2_000);
    await sleep(timers, 50);
    this.state.put("my/b", 2);
    const changes = await watched;
    assert.ok(changes.ok);
    this.results.push(changes.value.events.map((change) => change.key));
    this.results.push(await store.renewLease(lease.value));
    this.results.push(await store.renewLease({ ...lease.value, id: 999 }));
    await store.endLease(lease.value);
    this.results.push(this.state.readValue("my/a"));
  },
);

Then(
  "each call returns a result that matches the store's state",
  function (this: PlatformStoreWorld) {
    const [written, conflict, listed, changed, renewed, unknownLease, ended] =
      this
        .results as { ok: boolean; value: { kind: string } }[];
    assert.equal(written.value.kind, "written");
    assert.equal(conflict.value.kind, "conflict");
    assert.deepEqual(listed, ["my/a"]);
    assert.deepEqual(changed, ["my/b"]);
    assert.deepEqual(renewed, {
      ok: true,
      value: { isRenewed: true, era: 0 },
    });
    assert.deepEqual(unknownLease, {
      ok: true,
      value: { isRenewed: false, era: 0 },
    });
    assert.equal(ended, undefined);
  },
);

Then(
  "a refused call had no effect, and a call without a response is ambiguous",
  async function (this: PlatformStoreWorld) {
    this.state.faults.down = true;
    const put = { key: "my/c", value: "3" };
    const refused = await this.store.write([], [put], []);
    assert.ok(!refused.ok && refused.err.kind === "unavailable");
    assert.equal(this.state.readValue("my/c"), undefined);
    this.state.faults.down = false;
    this.state.faults.dropNextWriteResponse = true;
    const lost = await this.store.write([], [put], []);
    assert.ok(!lost.ok && lost.err.kind === "ambiguous");
    assert.equal(this.state.readValue("my/c"), "3");
  },
);
