/**
 * Simulates a model engine on one host: commands, loading, generation, faults.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import { hash32 } from "../../base/hash.ts";
import type { Outcome } from "../../base/outcome.ts";
import { failure, success } from "../../base/outcome.ts";
import type { Timer, Timers } from "../../base/timers.ts";
import type {
  EngineError,
  EnginePhase,
  EngineStatus,
  FencedCommand,
} from "../../ports/engine_control.ts";
import type { Journal } from "./journal.ts";
import type { WeightStoreSim } from "./weight_store.ts";

/** Capacity and speed of an engine. Times are in milliseconds. */
export interface EngineProfile {
  /** Reported capacity; a warm engine tolerates twice as many requests. */
  readonly capacity: number;
  /** Concurrent requests that the engine tolerates when it joins a group. */
  readonly coldCapacity: number;
  /** Concurrent requests that each completed request adds to `coldCapacity`. */
  readonly coldGrowth: number;
  /** Base time to the first chunk; load and a cold engine increase it. */
  readonly prefillMs: number;
  /** Base time per token; load and `slowdown` change it. */
  readonly tokenMs: number;
  readonly minTokens: number;
  readonly maxTokens: number;
  /** Tokens in each chunk. */
  readonly tokensPerChunk: number;
  readonly loadMs: number;
  /** Load time if the weights are still in memory. */
  readonly cachedLoadMs: number;
  readonly restartMs: number;
  /** Time from the release command until the engine leaves its group. */
  readonly releaseMs: number;
  /** Whether commands with an outdated fencing token are rejected. */
  readonly checksFencing: boolean;
}

/** Approximates an engine that runs a small model in one fabric domain. */
export const DEFAULT_PROFILE: EngineProfile = {
  capacity: 16,
  coldCapacity: 3,
  coldGrowth: 2,
  prefillMs: 150,
  tokenMs: 25,
  minTokens: 12,
  maxTokens: 48,
  tokensPerChunk: 1,
  loadMs: 8_000,
  cachedLoadMs: 1_000,
  restartMs: 3_000,
  releaseMs: 300,
  checksFencing: true,
};

/** A request as an engine receives it. */
export interface EngineRequest {
  readonly attemptId: string;
  /** Determines the length and the content of the response. */
  readonly fingerprint: string;
  /** Index of the last event that the caller has; 0 for a whole response. */
  readonly resumeAfter: number;
  /** Whether the request crashes each engine that runs it. */
  readonly poisonous: boolean;
}

/** Receives a generated response. */
export interface EngineSink {
  data(chunk: Uint8Array): void;
  end(): void;
  /** Called instead of `end` if the engine aborts the connection. */
  abort(): void;
}

/** Dependencies of {@linkcode EngineSim}. */
export interface EngineDependencies {
  readonly timers: Timers;
  readonly weights: WeightStoreSim;
  readonly journal: Journal;
  /** Finds another engine by its address. */
  engineAt(address: string): EngineSim | undefined;
}

interface Membership {
  readonly groupId: string;
  readonly epoch: number;
  readonly model: string;
  /** Addresses of all members, the head first. */
  readonly members: readonly string[];
}

interface Generation {
  readonly req: EngineRequest;
  readonly sink: EngineSink;
  timer: Timer | undefined;
}

/** Time from the loss of a member until the head aborts its requests. */
const COLLECTIVE_TIMEOUT_MS = 800;
/** An engine crashes after it has been overloaded for this long. */
const OVERLOAD_CRASH_MS = 1_500;
const OVERLOAD_CHECK_MS = 100;
/** Multiplier for the time to a cold engine's first chunk. */
const COLD_FIRST_BYTE_FACTOR = 3;

/** Returns the number of tokens in the response to a request. */
export function responseTokenCount(
  fingerprint: string,
  profile: EngineProfile,
): number {
  const span = profile.maxTokens - profile.minTokens + 1;
  return profile.minTokens + hash32(`length ${fingerprint}`) % span;
}

/** Returns one event of the response to a request; `index` starts at 1. */
export function responseEvent(fingerprint: string, index: number): string {
  const text = `${fingerprint.slice(0, 8)}-${index} `;
  return `id: ${index}\ndata: {"choices":[{"index":0,"delta":{"content":"${text}"}}]}\n\n`;
}

/** The end marker of an event stream. */
export const END_EVENT = "data: [DONE]\n\n";

