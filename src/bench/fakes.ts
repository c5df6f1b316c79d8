/**
 * Fakes of the interfaces to other processes, which connect to the simulated
 * systems over the virtual network.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import type { Outcome } from "../base/outcome.ts";
import { failure, success } from "../base/outcome.ts";
import type { Timers } from "../base/timers.ts";
import type {
  ShareRequest,
  ShareResponse,
} from "../core/limits/share_allocator.ts";
import type {
  PeerError,
  PeerHandler,
  PeerNetwork,
  SyncMessage,
} from "../core/membership/messages.ts";
import type {
  EngineControl,
  EngineError,
  EngineStatus,
  FencedCommand,
} from "../ports/engine_control.ts";
import type { HostList, HostListError } from "../ports/host_list.ts";
import type {
  KeyValueStore,
  StoreEntry,
  StoreError,
  StoreLease,
  StorePut,
  StoreWatch,
  TransactionResult,
  WatchListener,
} from "../ports/key_value_store.ts";
import type {
  Attempt,
  AttemptEnd,
  AttemptListener,
  AttemptRequest,
  UpstreamClient,
} from "../ports/upstream_client.ts";
import type { EngineSim } from "../standins/sim/engine_sim.ts";
import type { MemoryKeyValue } from "../standins/sim/memory_key_value.ts";
import type { ServiceSim } from "../standins/sim/service_sim.ts";
import type { GatewayMember } from "../world/configuration.ts";
import type { Host } from "../world/host.ts";
import type { Upstream } from "../world/upstream.ts";
import type {
  CallFailure,
  VirtualNetwork,
  VirtualProcess,
} from "./virtual_network.ts";

/** The key-value store's endpoint in the virtual network. */
export const STORE_ENDPOINT = "store";
/** The host list's endpoint in the virtual network. */
export const HOST_LIST_ENDPOINT = "host-list";
const STORE_TIMEOUT_MS = 2_000;
const PEER_TIMEOUT_MS = 800;
const CONTROL_TIMEOUT_MS = 1_000;
const CONNECT_TIMEOUT_MS = 1_000;
/**
 * Delay of a late write; longer than `STORE_TIMEOUT_MS`, so that the client has
 * timed out before the write is applied.
 */
const LATE_WRITE_DELAY_MS = 2_600;
/** Body text that makes a request crash each engine that runs it. */
export const POISON_MARKER = "crash-the-engine";

/**
 * The simulated key-value store; injects faults and records peak call rates.
 */
export class StoreService {
  readonly state: MemoryKeyValue;
  down = false;
  /** Number of next writes that are applied but get no response. */
  responsesToDrop = 0;
  /** Number of next writes that are applied after their client timed out. */
  writesToDelay = 0;
  /** Highest number of reads in one second. */
  peakReads = 0;
  /** Highest number of writes in one second. */
  peakWrites = 0;
  readonly #timers: Timers;
  #currentSecond = -1;
  #reads = 0;
  #writes = 0;

  constructor(timers: Timers, state: MemoryKeyValue) {
    this.#timers = timers;
    this.state = state;
  }

  /** Counts a call; each open watch counts as one read per second. */
  countCall(kind: "read" | "write"): void {
    const second = Math.floor(this.#timers.now() / 1000);
    if (second !== this.#currentSecond) {
      [this.#currentSecond, this.#reads, this.#writes] = [second, 0, 0];
    }
    if (kind === "read") this.#reads += 1;
    else this.#writes += 1;
    const reads = this.#reads + this.state.watchCount;
    this.peakReads = Math.max(this.peakReads, reads);
    this.peakWrites = Math.max(this.peakWrites, this.#writes);
  }
}

/** One process's client of the key-value store. */
export class FakeStore implements KeyValueStore {
  readonly #process: VirtualProcess;
  readonly #network: VirtualNetwork;
  readonly #service: StoreService;

  constructor(
    process: VirtualProcess,
    network: VirtualNetwork,
    service: StoreService,
  ) {
    this.#process = process;
    this.#network = network;
    this.#service = service;
  }

  read(key: string): Promise<Outcome<StoreEntry, StoreError>> {
    return this.#call("read", (state) => state.read(key));
  }

  readPrefix(
    prefix: string,
  ): Promise<Outcome<readonly StoreEntry[], StoreError>> {
    return this.#call("read", (state) => state.readPrefix(prefix));
  }

  transact(
    puts: readonly StorePut[],
  ): Promise<Outcome<TransactionResult, StoreError>> {
    return this.#call("write", (state) => state.transact(puts), true);
  }

  grantLease(ttlMs: number): Promise<Outcome<StoreLease, StoreError>> {
    return this.#call("write", (state) => {
      return { id: state.grantLease(ttlMs), ttlMs };
    });
  }

  renewLease(lease: StoreLease): Promise<Outcome<boolean, StoreError>> {
    return this.#call("write", (state) => state.renewLease(lease.id));
  }

  watchPrefix(prefix: string, listener: WatchListener): StoreWatch {
    const from = this.#process.name;
    let open = true;
    const watch = {
      prefix,
      onEntry: (entry: StoreEntry) => {
        if (this.#service.down) return close();
        this.#network.send(STORE_ENDPOINT, from, () => {
          this.#process.runOrDefer(() => open && listener.onEntry(entry));
        });
      },
    };
    const close = () => {
      this.#service.state.unwatch(watch);
      if (!open) return;
      open = false;
      this.#process.after(1_000, () => listener.onClosed());
    };
    this.#network.send(from, STORE_ENDPOINT, () => {
      if (open) this.#service.state.watch(watch);
    });
    return {
      cancel: () => {
        open = false;
        this.#service.state.unwatch(watch);
      },
    };
  }

  async #call<T>(
    kind: "read" | "write",
    operation: (state: MemoryKeyValue) => T,
    canInjectFault = false,
  ): Promise<Outcome<T, StoreError>> {
    const res = await this.#network.call<T>({
      from: this.#process,
      to: STORE_ENDPOINT,
      timeoutMs: STORE_TIMEOUT_MS,
      handle: (respond, refuse) => {
        if (this.#service.down) return refuse();
        this.#service.countCall(kind);
        if (canInjectFault && this.#injectWriteFault(operation)) return;
        respond(operation(this.#service.state));
      },
    });
    if (typeof res === "object") return success(res.value);
    return failure(storeError(res, kind));
  }

  /**
   * If a fault is due, applies the write without a response, at once or late;
   * returns whether it did.
   */
  #injectWriteFault<T>(operation: (state: MemoryKeyValue) => T): boolean {
    const service = this.#service;
    if (service.writesToDelay > 0) {
      service.writesToDelay -= 1;
      this.#process.after(LATE_WRITE_DELAY_MS, () => operation(service.state));
      return true;
    }
    if (service.responsesToDrop <= 0) return false;
    service.responsesToDrop -= 1;
    operation(service.state);
    return true;
  }
}

