/**
 * Callers of the soak and the results that they record.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import { Agent, request } from "undici";
import type { Random } from "../../src/base/random.ts";
import type { Timers } from "../../src/base/timers.ts";
import { sleep } from "../../src/base/timers.ts";
import { eventCount } from "../../src/standins/platform/host_standin.ts";

const REQUEST_DEADLINE_MS = 4_000;
/** Time for which a caller reuses the addresses that a node listed. */
const ADDRESS_TTL_MS = 1_000;

/** Result of one request, as its caller saw it. */
export interface CallerResult {
  readonly requestId: string;
  readonly path: string;
  readonly key: string;
  /** In milliseconds of the timers' clock. */
  readonly sentAt: number;
  /** 0 when the connection failed. */
  readonly status: number;
  /** Whether the whole response arrived, with status 200. */
  readonly isComplete: boolean;
  /** What is wrong with a complete response; undefined if nothing is. */
  readonly problem: string | undefined;
}

/** Sends requests one at a time. */
export class SoakCaller {
  readonly results: CallerResult[] = [];
  readonly #timers: Timers;
  readonly #random: Random;
  readonly #name: string;
  readonly #directoryUrls: readonly string[];
  readonly #getKeys: () => readonly string[];
  readonly #agent = new Agent({ connectTimeout: 1_000 });
  #addresses: string[] = [];
  #resolvedAt = -Infinity;
  #requestCount = 0;
  #isStopped = false;

  constructor(
    name: string,
    timers: Timers,
    random: Random,
    directoryUrls: readonly string[],
    getKeys: () => readonly string[],
  ) {
    this.#name = name;
    this.#timers = timers;
    this.#random = random;
    this.#directoryUrls = directoryUrls;
    this.#getKeys = getKeys;
  }

  /** Sends requests until {@linkcode stop} is called. */
  async run(): Promise<void> {
    while (!this.#isStopped) {
      await this.#resolveAddresses();
      if (this.#addresses.length > 0) await this.#sendNext();
      await sleep(this.#timers, 10 + this.#random.int(40));
    }
    await this.#agent.destroy();
  }

  /** Lets {@linkcode run} resolve after the request in flight. */
  stop(): void {
    this.#isStopped = true;
  }

  async #resolveAddresses(): Promise<void> {
    if (this.#timers.now() - this.#resolvedAt < ADDRESS_TTL_MS) return;
    for (let i = 0; i < 3; i++) {
      const url = this.#random.pick(this.#directoryUrls);
      const body = await this.#fetchText(url);
      if (body === undefined) continue;
      this.#addresses = (JSON.parse(body) as { addresses: string[] }).addresses;
      this.#resolvedAt = this.#timers.now();
      return;
    }
  }

  async #fetchText(url: string): Promise<string | undefined> {
    try {
      const res = await request(url, {
        dispatcher: this.#agent,
        headersTimeout: 1_000,
        bodyTimeout: 1_000,
      });
      const body = await res.body.text();
      return res.statusCode === 200 ? body : undefined;
    } catch {
      return undefined;
    }
  }

  async #sendNext(): Promise<void> {
    // Most requests are drafts, whose responses are event streams. An order must
    // run at most once; a look may be retried.
    const kind = this.#random.pick([
      "draft",
      "draft",
      "draft",
      "order",
      "look",
    ]);
    const path = `/${kind}/${this.#name}-${++this.#requestCount}`;
    const requestId = `${this.#name}-${this.#requestCount}`;
    const key = this.#random.pick(this.#getKeys());
    const sentAt = this.#timers.now();
    const outcome = await this.#send(path, requestId, key);
    this.results.push({ requestId, path, key, sentAt, ...outcome });
  }

  async #send(path: string, requestId: string, key: string) {
    const address = this.#random.pick(this.#addresses);
    const isStream = path.startsWith("/draft/");
    try {
      const res = await request(`http://${address}${path}`, {
        dispatcher: this.#agent,
        method: "POST",
        headers: {
          host: "album.example",
          authorization: `Token ${key}`,
          "oleanderarch-attempt-id": requestId,
          "oleanderarch-deadline-ms": String(REQUEST_DEADLINE_MS),
          ...(isStream
            ? {
              "oleanderarch-model": this.#random.pick(["large", "small"]),
              "oleanderarch-token-count": "200,70",
            }
            : {}),
        },
        body: Buffer.from(`body of ${requestId}`),
        headersTimeout: REQUEST_DEADLINE_MS + 2_000,
        bodyTimeout: REQUEST_DEADLINE_MS + 2_000,
      });
      const body = await res.body.text();
      const status = res.statusCode;
      const isComplete = status === 200;
      const echoedId = res.headers["oleanderarch-attempt-id"];
      const problem = isComplete
        ? findProblem(path, requestId, body, echoedId)
        : undefined;
      return { status, isComplete, problem };
    } catch {
      return { status: 0, isComplete: false, problem: undefined };
    }
  }
}

/** Describes what is wrong with a response of status 200, if anything. */
function findProblem(
  path: string,
  requestId: string,
  body: string,
  echoedId: unknown,
): string | undefined {
  if (echoedId !== requestId) return `its request ID is ${echoedId}`;
  if (!path.startsWith("/draft/")) {
    return body === `done ${path}`
      ? undefined
      : `unexpected body ${body.slice(0, 40)}`;
  }
  let expected = "";
  for (let id = 1; id <= eventCount(path); id++) {
    expected += `id: ${id}\ndata: ${path} ${id}\n\n`;
  }
  return body === expected
    ? undefined
    : "events missing, duplicated or mixed up";
}