/** The simulated engine of one host. */
export class EngineSim {
  readonly hostId: string;
  readonly address: string;
  readonly availabilityZone: string;
  readonly profile: EngineProfile;
  alive = true;
  paused = false;
  /** Multiplier for the times of generation. */
  slowdown = 1;
  /** Number of streams still to be ended early, without their end marker. */
  streamsToTruncate = 0;
  /** Time at which the host began to leave; `Infinity` if it is not leaving. */
  leavingSince = Infinity;
  /**
   * Time at which the engine last left a group, also by a crash; `Infinity` if
   * it has been ready since or has never left one.
   */
  missingSince = Infinity;
  crashes = 0;
  readonly #deps: EngineDependencies;
  readonly #weights = new Set<string>();
  readonly #running = new Set<Generation>();
  #bootCount = 1;
  #highestFence = 0;
  #phase: EnginePhase = "idle";
  #membership: Membership | undefined;
  #completed = 0;
  #isWarm = false;
  /** Whether the engine has not been warm since it last started or joined. */
  #isFirstWarmUp = true;
  /** Whether every member has been ready at the same time in this epoch. */
  #wasComplete = false;
  #isMonitoringOverload = false;
  /** Load as of the last {@linkcode EngineSim.publishReport}. */
  #lastReport = { running: 0, completed: 0 };

  constructor(
    deps: EngineDependencies,
    host: { hostId: string; address: string; availabilityZone: string },
    profile: EngineProfile,
  ) {
    this.#deps = deps;
    this.hostId = host.hostId;
    this.address = host.address;
    this.availabilityZone = host.availabilityZone;
    this.profile = profile;
  }

  /** Identifies the current boot. */
  get bootId(): string {
    return `${this.hostId}-b${this.#bootCount}`;
  }

  /** Number of running requests. */
  get running(): number {
    return this.#running.size;
  }

  /** The group that the engine is a member of. */
  get membership(): Membership | undefined {
    return this.#membership;
  }

  /** Whether the engine is idle, loading or ready in a group. */
  get phase(): EnginePhase {
    return this.#phase;
  }

  /**
   * Concurrent requests that the engine tolerates, given its warm-up so far.
   */
  get maxRunning(): number {
    const { capacity, coldCapacity, coldGrowth } = this.profile;
    if (this.#isWarm) return capacity * 2;
    const maxRunning = coldCapacity + this.#completed * coldGrowth;
    return Math.min(capacity * 2, maxRunning);
  }

  /**
   * Updates the load that {@linkcode EngineSim.status} reports. A simulation
   * calls it at intervals, so that reports lag behind the actual load.
   */
  publishReport(): void {
    this.#lastReport = { running: this.running, completed: this.#completed };
  }

  /** Returns the response to a status request; its load may be outdated. */
  status(): EngineStatus {
    return {
      hostId: this.hostId,
      bootId: this.bootId,
      phase: this.#phase,
      groupId: this.#membership?.groupId ?? "",
      epoch: this.#membership?.epoch ?? 0,
      running: this.#lastReport.running,
      completed: this.#lastReport.completed,
      capacity: this.profile.capacity,
      weights: [...this.#weights],
    };
  }

  /** Executes a command, unless its fencing token is out of date. */
  command(fencedCommand: FencedCommand): Outcome<true, EngineError> {
    if (
      this.profile.checksFencing && fencedCommand.fence < this.#highestFence
    ) {
      return failure({ kind: "rejected", detail: "Old fencing number" });
    }
    this.#highestFence = Math.max(this.#highestFence, fencedCommand.fence);
    const { command } = fencedCommand;
    const current = this.#membership;
    if (command.kind === "release") {
      const isSameGroup = current?.groupId === command.groupId &&
        current.epoch === command.epoch;
      if (isSameGroup) this.#scheduleLeave(current);
      return success(true);
    }
    if (
      current?.epoch === command.epoch && current.groupId === command.groupId
    ) {
      return success(true);
    }
    if (current !== undefined) {
      const at = this.#deps.timers.now();
      const { hostId } = this;
      const { groupId } = command;
      this.#deps.journal.record({
        kind: "loaded_while_in_group",
        at,
        hostId,
        groupId,
      });
    }
    this.#leave();
    this.#join(command);
    return success(true);
  }

