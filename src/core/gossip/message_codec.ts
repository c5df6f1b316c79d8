/**
 * Status messages as bytes.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import { z } from "zod";
import type { StatusMessage } from "./messages.ts";

const Load = z.tuple([z.string(), z.number(), z.number(), z.number()]);
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

/** Short names keep a message within one datagram. */
const WireSchema = z.object({
  n: z.string(),
  i: z.string(),
  a: z.string(),
  c: z.string(),
  z: z.string(),
  s: z.enum(["starting", "serving", "leaving"]),
  v: z.number(),
  t: z.number(),
  l: z.array(Load),
  d: z.array(Doubt),
  u: z.array(z.tuple([z.string(), z.number()])),
  k: z.array(Strike),
  x: z.number(),
  h: z.array(Host),
  w: z.record(z.string(), z.number()),
  p: z.array(z.string()),
});

/**
 * Encodes a message.
 *
 * @example
 * ```ts
 * datagrams.send(peer, encodeStatus(status));
 * ```
 */
export function encodeStatus(msg: StatusMessage): Uint8Array {
  return Buffer.from(JSON.stringify({
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
    k: msg.strikes.map((strike) => [strike.fingerprint, strike.crashed]),
    x: msg.actingTerm,
    h: msg.hosts.map(({ id, model, membership }) => [
      id,
      model,
      membership?.group ?? "",
      membership?.epoch ?? 0,
      membership?.rank ?? 0,
      membership?.state ?? "none",
    ]),
    w: msg.demand,
    p: msg.peers,
  }));
}

/**
 * Decodes a message; undefined for bytes that are none.
 *
 * @example
 * ```ts
 * const status = decodeStatus(payload);
 * if (status === undefined) return;
 * ```
 */
export function decodeStatus(payload: Uint8Array): StatusMessage | undefined {
  let parsed: unknown;
  try {
    parsed = JSON.parse(Buffer.from(payload).toString("utf8"));
  } catch {
    return undefined;
  }
  const res = WireSchema.safeParse(parsed);
  if (!res.success) return undefined;
  const wire = res.data;
  return {
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
    actingTerm: wire.x,
    hosts: wire.h.map(([id, model, group, epoch, rank, state]) => ({
      id,
      model,
      membership: state === "none" ? undefined : { group, epoch, rank, state },
    })),
    demand: wire.w,
    peers: wire.p,
  };
}
