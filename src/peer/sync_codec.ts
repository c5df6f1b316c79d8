/**
 * Converts sync messages to and from their wire form.
 *
 * @module
 */
import type { MessageInitShape } from "@bufbuild/protobuf";
import {
  parseConfiguration,
  parseDomainRecord,
} from "../core/configuration/parse.ts";
import type { Lifecycle, SyncMessage } from "../core/membership/messages.ts";
import type { News, NewsSchema } from "./gen/peer_pb.ts";

const LIFECYCLES: readonly Lifecycle[] = [
  "starting",
  "serving",
  "withdrawn",
  "draining",
  "stopped",
];

/** Converts a message to its wire form. */
export function toWire(msg: SyncMessage): MessageInitShape<typeof NewsSchema> {
  return {
    from: msg.from,
    incarnation: msg.incarnation,
    lifecycle: msg.lifecycle,
    configRevision: msg.configRevision,
    configuration: msg.cfg === undefined ? "" : JSON.stringify(msg.cfg),
    recordsHash: msg.recordsHash,
    digests: [...msg.digests],
    records: msg.records.map((record) => JSON.stringify(record)),
    evidence: [...msg.evidence],
    warm: [...msg.warm],
    cold: [...msg.cold],
    suspects: msg.suspects.map((suspect) => ({
      fingerprint: suspect.fingerprint,
      crashed: [...suspect.crashed],
    })),
    suspectParts: msg.suspectParts.map((suspect) => ({
      ...suspect,
      companions: [...suspect.companions],
      crashes: [...suspect.crashes],
    })),
    soundParts: msg.soundParts.map(([part, ageMs]) => ({ part, ageMs })),
    reports: msg.reports.map((item) => ({
      upstreamId: item.upstreamId,
      ageMs: item.ageMs,
      ...item.report,
    })),
  };
}

/**
 * Parses a wire message; returns undefined when it is malformed. A configuration
 * that is no newer than `knownRevision` is not parsed. Malformed records and
 * evidence of unknown kinds are left out.
 */
export function fromWire(
  wire: News | undefined,
  knownRevision: number,
): SyncMessage | undefined {
  if (wire === undefined || wire.from === "") return undefined;
  const lifecycle = LIFECYCLES.find((name) => name === wire.lifecycle);
  if (lifecycle === undefined) return undefined;
  const isNewer = wire.configuration !== "" &&
    wire.configRevision > knownRevision;
  const cfg = isNewer ? parseConfiguration(wire.configuration) : undefined;
  if (isNewer && cfg === undefined) return undefined;
  const records = wire.records.flatMap((text) => parseDomainRecord(text) ?? []);
  return {
    from: wire.from,
    incarnation: wire.incarnation,
    lifecycle,
    configRevision: wire.configRevision,
    cfg,
    recordsHash: wire.recordsHash,
    digests: wire.digests,
    records,
    evidence: wire.evidence.flatMap((item) => toEvidence(item) ?? []),
    warm: wire.warm,
    cold: wire.cold,
    suspects: wire.suspects,
    suspectParts: wire.suspectParts,
    soundParts: wire.soundParts.map(({ part, ageMs }) => [part, ageMs]),
    reports: wire.reports.map((item) => ({
      upstreamId: item.upstreamId,
      ageMs: item.ageMs,
      report: {
        bootId: item.bootId,
        epoch: item.epoch,
        running: item.running,
        capacity: item.capacity,
        completed: item.completed,
      },
    })),
  };
}

function toEvidence(item: News["evidence"][number]) {
  const { upstreamId, hostId, kind, detail } = item;
  if (kind !== "lost" && kind !== "unreachable") return undefined;
  return { upstreamId, hostId, kind, detail } as const;
}
