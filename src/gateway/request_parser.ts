/**
 * Authenticates and parses callers' HTTP requests.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import type { IncomingMessage } from "node:http";
import { z } from "zod";
import { sha256 } from "../base/hash.ts";
import type { Outcome } from "../base/outcome.ts";
import { failure, success } from "../base/outcome.ts";
import type {
  CallerRequest,
  RequestTarget,
} from "../core/gateway/caller_request.ts";
import type { Configuration, Customer } from "../world/configuration.ts";
import type { HttpProblemKind } from "./problem_details.ts";

/**
 * Maximum length of the prompt prefix that determines cache affinity, in
 * characters.
 */
const MAX_PREFIX_CHARS = 512;
const PART_ID_CHARS = 16;
const MAX_IDEMPOTENCY_KEY_CHARS = 255;

/** Why a request was rejected before it reached the gateway core. */
export interface RequestError {
  readonly kind: HttpProblemKind | "unknown_target";
  readonly detail: string;
}

const CompletionBody = z.looseObject({
  model: z.string().min(1),
  stream: z.boolean().optional(),
  messages: z.array(z.looseObject({})).optional(),
  prompt: z.unknown().optional(),
});

/**
 * Reads a request body of at most `maxBytes` bytes.
 *
 * @example
 * ```ts
 * const body = await readBody(req, 4 * 1_048_576);
 * ```
 */
export async function readBody(
  req: IncomingMessage,
  maxBytes: number,
): Promise<Outcome<Buffer, RequestError>> {
  const chunks: Buffer[] = [];
  let size = 0;
  try {
    for await (const chunk of req) {
      size += chunk.length;
      if (size > maxBytes) {
        const detail = `The body exceeds ${maxBytes} bytes`;
        return failure({ kind: "body_too_large", detail });
      }
      chunks.push(chunk);
    }
  } catch {
    return failure({ kind: "malformed_request", detail: "The body was cut" });
  }
  return success(Buffer.concat(chunks));
}

/** Finds the customer to whom the bearer key of a request belongs. */
export function authenticate(
  req: IncomingMessage,
  cfg: Configuration,
): Outcome<Customer, RequestError> {
  const [, key] = /^Bearer (\S+)$/.exec(req.headers.authorization ?? "") ?? [];
  if (key === undefined) {
    const detail = "An Authorization header with a bearer key is needed";
    return failure({ kind: "not_authenticated", detail });
  }
  const digest = sha256(key);
  const customer = cfg.customers.find((c) => c.keyHashes.includes(digest));
  if (customer !== undefined) return success(customer);
  return failure({ kind: "not_authenticated", detail: "The key is not known" });
}

/** An authenticated request whose body has been read. */
export interface AuthenticatedRequest {
  readonly id: string;
  readonly req: IncomingMessage;
  /** Path that the upstream receives, with its query. */
  readonly path: string;
  readonly customer: Customer;
  readonly body: Buffer;
  readonly cfg: Configuration;
}

/** Parses a chat or completion request. */
export function parseModelRequest(
  request: AuthenticatedRequest,
): Outcome<CallerRequest, RequestError> {
  let json: unknown;
  try {
    json = JSON.parse(request.body.toString("utf8"));
  } catch {
    return failure({
      kind: "malformed_request",
      detail: "The body is not JSON",
    });
  }
  const parsed = CompletionBody.safeParse(json);
  if (!parsed.success) {
    const [issue] = parsed.error.issues;
    const detail = `${issue.path.join(".") || "body"}: ${issue.message}`;
    return failure({ kind: "malformed_request", detail });
  }
  const { model, stream, messages, prompt } = parsed.data;
  const isDeclared = request.cfg.models.some((m) => m.name === model);
  if (!isDeclared) {
    const detail = `Model "${model}" is not declared`;
    return failure({ kind: "unknown_target", detail });
  }
  const prefix = JSON.stringify(messages ?? prompt ?? "").slice(
    0,
    MAX_PREFIX_CHARS,
  );
  return buildCallerRequest(request, {
    target: { kind: "model", name: model },
    streaming: stream === true,
    prefixKey: `${request.customer.name} ${prefix}`,
    promptParts: (messages ?? []).slice(0, -1).map(hashMessage),
  });
}

/** Parses a request to a plain service. */
export function parseServiceRequest(
  request: AuthenticatedRequest,
  name: string,
): Outcome<CallerRequest, RequestError> {
  const isDeclared = request.cfg.services.some((svc) => svc.name === name);
  if (!isDeclared) {
    const detail = `Service "${name}" is not declared`;
    return failure({ kind: "unknown_target", detail });
  }
  return buildCallerRequest(request, {
    target: { kind: "service", name },
    streaming: false,
    prefixKey: request.customer.name,
    promptParts: [],
  });
}

/** Id of a message as a part of prompts. */
function hashMessage(message: object): string {
  return sha256(JSON.stringify(message)).slice(0, PART_ID_CHARS);
}

function buildCallerRequest(
  request: AuthenticatedRequest,
  details: {
    target: RequestTarget;
    streaming: boolean;
    prefixKey: string;
    promptParts: readonly string[];
  },
): Outcome<CallerRequest, RequestError> {
  const { req, customer, cfg } = request;
  const className = readHeader(req, "x-service-class") ?? customer.defaultClass;
  const serviceClass = cfg.classes.find((c) => c.name === className);
  if (serviceClass === undefined) {
    const detail = `Class "${className}" is not declared`;
    return failure({ kind: "malformed_request", detail });
  }
  const idempotencyKey = readHeader(req, "idempotency-key");
  if (
    idempotencyKey !== undefined &&
    idempotencyKey.length > MAX_IDEMPOTENCY_KEY_CHARS
  ) {
    const detail =
      `Idempotency-Key exceeds ${MAX_IDEMPOTENCY_KEY_CHARS} characters`;
    return failure({ kind: "malformed_request", detail });
  }
  const resumeAfter = Number(readHeader(req, "last-event-id") ?? "0");
  if (!Number.isSafeInteger(resumeAfter) || resumeAfter < 0) {
    const detail = "Last-Event-ID is not a number of events";
    return failure({ kind: "malformed_request", detail });
  }
  const method = req.method ?? "POST";
  const fingerprintPrefix = `${customer.name}\n${method} ${request.path}\n`;
  const fingerprint = sha256(
    Buffer.concat([Buffer.from(fingerprintPrefix), request.body]),
  );
  return success({
    id: request.id,
    customer,
    serviceClass,
    ...details,
    method,
    path: request.path,
    headers: upstreamHeaders(req, fingerprint, idempotencyKey),
    body: request.body,
    fingerprint,
    idempotencyKey,
    resumeAfter,
  });
}

/**
 * Builds the headers for the upstream. The customer's key is not forwarded.
 */
function upstreamHeaders(
  req: IncomingMessage,
  fingerprint: string,
  idempotencyKey: string | undefined,
): Record<string, string> {
  const headers: Record<string, string> = {
    // The same request gets the same seed, so that another replica of the model
    // can continue the same response.
    "x-request-seed": fingerprint,
    "content-type": readHeader(req, "content-type") ?? "application/json",
  };
  if (idempotencyKey !== undefined) headers["idempotency-key"] = idempotencyKey;
  return headers;
}

function readHeader(req: IncomingMessage, name: string): string | undefined {
  const value = req.headers[name];
  return typeof value === "string" && value !== "" ? value : undefined;
}
