/**
 * Encoding of status batches as datagram payloads.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import { deflateRawSync, inflateRawSync } from "node:zlib";
import type { LoadStatus, StatusBatch, StatusMessage } from "./messages.ts";
import { MAX_ADDRESSES } from "../entry/mod.ts";
import type { EntryStatus, ZonePlan } from "../entry/mod.ts";
import type { WireChange, WireStatus } from "./wire_status.ts";
import {
  isWireBatch,
  MAX_CAPACITY,
  MAX_CRASHED_UPSTREAMS,
  MIN_CAPACITY,
} from "./wire_status.ts";

/** First byte of a compressed payload; others begin with a brace. */
const COMPRESSED_MARK = 1;
/** A payload that is larger when it is decompressed is malformed. */
const MAX_DECOMPRESSED_BYTES = 1_048_576;
/** The fastest level; statuses repeat the keys of the same upstreams. */
const COMPRESSION_LEVEL = 1;

/**
 * Encodes a batch; compressed, for nodes that accept it.
 *
 * @example
 * ```ts
 * datagrams.send(peer, encodeBatch(batch));
 * ```
 */
export function encodeBatch(
  batch: StatusBatch,
  isCompressed = false,
): Uint8Array {
  const payload = Buffer.from(JSON.stringify({
    r: batch.isForwarded,
    q: batch.isUrgent,
    b: batch.statuses.map(toWire),
  }));
  if (!isCompressed) return payload;
  const compressed = deflateRawSync(payload, { level: COMPRESSION_LEVEL });
  return Buffer.concat([Buffer.of(COMPRESSED_MARK), compressed]);
}

/**
 * Decodes a batch. Returns undefined for a malformed payload.
 *
 * @example
 * ```ts
 * const batch = decodeBatch(payload);
 * if (batch === undefined) return;
 * ```
 */
export function decodeBatch(payload: Uint8Array): StatusBatch | undefined {
  let parsed: unknown;
  try {
    parsed = JSON.parse(decompress(payload).toString("utf8"));
  } catch {
    return undefined;
  }
  if (!isWireBatch(parsed)) return undefined;
  const { r, q, b } = parsed;
  return { isForwarded: r, isUrgent: q, statuses: b.map(fromWire) };
}

function decompress(payload: Uint8Array): Buffer {
  if (payload[0] !== COMPRESSED_MARK) return Buffer.from(payload);
  return inflateRawSync(payload.subarray(1), {
    maxOutputLength: MAX_DECOMPRESSED_BYTES,
  });
}

function toWire(msg: StatusMessage): WireStatus {
  return {
    g: Math.round(msg.ageMs),
    // Rounded so that a receiver takes the status for older, never for younger.
    ct: msg.createdAt && [msg.createdAt.clock, Math.floor(msg.createdAt.at)],
    cl: msg.clockLags.map(([clock, lagMs]) => [clock, Math.ceil(lagMs)]),
    n: msg.node,
    i: msg.incarnation,
    a: msg.internalAddress,
    c: msg.callerAddress,
    z: msg.zone,
    s: msg.state,
    v: msg.catalogVersion,
    t: Math.ceil(msg.confirmedMs),
    l: msg.loads.map((load) => [
      load.key,
      load.inFlight,
      load.pendingPromptTokens,
      Math.round(load.silentMs),
    ]),
    d: msg.suspicions.map((suspicion) => [
      suspicion.key,
      suspicion.kind,
      Math.round(suspicion.ageMs),
    ]),
    u: msg.cleared.map(([key, ageMs]) => [key, Math.round(ageMs)]),
    k: msg.strikes.map((strike) => [
      strike.fingerprint,
      strike.crashed.slice(0, MAX_CRASHED_UPSTREAMS),
    ]),
    cp: msg.suspectParts.map((suspect) => [
      suspect.part,
      suspect.model,
      [...suspect.companions],
      suspect.crashes.map((
        { upstream, ageMs },
      ) => [upstream, Math.round(ageMs)]),
      suspect.isQuarantined,
    ]),
    sp: msg.soundParts.map(([part, ageMs]) => [part, Math.round(ageMs)]),
    hl: msg.hostLimits.map(({ id, born, perSecond, ageMs }) => [
      id,
      born,
      perSecond ?? -1,
      Math.round(ageMs),
    ]),
    o: msg.isStoreUnreachable,
    x: msg.leaderTerm,
    h: msg.hosts.map(({ id, model, membership }) => [
      id,
      model,
      membership?.group ?? "",
      membership?.epoch ?? 0,
      membership?.rank ?? 0,
      membership?.state ?? "none",
    ]),
    // Most stores were never restored.
    er: msg.storeEra === 0 ? undefined : msg.storeEra,
    f: msg.publishesHosts,
    e: msg.hostChanges.map((change): WireChange => [
      change.key,
      change.revision,
      change.previous,
      change.value ?? null,
      change.isLapsed,
    ]),
    m: msg.isTruncated,
    j: msg.hostRevision,
    hr: msg.hostRead && [
      Math.ceil(msg.hostRead.ageMs),
      msg.hostRead.revision,
      msg.hostRead.changeRevision,
    ],
    y: msg.operatorRevision,
    w: msg.demand,
    re: msg.residuals.length === 0 ? undefined : msg.residuals.map((
      { model, constantMs, spreadMs },
    ) => [model, constantMs, spreadMs]),
    p: [...msg.peers],
    en: msg.entry && toWireEntry(msg.entry),
    ep: msg.entry?.plan && toWirePlan(msg.entry.plan),
    ac: msg.acceptsCompressed,
  };
}

