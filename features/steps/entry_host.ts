/**
 * An entry host in virtual time, and the node that runs on it.
 *
 * @module
 */
import { failure } from "../../src/base/outcome.ts";
import { sleep } from "../../src/base/timers.ts";
import { Random } from "../../src/base/random.ts";
import { Node } from "../../src/node/node.ts";
import { StartTimeline } from "../../src/node/start_timeline.ts";
import type { CoordinationStore } from "../../src/ports/coordination_store.ts";
import type {
  RelayClient,
  RelayListener,
} from "../../src/ports/relay_client.ts";
import type { NodeSettings } from "../../src/settings/node_settings.ts";
import type { NodeFleet } from "./node_fleet.ts";
import { API_KEY, LINK_DELAY_MS, SCHEMA } from "./node_fleet.ts";
import { ProcessTimers } from "./process_timers.ts";
import { RecordedResponse } from "./relay_fixture.ts";
import { RecordedLog } from "./simulated_fleet.ts";

/** A node ends this long after SIGTERM if no request is in flight. */
const SHUTDOWN_MS = 2_700;
/** Interval of the requests that each node receives. */
const REQUEST_INTERVAL_MS = 70;

/** Steps of a start that a process reaches before it creates its node. */
const STEPS_OF_PROCESS = [
  "runtimeReady",
  "codeLoaded",
  "settingsRead",
  "socketsListening",
] as const;

/** How the store treats the requests of one node. */
export type StoreAccess = "served" | "silent" | "refused" | "busy" | "reset";

/** Responses of a store that turns a node away. */
const STORE_FAILURES = {
  refused: failure({ kind: "unavailable", detail: "status 503" }),
  busy: failure({ kind: "unavailable", detail: "status 429" }),
  reset: failure({ kind: "ambiguous", detail: "ECONNRESET" }),
} as const;

/** One run of a node's process. */
interface NodeRun {
  readonly node: Node;
  readonly timers: ProcessTimers;
  readonly log: RecordedLog;
}

/** An entry host, whose process may end and start again. */
export class EntryHost {
  readonly id: string;
  readonly #fleet: NodeFleet;
  readonly zone: string;
  #run: NodeRun | undefined;
  /** Receives the datagrams for the current run. */
  #receive: ((payload: Uint8Array, from: string) => void) | undefined;
  /** Logs of all runs, the current one last. */
  readonly logs: RecordedLog[] = [];
  #runCount = 0;
  #requestCount = 0;
  /** Number of times that responses of the store were lost. */
  #lossCount = 0;
  storeAccess: StoreAccess = "served";
  receivesStatuses = true;
  /** Share of a core in the settings; undefined as in earlier settings. */
  processorShare: number | undefined;
  /** Share of time for which the event loop is busy. */
  load = 0;
  /** Number of requests for changes of hosts. */
  hostPolls = 0;
  /** When the entry host was last stopped, started, or turned away by the store. */
  disturbedAt = -Infinity;

  constructor(fleet: NodeFleet, id: string, zone: string) {
    this.#fleet = fleet;
    this.id = id;
    this.zone = zone;
    fleet.timers.subscribe(REQUEST_INTERVAL_MS, () => this.#sendRequest());
  }

  get isRunning(): boolean {
    return this.#run !== undefined;
  }

  /** Whether the node leads, according to its last log line about the lease. */
  get isLeader(): boolean {
    const events = this.#run?.log.events ?? [];
    const last = events.findLast(({ event }) =>
      event === "acting_gained" || event === "acting_lost"
    );
    return last?.event === "acting_gained";
  }

  get #isStoreSilent(): boolean {
    return this.storeAccess === "silent";
  }

  /** The node's answer to a caller of a zone. */
  addresses(zone: string): readonly string[] {
    return this.#run?.node.addresses(zone).addresses ?? [];
  }

  /** What the node's metrics say. */
  metrics(): Promise<string> {
    return this.#run?.node.metrics.registry.metrics() ?? Promise.resolve("");
  }

  /** Log events of the current run. */
  get log(): RecordedLog | undefined {
    return this.#run?.log;
  }

