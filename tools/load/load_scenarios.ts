/**
 * Loads: which requests arrive when, and what happens to groups and nodes.
 *
 * @module
 */
import { Random } from "../../src/base/random.ts";
import type { EngineBehaviour, KindName, LoadKind } from "./load_kinds.ts";
import { CUSTOMERS, LOAD_KINDS, meanRequestMs } from "./load_kinds.ts";

/** One request of a caller. */
export interface OfferedRequest {
  readonly index: number;
  readonly at: number;
  readonly kind: LoadKind;
  readonly customer: string;
  /** Index of the caller's availability zone. */
  readonly zone: number;
  readonly promptTokens: number;
  readonly events: number;
  /** Part of the prompt that other requests share. */
  readonly part: string;
  /** How often the caller repeats the request after a refusal or failure. */
  readonly retries: number;
  readonly repeatsAtOnce: boolean;
  /** Time after which the caller leaves; undefined if it stays. */
  readonly leavesAfterMs: number | undefined;
  /** Time that the caller takes to read what was written; 0 for none. */
  readonly drainMs: number;
}

/** What happens to some groups from `at` to `until`. */
export interface GroupFault {
  readonly kind: "slow" | "fails_half" | "lost";
  readonly at: number;
  readonly until: number;
  /** Indexes of the groups. */
  readonly groups: readonly number[];
}

/** A load. */
export interface LoadScenario {
  readonly name: string;
  readonly about: string;
  readonly faults: readonly GroupFault[];
  /** When all nodes end at once; undefined if they don't. */
  readonly nodesEndAt: number | undefined;
  /** Weights of the callers' availability zones. */
  readonly zoneWeights: readonly number[];
  /** Multiplier of the kind's usual rate at a time. */
  rate(kind: KindName, at: number): number;
  /** What differs from the usual caller. */
  shape(random: Random, at: number, kind: KindName): Partial<OfferedRequest>;
}

/** Models of the groups by index; a group's zone is its index modulo 3. */
export const GROUP_MODELS: readonly string[] = [
  ...Array<string>(8).fill("small"),
  ...Array<string>(4).fill("large"),
];
/** Number of availability zones. */
export const ZONE_COUNT = 3;
/** Time for which the nodes are gone when all end at once. */
export const NODES_GONE_MS = 1_000;

const BASE_UTILISATION = 0.66;
const BURST_FROM_MS = 6_000;
const BURST_UNTIL_MS = 10_000;
/** Rates are multiplied by at most this. */
const MAX_RATE = 3;
/** Share of the work on the large model that drafts cause. */
const DRAFT_SHARE = 0.7;
/** Spread of the logarithm of prompts and responses. */
const SIZE_SPREAD = 0.6;
const MAX_SIZE = 3;

const CALM: LoadScenario = {
  name: "calm",
  about: "nothing but the usual arrivals",
  faults: [],
  nodesEndAt: undefined,
  zoneWeights: [1, 1, 1],
  rate: () => 1,
  shape: () => ({}),
};

function isBurst(at: number): boolean {
  return at >= BURST_FROM_MS && at < BURST_UNTIL_MS;
}

function burstOf(name: KindName, factor: number) {
  return (kind: KindName, at: number) =>
    kind === name && isBurst(at) ? factor : 1;
}

const URGENT_BURST = burstOf("question", 1.7);

