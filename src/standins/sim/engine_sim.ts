/**
 * A model engine on one host: commands, load, generation and faults.
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

/** How an engine behaves. Times are milliseconds. */
export interface EngineProfile {
  readonly capacity: number;
  /** Requests that it bears right after a start. */
  readonly coldCapacity: number;
  /** Requests more that it bears for each completed one. */
  readonly coldGrowth: number;
  readonly prefillMs: number;
  readonly tokenMs: number;
  readonly minTokens: number;
  readonly maxTokens: number;
  /** Tokens sent together. */
  readonly tokensPerChunk: number;
  readonly loadMs: number;
  /** Load time when the weights are still in memory. */
  readonly cachedLoadMs: number;
  readonly restartMs: number;
  /** Time to leave a group once told to. */
  readonly releaseMs: number;
  readonly checksFencing: boolean;
}

/** A profile close to a small model on one fabric domain. */
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

/** A request as an engine gets it. */
export interface EngineRequest {
  readonly attemptId: string;
  readonly fingerprint: string;
  readonly resumeAfter: number;
  readonly poisonous: boolean;
}

/** Receives a generated answer. */
export interface EngineSink {
  data(chunk: Uint8Array): void;
  end(): void;
  /** The connection breaks. */
  broken(): void;
}

/** What an engine needs of its surroundings. */
export interface EngineEnvironment {
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
  readonly members: readonly string[];
}

interface Generation {
  readonly req: EngineRequest;
  readonly sink: EngineSink;
  timer: Timer | undefined;
}

/** Time from a member's death until the leader's requests break. */
const COLLECTIVE_TIMEOUT_MS = 800;
/** A cold engine falls over when it has borne too much for this long. */
const OVERLOAD_MS = 1_500;
const OVERLOAD_CHECK_MS = 100;
/** First byte of a cold engine takes this many times longer. */
const COLD_SLOWDOWN = 3;

/** Returns the number of tokens in the answer to a request. */
export function answerLength(fp: string, profile: EngineProfile): number {
  const span = profile.maxTokens - profile.minTokens + 1;
  return profile.minTokens + hash32(`length ${fp}`) % span;
}

/** Returns one event of the answer to a request; counted from 1. */
export function answerEvent(fingerprint: string, index: number): string {
  const text = `${fingerprint.slice(0, 8)}-${index} `;
  return `id: ${index}\ndata: {"choices":[{"index":0,"delta":{"content":"${text}"}}]}\n\n`;
}

/** The end marker of an event stream. */
export const END_EVENT = "data: [DONE]\n\n";

/** One engine host. */
export class EngineSim {
  readonly hostId: string;
  readonly address: string;
  readonly availabilityZone: string;
  readonly profile: EngineProfile;
  alive = true;
  paused = false;
  slowdown = 1;
  /** Ends the next streams early, without their end marker. */
  truncates = 0;
  leavingSince = Infinity;
  /** Time at which the engine last died or left its group. */
  missingSince = Infinity;
  crashes = 0;
  readonly #env: EngineEnvironment;
  readonly #weights = new Set<string>();
  readonly #running = new Set<Generation>();
  #boots = 1;
  #fence = 0;
  #phase: EnginePhase = "idle";
  #membership: Membership | undefined;
  #completed = 0;
  #everWarm = false;
  #justStarted = true;
  /** Whether every member was ready in this epoch at some time. */
  #formed = false;
  #overloaded = false;
  /** What the last published report said; reports lag behind. */
  #reported = { running: 0, completed: 0 };

  constructor(
    env: EngineEnvironment,
    host: { hostId: string; address: string; availabilityZone: string },
    profile: EngineProfile,
  ) {
    this.#env = env;
    this.hostId = host.hostId;
    this.address = host.address;
    this.availabilityZone = host.availabilityZone;
    this.profile = profile;
  }

  /** Changes with each start. */
  get bootId(): string {
    return `${this.hostId}-b${this.#boots}`;
  }

  /** Requests running now. */
  get running(): number {
    return this.#running.size;
  }

  /** The group that the engine is in. */
  get membership(): Membership | undefined {
    return this.#membership;
  }

  /** Whether the engine is loaded and in a group. */
  get phase(): EnginePhase {
    return this.#phase;
  }