  start(): void {
    if (this.#run !== undefined) return;
    this.#disturb();
    const timers = new ProcessTimers(this.#fleet.timers);
    const log = new RecordedLog(() => timers.now());
    this.logs.push(log);
    const node = this.#createNode(timers, log);
    this.#run = { node, timers, log };
    node.start();
  }

  /** Sends SIGTERM: the node withdraws and its process ends later. */
  terminate(): void {
    const run = this.#run;
    if (run === undefined) return;
    this.#disturb();
    run.node.withdraw();
    this.#fleet.timers.after(SHUTDOWN_MS, () => {
      if (this.#run === run) this.kill();
    });
  }

  /** Ends the process at once. */
  kill(): void {
    if (this.#run === undefined) return;
    this.#disturb();
    this.#run.timers.isRunning = false;
    this.#run = undefined;
  }

  /** Delivers a datagram. */
  receive(payload: Uint8Array, from: string): void {
    if (this.receivesStatuses) this.#receive?.(payload, from);
  }

  /** Loses the store's responses to the requests in progress. */
  loseResponses(): void {
    this.#lossCount += 1;
  }

  #disturb(): void {
    this.disturbedAt = this.#fleet.timers.now();
  }

  #sendRequest(): void {
    if (this.#run === undefined) return;
    const id = `${this.id}-${this.#requestCount++}`;
    const { node, timers } = this.#run;
    node.relay.handle({
      id,
      method: "GET",
      hostName: "album.example",
      target: `/look/${id}`,
      headers: [],
      body: new Uint8Array(),
      apiKey: API_KEY,
      deadlineMs: 800,
      heldMs: 0,
      lastEventId: undefined,
      model: undefined,
      promptTokens: 0,
      maxTokens: 0,
      promptParts: [],
      expectedTokens: undefined,
    }, new RecordedResponse(() => timers.now()));
  }

  #createNode(timers: ProcessTimers, log: RecordedLog): Node {
    const fleet = this.#fleet;
    const startedAt = timers.now();
    const timeline = new StartTimeline(() => timers.now() - startedAt);
    for (const step of STEPS_OF_PROCESS) timeline.mark(step);
    const unreachable = () =>
      Promise.resolve(
        { ok: false, err: { kind: "refused", detail: "no engine" } } as const,
      );
    return new Node({
      settings: this.#settings(),
      timers,
      wallClock: () => timers.now(),
      random: new Random(fleet.random.int(1_000_000)),
      incarnation: `${this.id}-run-${this.#runCount++}`,
      store: this.#store(timers),
      schema: SCHEMA,
      control: { report: unreachable, command: unreachable },
      client: this.#client(timers),
      datagrams: {
        send: (to, payload) => {
          if (timers.isRunning) fleet.deliver(this, to, payload);
        },
        onMessage: (receive) => {
          this.#receive = (payload, from) => {
            if (timers.isRunning) receive(payload, from);
          };
        },
      },
      log,
      loopBusyMs: () => timers.now() * this.load,
      addressTtlMs: 3_000,
      onLimits: () => {},
      timeline,
    });
  }

  #settings(): NodeSettings {
    return {
      node: {
        id: this.id,
        availability_zone: this.zone,
        region: "region",
        ip: this.id,
        caller_address: `${this.id}:1`,
        ready_address: `${this.id}:2`,
        directory_address: `${this.id}:3`,
        internal_port: 7,
        metrics_port: 8,
        link: 1_000,
        cores: 1,
        processor_share: this.processorShare,
        seeds: this.#fleet.seeds,
      },
      platform: { store: "store:1", heartbeat: 1_200 },
      bounds: {
        confirm_keys_within: 5_000,
        change_in_force_within: 3_000,
        drain_within: this.#fleet.drainMs,
        shutdown_within: 8_000,
        stall: 4_000,
        retry_ratio: 0.2,
        retry_window: 10_000,
        retry_slack: 298,
        load_window: 5_000,
        address_ttl_max: 5_000,
      },
      log: { format: "json", level: "info" },
    };
  }

  /** The store as this entry host reaches it. */
  #store(timers: ProcessTimers): CoordinationStore {
    const client = this.#fleet.store.client();
    const through = async <T>(request: () => Promise<T>): Promise<T> => {
      const access = this.storeAccess;
      if (access !== "served" && access !== "silent") {
        return STORE_FAILURES[access] as T;
      }
      const { storeDelayMs } = this.#fleet;
      if (storeDelayMs > 0) await sleep(timers, storeDelayMs);
      const lossCount = this.#lossCount;
      const res = this.#isStoreSilent ? undefined : await request();
      // The response is lost, too, if the store has turned silent meanwhile.
      const isLost = res === undefined || this.#isStoreSilent ||
        lossCount !== this.#lossCount || !timers.isRunning;
      return isLost ? new Promise(() => {}) : res;
    };
    return {
      list: (prefix) => through(() => client.list(prefix)),
      changes: (prefix, after, waitMs) => {
        this.#fleet.countRead(prefix);
        if (prefix === SCHEMA.hostPrefix) this.hostPolls += 1;
        return through(() => client.changes(prefix, after, waitMs));
      },
      write: (conditions, puts, removes) =>
        through(() => client.write(conditions, puts, removes)),
      grantLease: (ttlMs) => {
        this.#fleet.grantCount += 1;
        return through(() => client.grantLease(ttlMs));
      },
      renewLease: (id) => through(() => client.renewLease(id)),
      endLease: (id) => through(() => client.endLease(id)),
    };
  }

  /** Hosts answer each request at once. */
  #client(timers: ProcessTimers): RelayClient {
    return {
      send: (host, attempt, listener) => {
        let isCancelled = false;
        timers.after(this.#fleet.connectMs, () => {
          if (isCancelled) return;
          if (attempt.mayStart()) {
            return this.#answer(timers, host.id, listener);
          }
          listener.onEnd({ kind: "withheld", detail: "left" });
        });
        return {
          cancel: () => isCancelled = true,
          discard() {},
          pause() {},
          resume() {},
        };
      },
    };
  }

  #answer(
    timers: ProcessTimers,
    hostId: string,
    listener: RelayListener,
  ): void {
    const at = timers.now();
    this.#fleet.sent.push({ nodeId: this.id, hostId, at });
    timers.after(2 * LINK_DELAY_MS, () => {
      listener.onHead({
        status: 200,
        headers: [],
        notRun: false,
        wrongHost: false,
        faultyMemberId: undefined,
        isStream: false,
        rateLimit: { kind: "unlimited" },
      });
      listener.onEnd({ kind: "ended" });
    });
  }
}
