/**
 * Helpers that read and write JSON bodies in the stand-ins' HTTP servers.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import type { IncomingMessage, ServerResponse } from "node:http";

/** Reads a JSON body; returns an empty object if it can't be parsed. */
export async function readJson(
  req: IncomingMessage,
): Promise<Record<string, unknown>> {
  const chunks: Buffer[] = [];
  try {
    for await (const chunk of req) chunks.push(chunk);
    const value = JSON.parse(Buffer.concat(chunks).toString("utf8"));
    return typeof value === "object" && value !== null ? value : {};
  } catch {
    return {};
  }
}

/** Sends a JSON response. */
export function sendJson(
  res: ServerResponse,
  status: number,
  body: unknown,
): void {
  res.writeHead(status, { "content-type": "application/json" });
  res.end(JSON.stringify(body));
}
