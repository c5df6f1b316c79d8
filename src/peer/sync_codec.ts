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
    reports: msg.reports.map((item) => ({
      upstreamId: item.upstreamId,
      ageMs: item.ageMs,
      ...item.report,
    })),
  };
}

/**
 * Parses a wire message; returns undefined when it is malformed. A configuration
 * that is no newer than `knownRevision` is not parsed.
 */
export function fromWire(
  news: News | undefined,
  knownRevision: number,
): SyncMessage | undefined {
  if (news === undefined || news.from === "") return undefined;
  const lifecycle = LIFECYCLES.find((name) => name === news.lifecycle);
  if (lifecycle === undefined) return undefined;
  const isNewer = news.configuration !== "" &&
    news.configRevision > knownRevision;
  const cfg = isNewer ? parseConfiguration(news.configuration) : undefined;
  if (isNewer && cfg === undefined) return undefined;
  const records = news.records.flatMap((text) => parseDomainRecord(text) ?? []);
  return {
    from: news.from,
    incarnation: news.incarnation,
    lifecycle,
    configRevision: news.configRevision,
    cfg,
    recordsHash: news.recordsHash,
    digests: news.digests,
    records,
    evidence: news.evidence.flatMap((item) => toEvidence(item) ?? []),
    warm: news.warm,
    cold: news.cold,
    suspects: news.suspects,
    reports: news.reports.map((item) => ({
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
