/**
 * Simulated upstreams that respond to relayed requests according to a script, in
 * real or virtual time.
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

/** How an upstream responds to requests. */
export type UpstreamScript =
  | { readonly kind: "serve" }
  /** Sends the events up to id `events`, then nothing, and stays connected. */
  | { readonly kind: "silent_after"; readonly events: number }
  | {
    /** Pauses once in each response, after its first `firstEvents` events. */
    readonly kind: "pause_after";
    readonly firstEvents: number;
    readonly pauseMs: number;
  }
  /**
   * Sends the events up to id `events`, then only a byte or a comment now and
   * then.
   */
  | {
    readonly kind: "drip_after";
    readonly events: number;
    readonly bytes: "comment" | "byte";
  }
  | {
    /** As `pause_after` for the first request; serves all others. */
    readonly kind: "first_pauses_after";
    readonly firstEvents: number;
    readonly pauseMs: number;
  }
  /** Sends `bytes` of a response without events, then resets the connection. */
  | { readonly kind: "reset_after_bytes"; readonly bytes: number }
  /**
   * Sends the events up to id `events` and a part of the next one, then resets
   * the connection.
   */
  | { readonly kind: "reset_after"; readonly events: number }
  | {
    /** Sends these chunks of the stream that begins with event `firstId`. */
    readonly kind: "chunks";
    readonly chunksFrom: (firstId: number) => readonly Uint8Array[];
    /** Whether the connection is reset after them. */
    readonly isReset?: boolean;
  }
  /** Sends the events up to id `events`, then ends the response. */
  | { readonly kind: "end_after"; readonly events: number }
  /** Resets the connection before the response. */
  | { readonly kind: "reset_before_response" }
  /** Responds with 503 and the guarantee that the request did not run. */
  | { readonly kind: "refuse_not_run" }
  | { readonly kind: "status"; readonly status: number }
  /** Sends no response, and stays connected. */
  | { readonly kind: "silent" };

const DRIP_INTERVAL_MS = 50;
const FIRST_EVENT_MS = 40;
const EVENT_INTERVAL_MS = 30;
/** Requests that a host runs concurrently; others wait in its queue. */
const SLOTS = 18;
const RESPONSE_MS = 60;

interface ActiveRequest {
  readonly host: HostRef;
  readonly attempt: RelayAttempt;
  readonly listener: RelayListener;
  isEnded: boolean;
}

/** Simulates engines and plain services behind {@linkcode RelayClient}. */
export class ScriptedUpstreams implements RelayClient {
  readonly attempts: { host: string; attempt: RelayAttempt }[] = [];
  readonly #timers: Timers;
  readonly #scripts = new Map<string, UpstreamScript>();
  readonly #active = new Map<string, ActiveRequest[]>();
  readonly #queues = new Map<string, ActiveRequest[]>();
  #nextScript: UpstreamScript | undefined;
  /** Number of events in each stream. */
  eventsPerStream = 10;
  /** Requests per second that hosts name in their responses, by host id. */
  readonly rateLimits = new Map<string, number>();
  /** Size of a comment after each event, in bytes; 0 for none. */
  paddingBytes = 0;

  constructor(timers: Timers) {
    this.#timers = timers;
  }

  /** Sets the script of the upstream that receives the next request. */
  setNextScript(nextScript: UpstreamScript): void {
    this.#nextScript = nextScript;
  }

  /** Sets the script of a host. */
  setScript(hostId: string, script: UpstreamScript): void {
    this.#scripts.set(hostId, script);
  }

  /**
   * Text in a request's body that crashes each upstream that runs the request.
   */
  poisonMarker: string | undefined;
  /** Ids of the hosts that crashed, one for each crash. */
  readonly crashedHostIds: string[] = [];
  /** Called after each crash. */
  onCrash: (hostId: string) => void = () => {};