/** All loads. */
export const LOAD_SCENARIOS: readonly LoadScenario[] = [
  CALM,
  {
    ...CALM,
    name: "urgent-burst",
    about: "1.7 times as many questions for 4 s",
    rate: URGENT_BURST,
  },
  {
    ...CALM,
    name: "large-burst",
    about: "2.2 times as many drafts for 4 s",
    rate: burstOf("draft", 2.2),
  },
  {
    ...CALM,
    name: "wave",
    about: "rates swing by 0.75 in 11 s; callers' zones as 6 : 3 : 1",
    zoneWeights: [6, 3, 1],
    rate: (_, at) => 1 + 0.75 * Math.sin(2 * Math.PI * at / 11_000),
  },
  {
    ...CALM,
    name: "hot-key",
    about: "for 4 s, 1.75 times as many questions, half of all for one key " +
      "with one shared prompt part",
    rate: burstOf("question", 1.75),
    shape: (random, at, kind) =>
      kind === "question" && isBurst(at) && random.float() < 0.5
        ? { part: "hot" }
        : {},
  },
  {
    ...CALM,
    name: "large-customer",
    about: "for 4 s, one customer sends 0.45 times as much again as all, in " +
      "prompts of twice the size",
    rate: (_, at) => isBurst(at) ? 1.45 : 1,
    shape: (random, at, kind) =>
      isBurst(at) && random.float() < 0.45 / 1.45
        ? {
          customer: CUSTOMERS[0],
          promptTokens: 2 * drawSize(random, LOAD_KINDS[kind].promptTokens),
        }
        : {},
  },
  {
    ...CALM,
    name: "repeat-at-once",
    about: "the burst of questions; 6 in 10 callers repeat at once, 6 times",
    rate: URGENT_BURST,
    shape: (random) =>
      random.float() < 0.6 ? { retries: 6, repeatsAtOnce: true } : {},
  },
  {
    ...CALM,
    name: "leaving-callers",
    about: "the burst of questions; 3 in 10 callers leave within 0.4 s",
    rate: URGENT_BURST,
    shape: (random) =>
      random.float() < 0.3 ? { leavesAfterMs: 20 + random.int(380) } : {},
  },
  {
    ...CALM,
    name: "slow-callers",
    about: "the burst of questions; 3 in 10 callers take 40 to 65 ms to read " +
      "each event",
    rate: URGENT_BURST,
    shape: (random) =>
      random.float() < 0.3 ? { drainMs: 40 + random.int(25) } : {},
  },
  {
    ...CALM,
    name: "slow-and-failing",
    about: "from 4 s to 14 s three groups take twice the time and one fails " +
      "half of its requests",
    faults: [
      { kind: "slow", at: 4_000, until: 14_000, groups: [0, 1, 8] },
      { kind: "fails_half", at: 4_000, until: 14_000, groups: [2] },
    ],
  },
  {
    ...CALM,
    name: "half-lost",
    about: "at 8 s half of the groups are lost and silent; back 6 s later",
    faults: [
      {
        kind: "lost",
        at: 8_000,
        until: 14_000,
        groups: [0, 2, 4, 6, 8, 10],
      },
    ],
  },
  {
    ...CALM,
    name: "nodes-ended",
    about: "at 8 s all nodes end at once; back after 1 s without memory",
    nodesEndAt: 8_000,
  },
];

/**
 * Draws the arrivals of a load.
 *
 * @example
 * ```ts
 * const offered = drawArrivals(scenario, engineBehaviour(93), 20_000, 1);
 * ```
 */
export function drawArrivals(
  scenario: LoadScenario,
  { spec }: EngineBehaviour,
  durationMs: number,
  seed: number,
): OfferedRequest[] {
  const random = new Random(seed);
  const drawn: Omit<OfferedRequest, "index">[] = [];
  for (const name of Object.keys(LOAD_KINDS) as KindName[]) {
    const kind: LoadKind = LOAD_KINDS[name];
    const groups = GROUP_MODELS.filter((m) => m === kind.model).length;
    const share = usualShare(name);
    const perMs = BASE_UTILISATION * share * groups / meanRequestMs(kind, spec);
    let at = 0;
    while (true) {
      at += random.exponential(1 / (perMs * MAX_RATE));
      if (at >= durationMs) break;
      if (random.float() * MAX_RATE >= scenario.rate(name, at)) continue;
      drawn.push(drawRequest(scenario, random, at, name));
    }
  }
  drawn.sort((a, b) => a.at - b.at);
  return drawn.map((request, index) => ({ ...request, index }));
}

function usualShare(name: KindName): number {
  if (name === "question") return 1;
  return name === "draft" ? DRAFT_SHARE : 1 - DRAFT_SHARE;
}

function drawRequest(
  scenario: LoadScenario,
  random: Random,
  at: number,
  name: KindName,
): Omit<OfferedRequest, "index"> {
  const kind: LoadKind = LOAD_KINDS[name];
  return {
    at,
    kind,
    customer: random.pick(CUSTOMERS),
    zone: drawZone(random, scenario.zoneWeights),
    promptTokens: drawSize(random, kind.promptTokens),
    events: drawSize(random, kind.events),
    part: `part-${random.int(60)}`,
    retries: 1,
    repeatsAtOnce: false,
    leavesAfterMs: undefined,
    drainMs: 0,
    ...scenario.shape(random, at, name),
  };
}

function drawZone(random: Random, weights: readonly number[]): number {
  let left = random.float() * weights.reduce((sum, w) => sum + w, 0);
  for (const [zone, weight] of weights.entries()) {
    left -= weight;
    if (left < 0) return zone;
  }
  return weights.length - 1;
}

/** Draws a size with the given mean; a few are several times as large. */
function drawSize(random: Random, mean: number): number {
  const angle = 2 * Math.PI * random.float();
  const normal = Math.sqrt(2 * random.exponential(1)) * Math.cos(angle);
  const factor = Math.exp(SIZE_SPREAD * normal - SIZE_SPREAD ** 2 / 2);
  return Math.max(1, Math.round(mean * Math.min(MAX_SIZE, factor)));
}
