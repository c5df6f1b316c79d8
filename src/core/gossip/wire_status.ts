/**
 * Wire format of statuses, and validation of received messages. No schema
 * library is used: hundreds of statuses arrive each second, and a library would
 * take most of the time spent on a message.
 *
 * @module
 */
import { MAX_ADDRESSES } from "../entry/mod.ts";
import type { StatusMessage } from "./messages.ts";

type Load = [
  key: string,
  inFlight: number,
  pendingPromptTokens: number,
  silentMs: number,
];
type Suspicion = [
  key: string,
  kind: StatusMessage["suspicions"][number]["kind"],
  ageMs: number,
];
type Cleared = [key: string, ageMs: number];
type Strike = [fingerprint: string, crashed: string[]];
type PartCrash = [upstream: string, ageMs: number];
type SuspectPart = [
  part: string,
  model: string,
  companions: string[],
  crashes: PartCrash[],
  isQuarantined: boolean,
];
/** `perSecond` is -1 if the host named no limit. */
type HostLimit = [
  id: string,
  born: number,
  perSecond: number,
  ageMs: number,
];
type SoundPart = [part: string, ageMs: number];
type Residual = [model: string, constantMs: number, spreadMs: number];
type MembershipState =
  | "none"
  | "joining"
  | "ready"
  | "open"
  | "closing"
  | "broken";
type Host = [
  id: string,
  model: string,
  group: string,
  epoch: number,
  rank: number,
  state: MembershipState,
];
type ClockTime = [clock: number, at: number];
type ClockLag = [clock: number, lagMs: number];
type Entry = [
  cores: number,
  linkMbps: number,
  work: number,
  isBehind: boolean,
];
type EntryPlan = [
  isAll: boolean,
  isSpread: boolean,
  weakOut: number,
  helpers: string[],
];
type Read = [ageMs: number, revision: number, changeRevision: number];
/** A host change on the wire; `value` is null if the host was removed. */
export type WireChange = [
  key: string,
  revision: number,
  previous: number,
  value: string | null,
  isLapsed: boolean,
];

/**
 * A {@linkcode StatusMessage} on the wire. Short names keep a batch within one
 * datagram; the comments give the fields that they stand for.
 */
export interface WireStatus {
  /** ageMs */
  readonly g: number;
  /** createdAt; absent from nodes of earlier versions */
  readonly ct?: ClockTime;
  /** clockLags; absent from nodes of earlier versions */
  readonly cl?: readonly ClockLag[];
  /** node */
  readonly n: string;
  /** incarnation */
  readonly i: string;
  /** internalAddress */
  readonly a: string;
  /** callerAddress */
  readonly c: string;
  /** zone */
  readonly z: string;
  /** state */
  readonly s: StatusMessage["state"];
  /** catalogVersion */
  readonly v: number;
  /** confirmedMs */
  readonly t: number;
  /** loads */
  readonly l: readonly Load[];
  /** suspicions */
  readonly d: readonly Suspicion[];
  /** cleared */
  readonly u: readonly Cleared[];
  /** strikes */
  readonly k: readonly Strike[];
  /** suspectParts; absent from nodes of earlier versions */
  readonly cp?: readonly SuspectPart[];
  /** soundParts; absent from nodes of earlier versions */
  readonly sp?: readonly SoundPart[];
  /** hostLimits; absent from nodes of earlier versions */
  readonly hl?: readonly HostLimit[];
  /** isStoreUnreachable */
  readonly o: boolean;
  /** leaderTerm */
  readonly x: number;
  /** hosts */
  readonly h: readonly Host[];
  /** storeEra; absent if 0, and from nodes of earlier versions */
  readonly er?: number;
  /** publishesHosts */
  readonly f: boolean;
  /** hostChanges */
  readonly e: readonly WireChange[];
  /** isTruncated */
  readonly m: boolean;
  /** hostRevision */
  readonly j: number;
  /** hostRead; absent if undefined, and from nodes of earlier versions */
  readonly hr?: Read;
  /** operatorRevision */
  readonly y: number;
  /** demand */
  readonly w: Readonly<Record<string, number>>;
  /** residuals; absent if empty, and from nodes of earlier versions */
  readonly re?: readonly Residual[];
  /** peers */
  readonly p: readonly string[];
  /** entry without its plan; absent if undefined, and from nodes of earlier versions */
  readonly en?: Entry;
  /** plan of entry; absent if undefined, and from nodes of earlier versions */
  readonly ep?: EntryPlan;
  /** acceptsCompressed; absent from nodes of earlier versions */
  readonly ac?: boolean;
}

/** A `StatusBatch` on the wire: the payload of one datagram. */
export interface WireBatch {
  /** isForwarded */
  readonly r: boolean;
  /** isUrgent */
  readonly q: boolean;
  /** statuses */
  readonly b: readonly WireStatus[];
}

const NODE_STATES: ReadonlySet<unknown> = new Set([
  "starting",
  "serving",
  "leaving",
]);
const SUSPICION_KINDS: ReadonlySet<unknown> = new Set([
  "silent",
  "reset",
  "unreachable",
]);
const MEMBERSHIP_STATES: ReadonlySet<unknown> = new Set([
  "none",
  "joining",
  "ready",
  "open",
  "closing",
  "broken",
]);
/** Smallest capacity of a node, in cores and megabits per second. */
export const MIN_CAPACITY = 0.001;
/** Largest capacity and work of a node, in cores and megabits per second. */
export const MAX_CAPACITY = 1_000_000;
/** Maximum number of upstreams in a strike; a batch with more is rejected. */
export const MAX_CRASHED_UPSTREAMS = 8;