function storeError(res: CallFailure, kind: "read" | "write"): StoreError {
  const ambiguous = res === "lost" && kind === "write";
  return { kind: ambiguous ? "ambiguous" : "unavailable", detail: res };
}

/** One process's client of the host list. */
export class FakeHostList implements HostList {
  readonly #process: VirtualProcess;
  readonly #network: VirtualNetwork;
  readonly #list: () => readonly Host[];

  constructor(
    process: VirtualProcess,
    network: VirtualNetwork,
    list: () => readonly Host[],
  ) {
    this.#process = process;
    this.#network = network;
    this.#list = list;
  }

  async list(): Promise<Outcome<readonly Host[], HostListError>> {
    const res = await this.#network.call<readonly Host[]>({
      from: this.#process,
      to: HOST_LIST_ENDPOINT,
      timeoutMs: STORE_TIMEOUT_MS,
      handle: (respond) => respond(this.#list()),
    });
    if (typeof res === "object") return success(res.value);
    return failure({ kind: "host_list_unavailable", detail: res });
  }
}

/** All simulated engines and services, by address. */
export interface SimDirectory {
  readonly engines: ReadonlyMap<string, EngineSim>;
  readonly services: ReadonlyMap<string, ServiceSim>;
  /** Whether cancelled requests keep running, and responses still arrive. */
  ignoresCancel: boolean;
}

/** Sends engine commands and status requests over the virtual network. */
export class FakeEngineControl implements EngineControl {
  readonly #process: VirtualProcess;
  readonly #network: VirtualNetwork;
  readonly #sims: SimDirectory;

  constructor(
    process: VirtualProcess,
    network: VirtualNetwork,
    sims: SimDirectory,
  ) {
    this.#process = process;
    this.#network = network;
    this.#sims = sims;
  }

  status(address: string): Promise<Outcome<EngineStatus, EngineError>> {
    return this.#call(address, (sim) => success(sim.status()));
  }

  send(
    address: string,
    command: FencedCommand,
  ): Promise<Outcome<true, EngineError>> {
    return this.#call<true>(address, (sim) => {
      if ("command" in sim) return sim.command(command);
      return failure({ kind: "rejected", detail: "Not an engine" });
    });
  }

  async #call<T>(
    address: string,
    operation: (sim: EngineSim | ServiceSim) => Outcome<T, EngineError>,
  ): Promise<Outcome<T, EngineError>> {
    const sim = this.#sims.engines.get(address) ??
      this.#sims.services.get(address);
    const res = await this.#network.call<Outcome<T, EngineError>>({
      from: this.#process,
      to: address,
      timeoutMs: CONTROL_TIMEOUT_MS,
      handle: (respond, refuse) => {
        if (sim === undefined || !sim.alive) return refuse();
        if (!sim.paused) respond(operation(sim));
      },
    });
    if (typeof res === "object") return res.value;
    return failure({ kind: "unreachable", detail: res });
  }
}

/** Sends requests to upstreams over the virtual network. */
export class FakeUpstreamClient implements UpstreamClient {
  readonly #process: VirtualProcess;
  readonly #network: VirtualNetwork;
  readonly #sims: SimDirectory;

  constructor(
    process: VirtualProcess,
    network: VirtualNetwork,
    sims: SimDirectory,
  ) {
    this.#process = process;
    this.#network = network;
    this.#sims = sims;
  }