  /** Most requests that it bears at this moment. */
  get bears(): number {
    const { capacity, coldCapacity, coldGrowth } = this.profile;
    if (this.#everWarm) return capacity * 2;
    const bears = coldCapacity + this.#completed * coldGrowth;
    return Math.min(capacity * 2, bears);
  }

  /** Publishes a load report; called with the lag that the stand-in is set to. */
  publishReport(): void {
    this.#reported = { running: this.running, completed: this.#completed };
  }

  /** Answers a status call. */
  status(): EngineStatus {
    return {
      hostId: this.hostId,
      bootId: this.bootId,
      phase: this.#phase,
      groupId: this.#membership?.groupId ?? "",
      epoch: this.#membership?.epoch ?? 0,
      running: this.#reported.running,
      completed: this.#reported.completed,
      capacity: this.profile.capacity,
      weights: [...this.#weights],
    };
  }

  /** Obeys a command. */
  command(call: FencedCommand): Outcome<true, EngineError> {
    if (this.profile.checksFencing && call.fence < this.#fence) {
      return failure({ kind: "rejected", detail: "Old fencing number" });
    }
    this.#fence = Math.max(this.#fence, call.fence);
    const { command } = call;
    const current = this.#membership;
    if (command.kind === "release") {
      const same = current?.groupId === command.groupId &&
        current.epoch === command.epoch;
      if (same) this.#leaveLater(current);
      return success(true);
    }
    if (
      current?.epoch === command.epoch && current.groupId === command.groupId
    ) {
      return success(true);
    }
    if (current !== undefined) {
      const at = this.#env.timers.now();
      const { hostId } = this;
      const { groupId } = command;
      this.#env.journal.record({ kind: "stolen", at, hostId, groupId });
    }
    this.#leave();
    this.#join(command);
    return success(true);
  }

  /** Runs a request on the group that this engine leads. */
  generate(req: EngineRequest, sink: EngineSink): { cancel(): void } {
    const generation: Generation = { req, sink, timer: undefined };
    this.#running.add(generation);
    this.#recordStart(req);
    if (req.poisonous) {
      const { timers } = this.#env;
      generation.timer = timers.after(this.profile.prefillMs, () => {
        this.crash("request", req.fingerprint);
      });
    } else {
      this.#scheduleFirst(generation);
      this.#watchOverload();
    }
    return { cancel: () => this.#drop(generation) };
  }

  /** Whether the engine runs the model of a request sent to it. */
  serves(epoch: number): boolean {
    return this.#phase === "ready" && this.#membership?.epoch === epoch &&
      this.#membership.members[0] === this.address;
  }

  /** Ends the program; it starts again after a while, with nothing loaded. */
  crash(cause: "overload" | "request" | "fault", fingerprint = ""): void {
    if (!this.alive) return;
    const at = this.#env.timers.now();
    this.#env.journal.record({
      kind: "crashed",
      at,
      hostId: this.hostId,
      cause,
      fingerprint,
    });
    this.crashes += 1;
    this.die();
    this.#env.timers.after(this.profile.restartMs, () => this.restart());
  }

  /** The host goes away. */
  die(): void {
    this.#leave();
    this.alive = false;
    this.#weights.clear();
  }

  /** The host comes back with another boot. */
  restart(): void {
    if (this.alive) return;
    this.alive = true;
    this.#boots += 1;
    this.#fence = 0;
    this.#overloaded = false;
    this.#justStarted = true;
    this.#everWarm = false;
    this.#reported = { running: 0, completed: 0 };
  }

  /** A warm engine turns cold: slow, and bearing little, until it has warmed up. */
  turnCold(): void {
    this.#completed = 0;
    this.#everWarm = false;
  }

  #join(command: Extract<FencedCommand["command"], { kind: "load" }>): void {
    const { groupId, epoch, model, members } = command;
    const membership = { groupId, epoch, model, members };
    this.#membership = membership;
    this.#phase = "loading";
    this.#formed = false;
    this.#completed = 0;
    this.#everWarm = false;
    this.#justStarted = true;
    const name = `${model}@${command.version}`;
    const done = () => {
      if (this.#membership !== membership || !this.alive) return;
      this.#weights.clear();
      this.#weights.add(name);
      this.#phase = "ready";
      this.missingSince = Infinity;
      this.#noteFormed(members[0]);
      const at = this.#env.timers.now();
      const { hostId } = this;
      this.#env.journal.record({ kind: "joined", at, hostId, groupId, epoch });
    };
    if (this.#weights.has(name)) {
      this.#env.timers.after(this.profile.cachedLoadMs, done);
    } else {
      this.#env.weights.load(this.profile.loadMs, done);
    }
  }

  /** The last member to get ready makes the group whole. */
  #noteFormed(leaderAddress: string): void {
    const leader = this.#env.engineAt(leaderAddress);
    if (leader !== undefined && this.#brokenSince() === Infinity) {
      leader.#formed = true;
    }
  }