  /** Runs a request on the group whose head this engine is. */
  generate(req: EngineRequest, sink: EngineSink): { cancel(): void } {
    const generation: Generation = { req, sink, timer: undefined };
    this.#running.add(generation);
    this.#recordStart(req);
    if (req.poisonous) {
      const { timers } = this.#deps;
      generation.timer = timers.after(this.profile.prefillMs, () => {
        this.crash("request", req.fingerprint);
      });
    } else {
      this.#scheduleFirstChunk(generation);
      this.#monitorOverload();
    }
    return { cancel: () => this.#cancel(generation) };
  }

  /** Whether the engine is ready and the head of a group with this epoch. */
  serves(epoch: number): boolean {
    return this.#phase === "ready" && this.#membership?.epoch === epoch &&
      this.#membership.members[0] === this.address;
  }

  /** Crashes the process, which restarts after `restartMs` without weights. */
  crash(cause: "overload" | "request" | "fault", fingerprint = ""): void {
    if (!this.alive) return;
    const at = this.#deps.timers.now();
    this.#deps.journal.record({
      kind: "crashed",
      at,
      hostId: this.hostId,
      cause,
      fingerprint,
    });
    this.crashes += 1;
    this.die();
    this.#deps.timers.after(this.profile.restartMs, () => this.restart());
  }

  /**
   * Stops the host without notice. Its requests are aborted, and it loses its
   * weights.
   */
  die(): void {
    this.#leave();
    this.alive = false;
    this.#weights.clear();
  }

  /** Starts the host again, under a new boot id. */
  restart(): void {
    if (this.alive) return;
    this.alive = true;
    this.#bootCount += 1;
    this.#highestFence = 0;
    this.#isMonitoringOverload = false;
    this.#isFirstWarmUp = true;
    this.#isWarm = false;
    this.#lastReport = { running: 0, completed: 0 };
  }

  /**
   * Makes the engine cold: slow, with little capacity until it has warmed up.
   */
  resetWarmUp(): void {
    this.#completed = 0;
    this.#isWarm = false;
  }

  #join(command: Extract<FencedCommand["command"], { kind: "load" }>): void {
    const { groupId, epoch, model, members } = command;
    const membership = { groupId, epoch, model, members };
    this.#membership = membership;
    this.#phase = "loading";
    this.#wasComplete = false;
    this.#completed = 0;
    this.#isWarm = false;
    this.#isFirstWarmUp = true;
    const weightsId = `${model}@${command.version}`;
    const onLoaded = () => {
      if (this.#membership !== membership || !this.alive) return;
      this.#weights.clear();
      this.#weights.add(weightsId);
      this.#phase = "ready";
      this.missingSince = Infinity;
      this.#markCompleteOnHead(members[0]);
      const at = this.#deps.timers.now();
      const { hostId } = this;
      this.#deps.journal.record({ kind: "joined", at, hostId, groupId, epoch });
    };
    if (this.#weights.has(weightsId)) {
      this.#deps.timers.after(this.profile.cachedLoadMs, onLoaded);
    } else {
      this.#deps.weights.load(this.profile.loadMs, onLoaded);
    }
  }

  /**
   * Marks the group as complete on its head if all of its members are ready.
   */
  #markCompleteOnHead(headAddress: string): void {
    const head = this.#deps.engineAt(headAddress);
    if (head !== undefined && this.#incompleteSince() === Infinity) {
      head.#wasComplete = true;
    }
  }

  /** Leaves after `releaseMs`: the engine remains a member while it unloads. */
  #scheduleLeave(membership: Membership): void {
    this.#deps.timers.after(this.profile.releaseMs, () => {
      if (this.#membership === membership) this.#leave();
    });
  }

  #leave(): void {
    const membership = this.#membership;
    const at = this.#deps.timers.now();
    if (membership !== undefined) {
      const { groupId, epoch } = membership;
      const { hostId } = this;
      this.#deps.journal.record({ kind: "left", at, hostId, groupId, epoch });
      this.missingSince = at;
      this.#scheduleHeadAbort(membership);
    }
    this.#membership = undefined;
    this.#phase = "idle";
    this.#abortAll();
  }

  /**
   * Aborts the head's requests after the timeout of a collective operation,
   * which this engine no longer takes part in.
   */
  #scheduleHeadAbort(membership: Membership): void {
    const [headAddress] = membership.members;
    if (headAddress === this.address) return;
    const head = this.#deps.engineAt(headAddress);
    this.#deps.timers.after(COLLECTIVE_TIMEOUT_MS, () => {
      if (head?.membership?.epoch === membership.epoch) head.#abortAll();
    });
  }

  #abortAll(): void {
    const running = [...this.#running];
    this.#running.clear();
    for (const generation of running) {
      generation.timer?.cancel();
      generation.sink.abort();
    }
  }

  /** Crashes the engine if it stays overloaded for `OVERLOAD_CRASH_MS`. */
  #monitorOverload(): void {
    if (this.running <= this.maxRunning || this.#isMonitoringOverload) return;
    this.#isMonitoringOverload = true;
    const boot = this.bootId;
    const check = (remainingMs: number) => {
      this.#deps.timers.after(OVERLOAD_CHECK_MS, () => {
        if (boot !== this.bootId || !this.alive) return;
        if (this.running <= this.maxRunning) this.#isMonitoringOverload = false;
        else if (remainingMs > 0) check(remainingMs - OVERLOAD_CHECK_MS);
        else this.crash("overload");
      });
    };
    check(OVERLOAD_CRASH_MS);
  }

  #cancel(generation: Generation): void {
    generation.timer?.cancel();
    this.#running.delete(generation);
  }

  /**
   * Returns the time since which a member has been missing; `Infinity` if every
   * member is present.
   */
  #incompleteSince(): number {
    let since = Infinity;
    const membership = this.#membership;
    for (const address of membership?.members ?? []) {
      const engine = this.#deps.engineAt(address);
      const isPresent = engine?.alive === true && engine.#phase === "ready" &&
        engine.membership?.epoch === membership?.epoch;
      if (isPresent) continue;
      const missingSince = engine?.missingSince ?? 0;
      // A member that never joined counts as missing since time 0.
      since = Math.min(since, Number.isFinite(missingSince) ? missingSince : 0);
    }
    return since;
  }

  #recordStart(req: EngineRequest): void {
    const at = this.#deps.timers.now();
    const since = this.#incompleteSince();
    this.#deps.journal.record({
      kind: "request_started",
      at,
      hostId: this.hostId,
      groupId: this.#membership?.groupId ?? "",
      epoch: this.#membership?.epoch ?? 0,
      availabilityZone: this.availabilityZone,
      attemptId: req.attemptId,
      fingerprint: req.fingerprint,
      isComplete: since === Infinity,
      wasComplete: this.#wasComplete,
      incompleteForMs: since === Infinity ? 0 : at - since,
      running: this.running,
      maxRunning: this.maxRunning,
      isFirstWarmUp: this.#isFirstWarmUp,
      leavingForMs: Math.max(0, at - this.leavingSince),
    });
  }

  #scheduleFirstChunk(generation: Generation): void {
    const coldFactor = this.#isWarm ? 1 : COLD_FIRST_BYTE_FACTOR;
    const loadFactor = 1 + this.running / this.profile.capacity / 2;
    const cacheFactor = generation.req.resumeAfter > 0 ? 0.8 : 1;
    const delayMs = this.profile.prefillMs * coldFactor * loadFactor *
      cacheFactor * this.slowdown;
    this.#scheduleChunk(generation, generation.req.resumeAfter + 1, delayMs);
  }

  #scheduleChunk(generation: Generation, next: number, delayMs: number): void {
    generation.timer = this.#deps.timers.after(delayMs, () => {
      this.#emitChunk(generation, next);
    });
  }

  #emitChunk(generation: Generation, next: number): void {
    if (this.paused || this.#incompleteSince() !== Infinity) {
      // Generation stalls while the process is paused or a member is missing.
      const waitMs = this.profile.tokenMs * 4;
      generation.timer = this.#deps.timers.after(waitMs, () => {
        this.#emitChunk(generation, next);
      });
      return;
    }
    const { fingerprint } = generation.req;
    const total = responseTokenCount(fingerprint, this.profile);
    const last = Math.min(total, next + this.profile.tokensPerChunk - 1);
    let text = "";
    for (let i = next; i <= last; i++) text += responseEvent(fingerprint, i);
    if (last >= total) return this.#complete(generation, text + END_EVENT);
    generation.sink.data(Buffer.from(text));
    const loadFactor = 0.75 + this.running / this.profile.capacity / 4;
    if (this.streamsToTruncate > 0) {
      this.streamsToTruncate -= 1;
      this.#running.delete(generation);
      return generation.sink.end();
    }
    const count = last - next + 1;
    const delayMs = this.profile.tokenMs * count * loadFactor * this.slowdown;
    this.#scheduleChunk(generation, last + 1, delayMs);
  }

  #complete(generation: Generation, text: string): void {
    this.#running.delete(generation);
    this.#completed += 1;
    const { capacity, coldCapacity, coldGrowth } = this.profile;
    const isWarm = coldCapacity + this.#completed * coldGrowth >= capacity * 2;
    if (isWarm) {
      this.#isWarm = true;
      this.#isFirstWarmUp = false;
    }
    generation.sink.data(Buffer.from(text));
    generation.sink.end();
    this.#deps.journal.record({
      kind: "request_completed",
      at: this.#deps.timers.now(),
      hostId: this.hostId,
      fingerprint: generation.req.fingerprint,
      isComplete: this.#incompleteSince() === Infinity,
    });
  }
}
