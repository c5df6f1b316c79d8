/**
 * Upstreams that answer relayed requests as a script says, in any timers.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import type { Timers } from "../../base/timers.ts";
import type { HostRef } from "../../ports/host_control.ts";
import type {
  RelayAttempt,
  RelayClient,
  RelayHandle,
  RelayHead,
  RelayListener,
} from "../../ports/relay_client.ts";

/** What an upstream does with the next requests. */
export type UpstreamScript =
  | { readonly kind: "serve" }
  | { readonly kind: "silent_after"; readonly events: number }
  | {
    readonly kind: "pause_after";
    readonly firstEvents: number;
    readonly pauseMs: number;
  }
  /** Reset after half of the event that follows these. */
  | { readonly kind: "reset_after"; readonly events: number }
  | { readonly kind: "reset_unanswered" }
  | { readonly kind: "refuse_not_run" }
  | { readonly kind: "status"; readonly status: number }
  | { readonly kind: "silent" };

const FIRST_EVENT_MS = 40;
const GAP_MS = 30;
const SLOTS = 18;
const PLAIN_MS = 60;

interface Work {
  readonly host: HostRef;
  readonly attempt: RelayAttempt;
  readonly listener: RelayListener;
  isOver: boolean;
}

/** Simulates engines and plain services behind {@linkcode RelayClient}. */
export class ScriptedUpstreams implements RelayClient {
  readonly sends: { host: string; attempt: RelayAttempt }[] = [];
  readonly #timers: Timers;
  readonly #scripts = new Map<string, UpstreamScript>();
  readonly #active = new Map<string, Work[]>();
  readonly #queues = new Map<string, Work[]>();
  #firstScript: UpstreamScript | undefined;
  /** Events of each stream. */
  events = 10;

  constructor(timers: Timers) {
    this.#timers = timers;
  }

  /** Sets what the upstream does that gets the first request. */
  scriptFirst(script: UpstreamScript): void {
    this.#firstScript = script;
  }

  /** Sets what a host does. */
  script(hostId: string, script: UpstreamScript): void {
    this.#scripts.set(hostId, script);
  }

  /** Requests whose body holds the text crash each upstream that runs them. */
  poison: string | undefined;
  readonly crashed: string[] = [];

  /** Requests that upstreams work on. */
  get working(): number {
    let count = 0;
    for (const works of this.#active.values()) count += works.length;
    return count;
  }

  send(
    host: HostRef,
    attempt: RelayAttempt,
    listener: RelayListener,
  ): RelayHandle {
    this.sends.push({ host: host.id, attempt });
    if (this.#firstScript !== undefined) {
      this.#scripts.set(host.id, this.#firstScript);
      this.#firstScript = undefined;
    }
    const work: Work = { host, attempt, listener, isOver: false };
    this.#admit(work);
    return { cancel: () => this.#end(work), pause() {}, resume() {} };
  }

  #admit(work: Work): void {
    const active = this.#active.get(work.host.id) ?? [];
    if (active.length >= SLOTS) {
      const queue = this.#queues.get(work.host.id) ?? [];
      queue.push(work);
      this.#queues.set(work.host.id, queue);
      return;
    }
    active.push(work);
    this.#active.set(work.host.id, active);
    this.#run(work);
  }

  #crash(hostId: string): void {
    this.crashed.push(hostId);
    for (const work of [...this.#active.get(hostId) ?? []]) {
      this.#end(work);
      work.listener.onEnd({ kind: "reset", detail: "crashed" });
    }
  }

  #run(work: Work): void {
    const body = Buffer.from(work.attempt.body).toString();
    if (this.poison !== undefined && body.includes(this.poison)) {
      this.#later(work, FIRST_EVENT_MS, () => this.#crash(work.host.id));
      return;
    }
    const script = this.#scripts.get(work.host.id) ?? { kind: "serve" };
    const { listener } = work;
    switch (script.kind) {
      case "refuse_not_run":
        return this.#answer(work, 2, head(503, { notRun: true }), "");
      case "status":
        return this.#answer(work, PLAIN_MS, head(script.status), "failed");
      case "reset_unanswered":
        this.#later(work, PLAIN_MS, () => {
          this.#end(work);
          listener.onEnd({ kind: "reset", detail: "scripted" });
        });
        return;
      case "silent":
        return;
      default:
        if (
          !work.attempt.path.startsWith("/draft/") &&
          !work.attempt.path.startsWith("/once/")
        ) {
          return this.#answer(work, PLAIN_MS, head(200), "done");
        }
        return this.#stream(work, script);
    }
  }

  #answer(work: Work, afterMs: number, answer: RelayHead, body: string): void {
    this.#later(work, afterMs, () => {
      work.listener.onHead(answer);
      if (body !== "") work.listener.onData(Buffer.from(body));
      this.#end(work);
      work.listener.onEnd({ kind: "ended" });
    });
  }

  #stream(work: Work, script: UpstreamScript): void {
    const { listener, attempt } = work;
    const from = Number(attempt.lastEventId ?? 0) + 1;
    const limit = "events" in script ? script.events : Infinity;
    const next = (id: number) => {
      if (id === from) listener.onHead(head(200, { host: work.host.id }));
      if (id > limit) return this.#breakOff(work, script, id);
      listener.onData(event(id));
      if (id < this.events) {
        const pauses = script.kind === "pause_after" &&
          id === from - 1 + script.firstEvents;
        const gapMs = pauses ? script.pauseMs : GAP_MS;
        this.#later(work, gapMs, () => next(id + 1));
        return;
      }
      this.#end(work);
      listener.onEnd({ kind: "ended" });
    };
    this.#later(work, FIRST_EVENT_MS, () => next(from));
  }

  #breakOff(work: Work, script: UpstreamScript, id: number): void {
    if (script.kind !== "reset_after") return;
    work.listener.onData(event(id).subarray(0, 5));
    this.#end(work);
    work.listener.onEnd({ kind: "reset", detail: "scripted" });
  }

  #later(work: Work, ms: number, callback: () => void): void {
    this.#timers.after(ms, () => {
      if (!work.isOver) callback();
    });
  }

  #end(work: Work): void {
    if (work.isOver) return;
    work.isOver = true;
    const active = this.#active.get(work.host.id) ?? [];
    const at = active.indexOf(work);
    if (at >= 0) active.splice(at, 1);
    const next = this.#queues.get(work.host.id)?.shift();
    if (at >= 0 && next !== undefined && !next.isOver) this.#admit(next);
  }
}

/**
 * Makes one event of a stream.
 *
 * @example
 * ```ts
 * listener.onData(event(1));
 * ```
 */
export function event(id: number): Buffer {
  return Buffer.from(`id: ${id}\ndata: piece ${id}\n\n`);
}

function head(
  status: number,
  more: { notRun?: boolean; host?: string } = {},
): RelayHead {
  return {
    status,
    headers: ["x-host", more.host ?? ""],
    notRun: more.notRun ?? false,
    wrongHost: false,
    faultyMember: undefined,
    isStream: false,
  };
}