  /** Unloading takes a while; the engine is in the group until then. */
  #leaveLater(membership: Membership): void {
    this.#env.timers.after(this.profile.releaseMs, () => {
      if (this.#membership === membership) this.#leave();
    });
  }

  #leave(): void {
    const membership = this.#membership;
    const at = this.#env.timers.now();
    if (membership !== undefined) {
      const { groupId, epoch } = membership;
      const { hostId } = this;
      this.#env.journal.record({ kind: "left", at, hostId, groupId, epoch });
      this.missingSince = at;
      this.#breakLeader(membership);
    }
    this.#membership = undefined;
    this.#phase = "idle";
    this.#breakAll();
  }

  /** The leader's requests break once its collective operations time out. */
  #breakLeader(membership: Membership): void {
    const [leaderAddress] = membership.members;
    if (leaderAddress === this.address) return;
    const leader = this.#env.engineAt(leaderAddress);
    this.#env.timers.after(COLLECTIVE_TIMEOUT_MS, () => {
      if (leader?.membership?.epoch === membership.epoch) leader.#breakAll();
    });
  }

  #breakAll(): void {
    const running = [...this.#running];
    this.#running.clear();
    for (const generation of running) {
      generation.timer?.cancel();
      generation.sink.broken();
    }
  }

  /** Falls over unless the load has gone down in time. */
  #watchOverload(): void {
    if (this.running <= this.bears || this.#overloaded) return;
    this.#overloaded = true;
    const boot = this.bootId;
    const check = (leftMs: number) => {
      this.#env.timers.after(OVERLOAD_CHECK_MS, () => {
        if (boot !== this.bootId || !this.alive) return;
        if (this.running <= this.bears) this.#overloaded = false;
        else if (leftMs > 0) check(leftMs - OVERLOAD_CHECK_MS);
        else this.crash("overload");
      });
    };
    check(OVERLOAD_MS);
  }

  #drop(generation: Generation): void {
    generation.timer?.cancel();
    this.#running.delete(generation);
  }

  /** Members that are not there, by the time since when. */
  #brokenSince(): number {
    let since = Infinity;
    const own = this.#membership;
    for (const address of own?.members ?? []) {
      const engine = this.#env.engineAt(address);
      const present = engine?.alive === true && engine.#phase === "ready" &&
        engine.membership?.epoch === own?.epoch;
      if (present) continue;
      const missingSince = engine?.missingSince ?? 0;
      // A member that never joined has been missing from the start.
      since = Math.min(since, Number.isFinite(missingSince) ? missingSince : 0);
    }
    return since;
  }

  #recordStart(req: EngineRequest): void {
    const at = this.#env.timers.now();
    const since = this.#brokenSince();
    this.#env.journal.record({
      kind: "request_started",
      at,
      hostId: this.hostId,
      groupId: this.#membership?.groupId ?? "",
      epoch: this.#membership?.epoch ?? 0,
      availabilityZone: this.availabilityZone,
      attemptId: req.attemptId,
      fingerprint: req.fingerprint,
      whole: since === Infinity,
      formed: this.#formed,
      brokenForMs: since === Infinity ? 0 : at - since,
      running: this.running,
      bears: this.bears,
      justStarted: this.#justStarted,
      leavingForMs: Math.max(0, at - this.leavingSince),
    });
  }

  #scheduleFirst(generation: Generation): void {
    const cold = this.#everWarm ? 1 : COLD_SLOWDOWN;
    const load = 1 + this.running / this.profile.capacity / 2;
    const cached = generation.req.resumeAfter > 0 ? 0.8 : 1;
    const delay = this.profile.prefillMs * cold * load * cached * this.slowdown;
    this.#scheduleNext(generation, generation.req.resumeAfter + 1, delay);
  }

  #scheduleNext(generation: Generation, next: number, delayMs: number): void {
    generation.timer = this.#env.timers.after(delayMs, () => {
      this.#emit(generation, next);
    });
  }

  #emit(generation: Generation, next: number): void {
    if (this.paused || this.#brokenSince() !== Infinity) {
      // Nothing comes out while the process stands still or a member is gone.
      const wait = this.profile.tokenMs * 4;
      generation.timer = this.#env.timers.after(wait, () => {
        this.#emit(generation, next);
      });
      return;
    }
    const { fingerprint } = generation.req;
    const total = answerLength(fingerprint, this.profile);
    const last = Math.min(total, next + this.profile.tokensPerChunk - 1);
    let text = "";
    for (let i = next; i <= last; i++) text += answerEvent(fingerprint, i);
    if (last >= total) return this.#complete(generation, text + END_EVENT);
    generation.sink.data(Buffer.from(text));
    const load = 0.75 + this.running / this.profile.capacity / 4;
    if (this.truncates > 0) {
      this.truncates -= 1;
      this.#running.delete(generation);
      return generation.sink.end();
    }
    const count = last - next + 1;
    const delay = this.profile.tokenMs * count * load * this.slowdown;
    this.#scheduleNext(generation, last + 1, delay);
  }

  #complete(generation: Generation, text: string): void {
    this.#running.delete(generation);
    this.#completed += 1;
    const { capacity, coldCapacity, coldGrowth } = this.profile;
    const warm = coldCapacity + this.#completed * coldGrowth >= capacity * 2;
    if (warm) {
      this.#everWarm = true;
      this.#justStarted = false;
    }
    generation.sink.data(Buffer.from(text));
    generation.sink.end();
    this.#env.journal.record({
      kind: "request_completed",
      at: this.#env.timers.now(),
      hostId: this.hostId,
      fingerprint: generation.req.fingerprint,
      whole: this.#brokenSince() === Infinity,
    });
  }
}