function toWireEntry(entry: EntryStatus): WireStatus["en"] {
  const capacity = (value: number) =>
    Math.min(MAX_CAPACITY, Math.max(MIN_CAPACITY, roundToThousandths(value)));
  return [
    capacity(entry.cores),
    capacity(entry.linkMbps),
    Math.min(MAX_CAPACITY, roundToThousandths(entry.work)),
    entry.isBehind,
  ];
}

function toWirePlan(plan: ZonePlan): WireStatus["ep"] {
  return [
    plan.isAll,
    plan.isSpread,
    plan.weakOut,
    plan.helpers.slice(0, MAX_ADDRESSES),
  ];
}

function roundToThousandths(value: number): number {
  return Math.round(value * 1_000) / 1_000;
}

function fromWire(wire: WireStatus): StatusMessage {
  return {
    ageMs: wire.g,
    createdAt: wire.ct && { clock: wire.ct[0], at: wire.ct[1] },
    clockLags: wire.cl ?? [],
    node: wire.n,
    incarnation: wire.i,
    internalAddress: wire.a,
    callerAddress: wire.c,
    zone: wire.z,
    state: wire.s,
    catalogVersion: wire.v,
    confirmedMs: wire.t,
    loads: wire.l.map((
      [key, inFlight, pendingPromptTokens, silentMs],
    ): LoadStatus => ({
      key,
      inFlight,
      pendingPromptTokens,
      silentMs,
    })),
    suspicions: wire.d.map(([key, kind, ageMs]) => ({ key, kind, ageMs })),
    cleared: wire.u,
    strikes: wire.k.map(([fingerprint, crashed]) => ({ fingerprint, crashed })),
    suspectParts: (wire.cp ?? []).map((
      [part, model, companions, crashes, isQuarantined],
    ) => ({
      part,
      model,
      companions,
      crashes: crashes.map(([upstream, ageMs]) => ({ upstream, ageMs })),
      isQuarantined,
    })),
    soundParts: wire.sp ?? [],
    hostLimits: (wire.hl ?? []).map(([id, born, perSecond, ageMs]) => ({
      id,
      born,
      perSecond: perSecond < 0 ? undefined : perSecond,
      ageMs,
    })),
    isStoreUnreachable: wire.o,
    leaderTerm: wire.x,
    hosts: wire.h.map(([id, model, group, epoch, rank, state]) => ({
      id,
      model,
      membership: state === "none" ? undefined : { group, epoch, rank, state },
    })),
    storeEra: wire.er ?? 0,
    publishesHosts: wire.f,
    hostChanges: wire.e.map(([key, revision, previous, value, isLapsed]) => ({
      key,
      revision,
      previous,
      value: value ?? undefined,
      isLapsed,
    })),
    isTruncated: wire.m,
    hostRevision: wire.j,
    hostRead: wire.hr && {
      ageMs: wire.hr[0],
      revision: wire.hr[1],
      changeRevision: wire.hr[2],
    },
    operatorRevision: wire.y,
    demand: wire.w,
    residuals: (wire.re ?? []).map(([model, constantMs, spreadMs]) => ({
      model,
      constantMs,
      spreadMs,
    })),
    peers: wire.p,
    entry: wire.en && {
      cores: wire.en[0],
      linkMbps: wire.en[1],
      work: wire.en[2],
      isBehind: wire.en[3],
      plan: wire.ep && {
        isAll: wire.ep[0],
        isSpread: wire.ep[1],
        weakOut: wire.ep[2],
        helpers: wire.ep[3],
      },
    },
    acceptsCompressed: wire.ac === true,
  };
}
