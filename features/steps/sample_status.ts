import type { StatusMessage } from "../../src/core/gossip/messages.ts";

/** Returns a status with every kind of field. */
export function sampleStatus(): StatusMessage {
  return {
    node: "n-1",
    ageMs: 5,
    createdAt: { clock: 71, at: 4_000 },
    clockLags: [[72, -20]],
    incarnation: "run-1",
    internalAddress: "10.0.0.1:7",
    callerAddress: "10.0.0.1:8",
    zone: "z",
    state: "serving",
    catalogVersion: 3,
    confirmedMs: 10,
    loads: [{ key: "g", inFlight: 1, pendingPromptTokens: 2, silentMs: 3 }],
    suspicions: [{ key: "g", kind: "silent", ageMs: 4 }],
    cleared: [["g", 5]],
    strikes: [{ fingerprint: "f", crashed: ["h"] }],
    suspectParts: [{
      part: "p",
      model: "large",
      companions: ["c"],
      crashes: [{ upstream: "g", ageMs: 6 }],
      isQuarantined: true,
    }],
    soundParts: [["s", 7]],
    hostLimits: [{ id: "h", born: 2, perSecond: 4.5, ageMs: 8 }],
    isStoreUnreachable: false,
    leaderTerm: 0,
    hosts: [{
      id: "h",
      model: "large",
      membership: { group: "g", epoch: 1, rank: 0, state: "open" },
    }],
    storeEra: 2,
    publishesHosts: true,
    hostChanges: [{
      key: "hosts/h",
      revision: 9,
      previous: 8,
      value: "{}",
      isLapsed: false,
    }],
    isTruncated: false,
    hostRevision: 9,
    hostRead: { ageMs: 12, revision: 11, changeRevision: 9 },
    operatorRevision: 7,
    demand: { large: 1 },
    peers: ["10.0.0.2:7"],
    acceptsCompressed: true,
  };
}