  send(
    upstream: Upstream,
    req: AttemptRequest,
    listener: AttemptListener,
  ): Attempt {
    const { address } = upstream;
    const from = this.#process;
    let started = false;
    let ended = false;
    let cancelRun = () => {};
    // Messages on one connection arrive in order, so all have the same delay.
    const oneWayDelayMs = this.#network.randomDelayMs();
    const sendBack = (callback: () => void) =>
      this.#network.send(address, from.name, () => {
        from.runOrDefer(() => {
          if (!ended) callback();
        });
      }, oneWayDelayMs);
    const end = (result: AttemptEnd) =>
      sendBack(() => {
        ended = true;
        listener.onEnd(result);
      });
    this.#network.send(from.name, address, () => {
      if (ended) return;
      started = true;
      cancelRun = this.#handle(upstream, req, {
        head: (status, headers) =>
          sendBack(() => listener.onHead({ status, headers })),
        data: (chunk) => sendBack(() => listener.onData(chunk)),
        end,
      });
    });
    from.after(CONNECT_TIMEOUT_MS, () => {
      if (started || ended) return;
      ended = true;
      listener.onEnd({ kind: "not_sent", detail: "Connect timed out" });
    });
    const cancel = () => {
      if (this.#sims.ignoresCancel) return;
      ended = true;
      this.#network.send(from.name, address, () => cancelRun());
    };
    return { cancel, pause: () => {}, resume: () => {} };
  }

  /** Runs a request on the upstream; returns a function that cancels it. */
  #handle(
    upstream: Upstream,
    req: AttemptRequest,
    response: {
      head(status: number, headers: Record<string, string>): void;
      data(chunk: Uint8Array): void;
      end(result: AttemptEnd): void;
    },
  ): () => void {
    const engine = this.#sims.engines.get(upstream.address);
    const service = this.#sims.services.get(upstream.address);
    const sim = engine ?? service;
    if (sim === undefined || !sim.alive) {
      response.end({ kind: "not_sent", detail: "Connection refused" });
      return () => {};
    }
    const onAbort = () => response.end({ kind: "broken", detail: "Reset" });
    const fingerprint = req.headers["x-request-seed"];
    const { attemptId, resumeAfter } = req;
    if (service !== undefined) {
      const key = req.headers["idempotency-key"] ?? "";
      const order = { service: upstream.serves, idempotencyKey: key };
      const run = service.run({ ...order, fingerprint, attemptId }, {
        respond: (status, body) => {
          response.head(status, { "content-type": "application/json" });
          response.data(Buffer.from(body));
          response.end({ kind: "ended" });
        },
        abort: onAbort,
      });
      return () => run.cancel();
    }
    if (engine === undefined || !engine.serves(upstream.epoch)) {
      response.head(503, { "x-not-run": "1" });
      response.end({ kind: "ended" });
      return () => {};
    }
    const poisonous = Buffer.from(req.body).includes(POISON_MARKER);
    response.head(200, { "content-type": "text/event-stream" });
    const request = { fingerprint, attemptId, resumeAfter, poisonous };
    const run = engine.generate(request, {
      data: response.data,
      end: () => response.end({ kind: "ended" }),
      abort: onAbort,
    });
    return () => run.cancel();
  }
}

/** A peer's handler and the process that it runs in. */
export interface FakePeer {
  readonly process: VirtualProcess;
  readonly handler: PeerHandler;
}

/** Calls gateways over the virtual network. */
export class FakePeerNetwork implements PeerNetwork {
  readonly #process: VirtualProcess;
  readonly #network: VirtualNetwork;
  readonly #findPeer: (address: string) => FakePeer | undefined;

  constructor(
    process: VirtualProcess,
    network: VirtualNetwork,
    findPeer: (address: string) => FakePeer | undefined,
  ) {
    this.#process = process;
    this.#network = network;
    this.#findPeer = findPeer;
  }

  sync(
    peer: GatewayMember,
    msg: SyncMessage,
  ): Promise<Outcome<SyncMessage, PeerError>> {
    return this.#call(peer, (handler) => handler.handleSync(msg));
  }

  requestShare(
    peer: GatewayMember,
    req: ShareRequest,
  ): Promise<Outcome<ShareResponse, PeerError>> {
    return this.#call(peer, (handler) => handler.handleShare(req));
  }

  async #call<T>(
    member: GatewayMember,
    operation: (handler: PeerHandler) => T,
  ): Promise<Outcome<T, PeerError>> {
    const res = await this.#network.call<T>({
      from: this.#process,
      // The id of a seed member is its gateway's id with a prefix.
      to: member.id.replace(/^seed /, ""),
      timeoutMs: PEER_TIMEOUT_MS,
      handle: (respond, refuse) => {
        const peer = this.#findPeer(member.peerAddress);
        if (peer === undefined || peer.process.state === "dead") {
          return refuse();
        }
        peer.process.runOrDefer(() => respond(operation(peer.handler)));
      },
    });
    if (typeof res === "object") return success(res.value);
    return failure({ kind: "peer_unreachable", detail: res });
  }
}
