/**
 * Names of headers and store keys in the platform's protocols.
 *
 * @module
 */

/** Names of headers, in lower case. */
export const HEADER = {
  /** Id of the request, which the host repeats in its response. */
  attemptId: "oleanderarch-attempt-id",
  /** Time left for the request, in milliseconds. */
  deadlineMs: "oleanderarch-deadline-ms",
  lastEventId: "last-event-id",
  /** Required in a host's successful response. */
  stamp: "oleanderarch-server-stamp",
  /** Name of the customer. */
  tenant: "oleanderarch-tenant",
  /** Id of the host to which the request is addressed. */
  expectInstance: "oleanderarch-expect-instance",
  /** Present when the host guarantees that the request did not run. */
  notExecuted: "oleanderarch-not-executed",
  retryAfter: "retry-after",
  model: "oleanderarch-model",
  /** Prompt tokens and maximum output tokens, separated by a comma. */
  tokenCount: "oleanderarch-token-count",
  /** Parts of the prompt in order, as `ID:TOKENS` separated by commas. */
  promptPrefix: "oleanderarch-prompt-prefix",
  /** The caller's estimate of the output tokens. */
  lengthHint: "oleanderarch-length-hint",
  priority: "oleanderarch-request-priority",
  /** Requests per second that the host takes from all nodes together. */
  serverLimit: "server-limit",
  /** Id of the group member that a response reports as faulty. */
  atServer: "at-server",
  authorization: "authorization",
  /** Era of the store, in all its responses. */
  storeEra: "store-era",
} as const;

/** Keys and key prefixes of the store. */
export const STORE_KEY = {
  /** Prefix of the entries of hosts. */
  servers: "servers/",
  /** Prefix of all keys that operators write. */
  operator: "op/",
  /** Key of the manifest. */
  config: "op/config",
  /** Prefix of the keys that name availability zones out of service. */
  evacuate: "op/evacuate/",
} as const;

/** Headers that apply to one connection only, or that the HTTP client sets. */
const HOP_BY_HOP_HEADERS: ReadonlySet<string> = new Set([
  "connection",
  "keep-alive",
  "proxy-connection",
  "proxy-authenticate",
  "proxy-authorization",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
  "expect",
  "content-length",
]);
/** Request headers that this process consumes, or sets itself. */
const RELAY_HEADERS: ReadonlySet<string> = new Set([
  HEADER.deadlineMs,
  HEADER.lastEventId,
  HEADER.tenant,
  HEADER.expectInstance,
  HEADER.priority,
  HEADER.authorization,
]);

/**
 * Returns the headers of a caller's request that a host receives unchanged.
 *
 * @example
 * ```ts
 * const headers = forwardedRequestHeaders(req.rawHeaders);
 * ```
 */
export function forwardedRequestHeaders(raw: readonly string[]): string[] {
  return filterHeaders(
    raw,
    (name) => HOP_BY_HOP_HEADERS.has(name) || RELAY_HEADERS.has(name),
  );
}

/**
 * Returns the headers of a host's response that a caller receives unchanged.
 *
 * @example
 * ```ts
 * const headers = forwardedResponseHeaders(rawHeaders);
 * ```
 */
export function forwardedResponseHeaders(raw: readonly string[]): string[] {
  return filterHeaders(raw, (name) => HOP_BY_HOP_HEADERS.has(name));
}

function filterHeaders(
  raw: readonly string[],
  isDropped: (name: string) => boolean,
): string[] {
  const connectionOptions = new Set<string>();
  for (let i = 0; i < raw.length; i += 2) {
    if (raw[i].toLowerCase() !== "connection") continue;
    for (const name of raw[i + 1].split(",")) {
      connectionOptions.add(name.trim().toLowerCase());
    }
  }
  const kept: string[] = [];
  for (let i = 0; i < raw.length; i += 2) {
    const name = raw[i].toLowerCase();
    if (isDropped(name) || connectionOptions.has(name)) continue;
    kept.push(raw[i], raw[i + 1]);
  }
  return kept;
}
