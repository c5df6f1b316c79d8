/**
 * Plays seeded sequences of sound and faulty responses, and checks what callers
 * received against what hosts did.
 *
 * @module
 */
import { Random } from "../../src/base/random.ts";
import { SystemTimers } from "../../src/base/system_timers.ts";
import { sleep } from "../../src/base/timers.ts";
import { guaranteesNotRun } from "../../src/core/relay/relay_request.ts";
import type { CallerResult } from "./caller_result.ts";
import { FuzzRelay } from "./fuzz_relay.ts";
import type { ReceivedRequest } from "./raw_host.ts";
import { RawHost } from "./raw_host.ts";
import {
  bodyOf,
  FALSE_HEADS,
  FAULTY_RESPONSES,
  SOUND_RESPONSES,
} from "./raw_responses.ts";

const HOSTS = 3;
const FAULTY_SHARE = 0.5;
const FALSE_HEAD_SHARE = 0.15;
/** Timeout of the example catalog's plain routes. */
const ROUTE_TIMEOUT_MS = 800;
const TIMEOUT_SLACK_MS = 300;
const MAX_PAUSE_MS = 25;

/** Result of one seed. */
export interface FuzzResult {
  readonly requests: number;
  /** Number of requests by how they ended. */
  readonly outcomes: ReadonlyMap<string, number>;
  readonly problems: readonly string[];
}

/**
 * Plays one seed: `lanes` callers send `perLane` requests each, one after the
 * other, so that connections are reused.
 *
 * @example
 * ```ts
 * const { problems } = await fuzzResponses(1, 4, 10);
 * ```
 */
export async function fuzzResponses(
  seed: number,
  lanes: number,
  perLane: number,
): Promise<FuzzResult> {
  const random = new Random(seed);
  const timers = new SystemTimers();
  const choose = () => {
    const at = random.float();
    if (at < FAULTY_SHARE) return random.pick(FAULTY_RESPONSES);
    return random.pick(
      at < FAULTY_SHARE + FALSE_HEAD_SHARE ? FALSE_HEADS : SOUND_RESPONSES,
    );
  };
  const hosts = Array.from(
    { length: HOSTS },
    (_, i) => new RawHost(`host-${i}`, timers, random, choose),
  );
  await Promise.all(hosts.map((host) => host.listen()));
  const relay = new FuzzRelay(hosts, seed);
  const results: CallerResult[] = [];
  await Promise.all(Array.from({ length: lanes }, async (_, lane) => {
    for (let i = 0; i < perLane; i++) {
      const id = `r${seed}-${lane}-${i}`;
      results.push(await relay.send(id, random.float() < 0.5));
      await sleep(timers, random.int(MAX_PAUSE_MS));
    }
  }));
  const received = hosts.flatMap((host) => host.received);
  const problems = results.flatMap((result) => checkResult(result, received));
  if (relay.inFlight > 0) problems.push(`${relay.inFlight} requests remain`);
  for (const host of hosts) {
    const load = relay.loadOf(host);
    if (load !== 0) problems.push(`${host.id} has ${load} attempts in flight`);
    host.close();
  }
  return {
    requests: results.length,
    outcomes: countOutcomes(results),
    problems: problems.map((text) => `seed ${seed}: ${text}`),
  };
}

function outcomeOf(result: CallerResult): string {
  if (result.isAborted) return "aborted";
  return result.refusal?.kind ?? `status ${result.status}`;
}

function countOutcomes(
  results: readonly CallerResult[],
): ReadonlyMap<string, number> {
  const counts = new Map<string, number>();
  for (const result of results) {
    const outcome = outcomeOf(result);
    counts.set(outcome, (counts.get(outcome) ?? 0) + 1);
  }
  return counts;
}

/** Returns what one caller received although no rule allows it. */
function checkResult(
  result: CallerResult,
  received: readonly ReceivedRequest[],
): string[] {
  const { requestId, body, status, refusal } = result;
  const own = received.filter((request) => request.requestId === requestId);
  const runs = own.filter(({ response }) => response.runs);
  const problems: string[] = [];
  const report = (text: string) => {
    const names = own.map((request) =>
      `${request.hostId} ${request.response.name}${describePrevious(request)}`
    );
    problems.push(
      `${requestId} (${outcomeOf(result)}, hosts: ${
        names.join(", ")
      }): ${text}`,
    );
  };
  if (result.isComplete) {
    const isSent = own.some(({ response }) => response.status === status);
    if (!isSent) report(`no host completed a response with ${status}`);
    if (body !== bodyOf(requestId)) report(`the body is "${excerpt(body)}"`);
  } else if (!bodyOf(requestId).startsWith(body)) {
    report(`bytes of another response: "${excerpt(body)}"`);
  }
  if (!result.isRepeatable && runs.length > 1) report("it ran twice");
  if (refusal !== undefined && guaranteesNotRun(refusal.kind)) {
    if (runs.length > 0) report("it was refused as not run, but ran");
  }
  const limitMs = ROUTE_TIMEOUT_MS + TIMEOUT_SLACK_MS;
  if ((result.endedAfterMs ?? Infinity) > limitMs) {
    report(`it ended after ${result.endedAfterMs} ms`);
  }
  return problems;
}

/** Says which response came before on the connection, and how long ago. */
function describePrevious({ previous, at }: ReceivedRequest): string {
  if (previous === undefined) return " on a new connection";
  const agoMs = Math.round(at - previous.at);
  return `, ${agoMs} ms after "${previous.response.name}" to ${previous.requestId}`;
}

function excerpt(text: string): string {
  return text.length > 60 ? `${text.slice(0, 60)}... (${text.length})` : text;
}