/**
 * Checks that a parsed message is a batch of statuses.
 *
 * @example
 * ```ts
 * if (!isWireBatch(JSON.parse(text))) return undefined;
 * ```
 */
export function isWireBatch(value: unknown): value is WireBatch {
  const batch = value as WireBatch | null;
  return typeof batch === "object" && batch !== null &&
    isBoolean(batch.r) && isBoolean(batch.q) && isListOf(batch.b, isWireStatus);
}

/** Reads each field on its own: hundreds of statuses arrive in a second. */
function isWireStatus(value: unknown): boolean {
  if (typeof value !== "object" || value === null) return false;
  const { n, i, a, c, z, s, g, v, t, x, j, y, o, f, m } = value as WireStatus;
  const { l, d, u, k, cp, sp, hl, h, e, hr, er, ct, cl, p, w, ac } =
    value as WireStatus;
  const { re, en, ep } = value as WireStatus;
  return isText(n) && isText(i) && isText(a) && isText(c) && isText(z) &&
    NODE_STATES.has(s) &&
    isNumber(g) && isNumber(v) && isNumber(t) && isNumber(x) && isNumber(j) &&
    isNumber(y) && isBoolean(o) && isBoolean(f) && isBoolean(m) &&
    isListOf(l, isLoad) && isListOf(d, isSuspicion) && isListOf(u, isAged) &&
    isListOf(k, isStrike) && isOptionalListOf(cp, isSuspectPart) &&
    isOptionalListOf(sp, isAged) && isOptionalListOf(hl, isHostLimit) &&
    isListOf(h, isHost) &&
    isListOf(e, isChange) && (hr === undefined || isRead(hr)) &&
    (er === undefined || isCount(er)) &&
    (en === undefined || isEntry(en)) &&
    (ep === undefined || isEntryPlan(ep)) &&
    (ct === undefined || isNumberPair(ct)) &&
    isOptionalListOf(cl, isNumberPair) && isOptionalListOf(re, isResidual) &&
    isListOf(p, isText) && typeof w === "object" && w !== null &&
    Object.values(w).every(isNumber) && (ac === undefined || isBoolean(ac));
}

function isLoad(value: unknown): boolean {
  return isTuple(value, 4) && isText(value[0]) && isNumber(value[1]) &&
    isNumber(value[2]) && isNumber(value[3]);
}

function isSuspicion(value: unknown): boolean {
  return isTuple(value, 3) && isText(value[0]) &&
    SUSPICION_KINDS.has(value[1]) &&
    isNumber(value[2]);
}

/** Whether a value is a key or a part with an age. */
function isAged(value: unknown): boolean {
  return isTuple(value, 2) && isText(value[0]) && isNumber(value[1]);
}

function isStrike(value: unknown): boolean {
  return isTuple(value, 2) && isText(value[0]) &&
    isListOf(value[1], isText) &&
    (value[1] as string[]).length <= MAX_CRASHED_UPSTREAMS;
}

function isHostLimit(value: unknown): boolean {
  return isTuple(value, 4) && isText(value[0]) && isNumber(value[1]) &&
    isNumber(value[2]) && isNumber(value[3]);
}

function isResidual(value: unknown): boolean {
  return isTuple(value, 3) && isText(value[0]) && isNumber(value[1]) &&
    isNumber(value[2]);
}

function isSuspectPart(value: unknown): boolean {
  return isTuple(value, 5) && isText(value[0]) && isText(value[1]) &&
    isListOf(value[2], isText) && isListOf(value[3], isAged) &&
    isBoolean(value[4]);
}

function isHost(value: unknown): boolean {
  return isTuple(value, 6) && isText(value[0]) && isText(value[1]) &&
    isText(value[2]) && isNumber(value[3]) && isNumber(value[4]) &&
    MEMBERSHIP_STATES.has(value[5]);
}

function isChange(value: unknown): boolean {
  return isTuple(value, 5) && isText(value[0]) && isNumber(value[1]) &&
    isNumber(value[2]) && (value[3] === null || isText(value[3])) &&
    isBoolean(value[4]);
}

function isNumberPair(value: unknown): boolean {
  return isTuple(value, 2) && value.every(isNumber);
}

function isRead(value: unknown): boolean {
  return isTuple(value, 3) && value.every(isNumber);
}

function isEntry(value: unknown): boolean {
  return isTuple(value, 4) && isWithin(value[0], MIN_CAPACITY) &&
    isWithin(value[1], MIN_CAPACITY) && isWithin(value[2], 0) &&
    isBoolean(value[3]);
}

function isEntryPlan(value: unknown): boolean {
  return isTuple(value, 4) && isBoolean(value[0]) && isBoolean(value[1]) &&
    isCount(value[2]) && isListOf(value[3], isText) &&
    (value[3] as string[]).length <= MAX_ADDRESSES;
}

function isWithin(value: unknown, min: number): boolean {
  return isNumber(value) && value >= min && value <= MAX_CAPACITY;
}

function isTuple(value: unknown, length: number): value is unknown[] {
  return Array.isArray(value) && value.length === length;
}

function isListOf(value: unknown, isItem: (item: unknown) => boolean): boolean {
  return Array.isArray(value) && value.every(isItem);
}

function isOptionalListOf(
  value: unknown,
  isItem: (item: unknown) => boolean,
): boolean {
  return value === undefined || isListOf(value, isItem);
}

function isText(value: unknown): value is string {
  return typeof value === "string";
}

function isNumber(value: unknown): value is number {
  return Number.isFinite(value);
}

function isCount(value: unknown): boolean {
  return Number.isSafeInteger(value) && (value as number) >= 0;
}

function isBoolean(value: unknown): value is boolean {
  return typeof value === "boolean";
}