  /** Number of requests that upstreams are running. */
  get runningCount(): number {
    let count = 0;
    for (const requests of this.#active.values()) count += requests.length;
    return count;
  }

  send(
    host: HostRef,
    attempt: RelayAttempt,
    listener: RelayListener,
  ): RelayHandle {
    this.attempts.push({ host: host.id, attempt });
    if (this.#nextScript !== undefined) {
      this.#scripts.set(host.id, this.#nextScript);
      this.#nextScript = undefined;
    }
    const request: ActiveRequest = {
      host,
      attempt,
      listener: this.#withRateLimit(host.id, listener),
      isEnded: false,
    };
    this.#admit(request);
    const end = () => this.#end(request);
    return { cancel: end, discard: end, pause() {}, resume() {} };
  }

  #withRateLimit(hostId: string, listener: RelayListener): RelayListener {
    return {
      onHead: (head) => {
        const perSecond = this.rateLimits.get(hostId);
        const rateLimit = perSecond === undefined
          ? head.rateLimit
          : { kind: "limited" as const, perSecond };
        listener.onHead({ ...head, rateLimit });
      },
      onData: (chunk) => listener.onData(chunk),
      onEnd: (end) => listener.onEnd(end),
    };
  }

  #admit(request: ActiveRequest): void {
    const active = this.#active.get(request.host.id) ?? [];
    if (active.length >= SLOTS) {
      const queue = this.#queues.get(request.host.id) ?? [];
      queue.push(request);
      this.#queues.set(request.host.id, queue);
      return;
    }
    active.push(request);
    this.#active.set(request.host.id, active);
    this.#run(request);
  }

  /** Resets all running requests of the host, which then serves again. */
  #crash(hostId: string): void {
    this.crashedHostIds.push(hostId);
    for (const request of [...this.#active.get(hostId) ?? []]) {
      this.#end(request);
      request.listener.onEnd({ kind: "reset", detail: "crashed" });
    }
    this.onCrash(hostId);
  }

  #run(request: ActiveRequest): void {
    const body = Buffer.from(request.attempt.body).toString();
    if (this.poisonMarker !== undefined && body.includes(this.poisonMarker)) {
      this.#schedule(
        request,
        FIRST_EVENT_MS,
        () => this.#crash(request.host.id),
      );
      return;
    }
    const script = this.#scripts.get(request.host.id) ?? { kind: "serve" };
    const { listener } = request;
    switch (script.kind) {
      case "refuse_not_run":
        return this.#respond(request, 2, toHead(503, { notRun: true }), "");
      case "status":
        return this.#respond(
          request,
          RESPONSE_MS,
          toHead(script.status),
          "failed",
        );
      case "reset_before_response":
        this.#schedule(request, RESPONSE_MS, () => {
          this.#end(request);
          listener.onEnd({ kind: "reset", detail: "scripted" });
        });
        return;
      case "silent":
        return;
      case "reset_after_bytes":
        this.#schedule(request, RESPONSE_MS, () => {
          listener.onHead(toHead(200));
          listener.onData(Buffer.alloc(script.bytes, "x"));
          this.#end(request);
          listener.onEnd({ kind: "reset", detail: "scripted" });
        });
        return;
      case "chunks":
        return this.#sendChunks(request, script);
      case "first_pauses_after":
        this.#scripts.delete(request.host.id);
        return this.#stream(request, script);
      default:
        // Only streaming routes of the example catalog have these prefixes.
        if (
          !request.attempt.path.startsWith("/draft/") &&
          !request.attempt.path.startsWith("/once/")
        ) {
          return this.#respond(request, RESPONSE_MS, toHead(200), "done");
        }
        return this.#stream(request, script);
    }
  }

  #respond(
    request: ActiveRequest,
    afterMs: number,
    head: RelayHead,
    body: string,
  ): void {
    this.#schedule(request, afterMs, () => {
      request.listener.onHead(head);
      if (body !== "") request.listener.onData(Buffer.from(body));
      this.#end(request);
      request.listener.onEnd({ kind: "ended" });
    });
  }

  #sendChunks(
    request: ActiveRequest,
    { chunksFrom, isReset }: UpstreamScript & { kind: "chunks" },
  ): void {
    const { listener, attempt, host } = request;
    const chunks = chunksFrom(Number(attempt.lastEventId ?? 0) + 1);
    const send = (index: number) => {
      if (index === 0) listener.onHead(toHead(200, { host: host.id }));
      if (index < chunks.length) {
        listener.onData(chunks[index]);
        this.#schedule(request, EVENT_INTERVAL_MS, () => send(index + 1));
        return;
      }
      this.#end(request);
      listener.onEnd(
        isReset ? { kind: "reset", detail: "scripted" } : { kind: "ended" },
      );
    };
    this.#schedule(request, FIRST_EVENT_MS, () => send(0));
  }

  #stream(request: ActiveRequest, script: UpstreamScript): void {
    const { listener, attempt } = request;
    const firstId = Number(attempt.lastEventId ?? 0) + 1;
    const lastWholeEventId = "events" in script ? script.events : Infinity;
    const emit = (id: number) => {
      if (id === firstId) {
        listener.onHead(toHead(200, { host: request.host.id }));
      }
      if (id > lastWholeEventId) return this.#interrupt(request, script, id);
      listener.onData(streamEvent(id));
      if (this.paddingBytes > 0) {
        listener.onData(Buffer.from(`: ${" ".repeat(this.paddingBytes)}\n\n`));
      }
      if (id < this.eventsPerStream) {
        const isPause = "pauseMs" in script &&
          id === firstId - 1 + script.firstEvents;
        const gapMs = isPause ? script.pauseMs : EVENT_INTERVAL_MS;
        this.#schedule(request, gapMs, () => emit(id + 1));
        return;
      }
      this.#end(request);
      listener.onEnd({ kind: "ended" });
    };
    this.#schedule(request, FIRST_EVENT_MS, () => emit(firstId));
  }

  /**
   * Resets the connection within event `id` or ends the response, if the script
   * says so; otherwise sends nothing more.
   */
  #interrupt(request: ActiveRequest, script: UpstreamScript, id: number): void {
    if (script.kind === "drip_after") return this.#drip(request, script.bytes);
    if (script.kind === "end_after") {
      this.#end(request);
      return request.listener.onEnd({ kind: "ended" });
    }
    if (script.kind !== "reset_after") return;
    request.listener.onData(streamEvent(id).subarray(0, 5));
    this.#end(request);
    request.listener.onEnd({ kind: "reset", detail: "scripted" });
  }

  #drip(request: ActiveRequest, bytes: "comment" | "byte"): void {
    request.listener.onData(Buffer.from(bytes === "byte" ? "i" : ": .\n\n"));
    this.#schedule(
      request,
      DRIP_INTERVAL_MS,
      () => this.#drip(request, bytes),
    );
  }

  #schedule(request: ActiveRequest, ms: number, callback: () => void): void {
    this.#timers.after(ms, () => {
      if (!request.isEnded) callback();
    });
  }

  #end(request: ActiveRequest): void {
    if (request.isEnded) return;
    request.isEnded = true;
    const active = this.#active.get(request.host.id) ?? [];
    const index = active.indexOf(request);
    if (index >= 0) active.splice(index, 1);
    const next = this.#queues.get(request.host.id)?.shift();
    if (index >= 0 && next !== undefined && !next.isEnded) this.#admit(next);
  }
}

/**
 * Creates one event of a stream.
 *
 * @example
 * ```ts
 * listener.onData(streamEvent(1));
 * ```
 */
export function streamEvent(id: number): Buffer {
  return Buffer.from(`id: ${id}\ndata: piece ${id}\n\n`);
}

function toHead(
  status: number,
  options: { notRun?: boolean; host?: string } = {},
): RelayHead {
  return {
    status,
    headers: ["x-host", options.host ?? ""],
    notRun: options.notRun ?? false,
    wrongHost: false,
    faultyMemberId: undefined,
    isStream: false,
    rateLimit: { kind: "unlimited" },
  };
}
