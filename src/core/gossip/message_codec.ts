/**
 * Status messages as bytes.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import { z } from "zod";
import type { StatusBatch, StatusMessage } from "./messages.ts";

type Load = [key: string, inFlight: number, reading: number, silent: number];

/** A schema of tuples takes most of the time of a message. */
const Loads = z.custom<Load[]>((value) =>
  Array.isArray(value) && value.every(isLoad)
);
const Doubt = z.tuple([
  z.string(),
  z.enum(["silent", "reset", "unreachable"]),
  z.number(),
]);
const Strike = z.tuple([z.string(), z.array(z.string()).max(8)]);

const Host = z.tuple([
  z.string(),
  z.string(),
  z.string(),
  z.number(),
  z.number(),
  z.enum(["none", "joining", "ready", "open", "closing", "broken"]),
]);

type Change = [
  key: string,
  revision: number,
  previous: number,
  value: string | null,
  isLapsed: boolean,
];

const Changes = z.custom<Change[]>((value) =>
  Array.isArray(value) && value.every(isChange)
);

function isChange(value: unknown): value is Change {
  return Array.isArray(value) && value.length === 5 &&
    typeof value[0] === "string" && Number.isFinite(value[1]) &&
    Number.isFinite(value[2]) &&
    (typeof value[3] === "string" || value[3] === null) &&
    typeof value[4] === "boolean";
}

function isLoad(value: unknown): value is Load {
  return Array.isArray(value) && value.length === 4 &&
    typeof value[0] === "string" && Number.isFinite(value[1]) &&
    Number.isFinite(value[2]) && Number.isFinite(value[3]);
}

/** Short names keep a message within one datagram. */
const WireStatus = z.object({
  g: z.number(),
  n: z.string(),
  i: z.string(),
  a: z.string(),
  c: z.string(),
  z: z.string(),
  s: z.enum(["starting", "serving", "leaving"]),
  v: z.number(),
  t: z.number(),
  l: Loads,
  d: z.array(Doubt),
  u: z.array(z.tuple([z.string(), z.number()])),
  k: z.array(Strike),
  o: z.boolean(),
  x: z.number(),
  h: z.array(Host),
  f: z.boolean(),
  e: Changes,
  m: z.boolean(),
  j: z.number(),
  y: z.number(),
  w: z.record(z.string(), z.number()),
  p: z.array(z.string()),
});

const WireBatch = z.object({
  r: z.boolean(),
  q: z.boolean(),
  b: z.array(WireStatus),
});

/**
 * Encodes a batch.
 *
 * @example
 * ```ts
 * datagrams.send(peer, encodeBatch(batch));
 * ```
 */
export function encodeBatch(batch: StatusBatch): Uint8Array {
  return Buffer.from(JSON.stringify({
    r: batch.isPassedOn,
    q: batch.isUrgent,
    b: batch.statuses.map(toWire),
  }));
}

/**
 * Decodes a batch; undefined for bytes that are none.
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
    parsed = JSON.parse(Buffer.from(payload).toString("utf8"));
  } catch {
    return undefined;
  }
  const res = WireBatch.safeParse(parsed);
  if (!res.success) return undefined;
  const { r, q, b } = res.data;
  return { isPassedOn: r, isUrgent: q, statuses: b.map(fromWire) };
}

function toWire(msg: StatusMessage): z.infer<typeof WireStatus> {
  return {
    g: Math.round(msg.ageMs),
    n: msg.node,
    i: msg.incarnation,
    a: msg.internalAddress,
    c: msg.callerAddress,
    z: msg.zone,
    s: msg.state,
    v: msg.catalogVersion,
    t: Math.round(msg.confirmedMs),
    l: msg.loads.map((load) => [
      load.key,
      load.inFlight,
      load.reading,
      Math.round(load.silentMs),
    ]),
    d: msg.doubts.map((doubt) => [
      doubt.key,
      doubt.kind,
      Math.round(doubt.ageMs),
    ]),
    u: msg.trusted.map(([key, ageMs]) => [key, Math.round(ageMs)]),
    k: msg.strikes.map((strike) => [strike.fingerprint, [...strike.crashed]]),
    o: msg.isCutOff,
    x: msg.actingTerm,
    h: msg.hosts.map(({ id, model, membership }) => [
      id,
      model,
      membership?.group ?? "",
      membership?.epoch ?? 0,
      membership?.rank ?? 0,
      membership?.state ?? "none",
    ]),
    f: msg.tellsHosts,
    e: msg.hostChanges.map((change): Change => [
      change.key,
      change.revision,
      change.previous,
      change.value ?? null,
      change.isLapsed,
    ]),
    m: msg.isCutShort,
    j: msg.hostRevision,
    y: msg.operatorRevision,
    w: msg.demand,
    p: [...msg.peers],
  };
}

function fromWire(wire: z.infer<typeof WireStatus>): StatusMessage {
  return {
    ageMs: wire.g,
    node: wire.n,
    incarnation: wire.i,
    internalAddress: wire.a,
    callerAddress: wire.c,
    zone: wire.z,
    state: wire.s,
    catalogVersion: wire.v,
    confirmedMs: wire.t,
    loads: wire.l.map(([key, inFlight, reading, silentMs]) => ({
      key,
      inFlight,
      reading,
      silentMs,
    })),
    doubts: wire.d.map(([key, kind, ageMs]) => ({ key, kind, ageMs })),
    trusted: wire.u,
    strikes: wire.k.map(([fingerprint, crashed]) => ({ fingerprint, crashed })),
    isCutOff: wire.o,
    actingTerm: wire.x,
    hosts: wire.h.map(([id, model, group, epoch, rank, state]) => ({
      id,
      model,
      membership: state === "none" ? undefined : { group, epoch, rank, state },
    })),
    tellsHosts: wire.f,
    hostChanges: wire.e.map(([key, revision, previous, value, isLapsed]) => ({
      key,
      revision,
      previous,
      value: value ?? undefined,
      isLapsed,
    })),
    isCutShort: wire.m,
    hostRevision: wire.j,
    operatorRevision: wire.y,
    demand: wire.w,
    peers: wire.p,
  };
}
