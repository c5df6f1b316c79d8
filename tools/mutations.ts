/**
 * The mechanisms that the promises rest on, and how each is switched off.
 *
 * @module
 */

/** One mechanism, as a change to the compiled code. */
export interface Mutation {
  readonly promise: number;
  /** Tag of the scenarios that must fail; those of the promise without one. */
  readonly tag?: string;
  readonly mechanism: string;
  readonly edits: readonly Edit[];
}

/** One change to a compiled module. */
export interface Edit {
  /** Below `dist/src/core`. */
  readonly file: string;
  /** Text that stands in the module exactly once. */
  readonly find: string;
  readonly replace: string;
}

/** Every mechanism that is switched off in turn. */
export const MUTATIONS: readonly Mutation[] = [
  {
    promise: 1,
    mechanism: "A group closes on the first evidence",
    edits: [{
      file: "routing/upstream_table.js",
      find: "close(evidence) {",
      replace: "close(evidence) { return false;",
    }],
  },
  {
    promise: 1,
    mechanism: "A group opens only when every member confirmed the epoch",
    edits: [{
      file: "groups/group_planner.js",
      find: "if (group.members.every((m) => memberReady",
      replace: "if (group.members.some((m) => memberReady",
    }],
  },
  {
    promise: 2,
    mechanism: "A host is reused only after its engine has left",
    edits: [
      {
        file: "groups/host_view.js",
        find: "export function memberReleased(member, group, views) {",
        replace:
          "export function memberReleased(member, group, views) { return true;",
      },
      {
        file: "groups/group_planner.js",
        find: 'if (status.phase === "idle")',
        replace: "",
      },
      {
        file: "controller/controller.js",
        find: 'if (status === undefined || status.phase !== "idle")',
        replace: "if (status === undefined)",
      },
    ],
  },
  {
    promise: 2,
    mechanism: "The lease is checked right before each act",
    edits: [{
      file: "controller/controller_lease.js",
      find:
        "if (this.#timers.now() >= this.#validUntil)\n            return undefined;",
      replace: "",
    }],
  },
  {
    promise: 3,
    mechanism: "One owner counts the slots of all gateways",
    edits: [{
      file: "limits/slot_owner.js",
      find: "#reserved(budget, now) {",
      replace: "#reserved(budget, now) { return 0;",
    }],
  },
  {
    promise: 3,
    mechanism: "An upstream of which nothing is known is not warm",
    edits: [{
      file: "limits/slot_holder.js",
      find: "if (this.#warm.has(upstreamId))\n            return true;",
      replace: "return true;",
    }],
  },
  {
    promise: 4,
    mechanism: "A zone that is out takes no new work",
    edits: [{
      file: "routing/upstream_table.js",
      find: "const zone = zoneTakesWork(cfg, entry.upstream.availabilityZone);",
      replace: "const zone = true;",
    }],
  },
  {
    promise: 4,
    mechanism: "A gateway with an unconfirmed configuration stops",
    edits: [{
      file: "configuration/config_replica.js",
      find:
        "return this.#cfg.revision > 0 && this.ageMs(now) <= CONFIG_STALE_MS;",
      replace: "return this.#cfg.revision > 0;",
    }],
  },
  {
    promise: 5,
    mechanism: "A stream goes on after the last event delivered",
    edits: [{
      file: "gateway/request_run.js",
      find: "resumeAfter: this.call.resumeAfter + this.#response.sentEvents,",
      replace: "resumeAfter: this.call.resumeAfter,",
    }],
  },
  {
    promise: 5,
    mechanism: "A stream without its end marker is broken",
    edits: [{
      file: "gateway/request_run.js",
      find: "return this.#handleMalformed(attempt, detail);",
      replace: "return this.#completeStream(attempt);",
    }],
  },
  {
    promise: 5,
    mechanism: "What arrives after an attempt was closed is dropped",
    edits: [
      {
        file: "gateway/attempt_run.js",
        find: "onData(chunk) {\n        if (this.#closed)\n            return;",
        replace: "onData(chunk) {",
      },
      {
        file: "gateway/request_run.js",
        find:
          "if (attempt !== this.#winner)\n            return;\n        const streams",
        replace: "const streams",
      },
    ],
  },
  {
    promise: 6,
    mechanism: "Only what reached no upstream is called not run",
    edits: [{
      file: "gateway/request_run.js",
      find: "if (!this.#reachedUpstream) {",
      replace: "{",
    }],
  },
  {
    promise: 7,
    mechanism: "An order that can't be claimed is refused",
    edits: [{
      file: "orders/order_ledger.js",
      find: 'if (res.kind === "failed") {',
      replace:
        'if (res.kind === "failed") { return { kind: "claimed", claim: { key, record, revision: 0 } };',
    }],
  },
  {
    promise: 7,
    mechanism: "A claim of another attempt is respected",
    edits: [{
      file: "orders/order_ledger.js",
      find: 'return { kind: "duplicate", record: found };',
      replace:
        'return { kind: "claimed", claim: { key, record, revision: res.current.modRevision } };',
    }],
  },
  {
    promise: 7,
    mechanism: "An order is not sent again after its connection broke",
    edits: [{
      file: "gateway/request_run.js",
      find:
        'if (this.repeatable)\n            this.#retry(false);\n        else\n            this.#failAsUnknown("The connection to the service broke");',
      replace: "this.#failedOn.clear(); this.#retry(false);",
    }],
  },
  {
    promise: 7,
    mechanism: "An order on its way is not given back when its caller vanishes",
    edits: [{
      file: "gateway/request_run.js",
      find: "return this.#reachedUpstream || this.#attempts.size > 0;",
      replace: "return this.#reachedUpstream;",
    }],
  },
  {
    promise: 8,
    mechanism: "The host list's leaving mark closes an upstream",
    edits: [{
      file: "routing/upstream_table.js",
      find:
        'if (host.state === "leaving")\n                entry.leaving = true;',
      replace: "",
    }],
  },
  {
    promise: 9,
    mechanism: "A shutdown waits for requests in flight",
    edits: [{
      file: "gateway/gateway.js",
      find: "while (this.#busy &&",
      replace: "while (false &&",
    }],
  },
  {
    promise: 9,
    mechanism: "A shutdown waits for addresses that callers still hold",
    edits: [{
      file: "gateway/gateway.js",
      find: "await this.#wait(ADDRESS_TTL_MS + SYNC_PERIOD_MS);",
      replace: "",
    }],
  },
  {
    promise: 10,
    mechanism: "An older configuration never replaces a newer one",
    edits: [{
      file: "configuration/config_replica.js",
      find:
        "if (cfg.revision <= this.#cfg.revision)\n            return false;",
      replace: "",
    }],
  },
  {
    promise: 10,
    mechanism: "A change is accepted only once no gateway serves without it",
    edits: [{
      file: "configuration/administration.js",
      find: "async #confirm(before, cfg, deadline) {",
      replace: "async #confirm(before, cfg, deadline) { return true;",
    }],
  },
  {
    promise: 10,
    mechanism: "A majority of gateways confirms while the store is down",
    edits: [{
      file: "configuration/config_replica.js",
      find: "#confirmByMajority(now) {",
      replace: "#confirmByMajority(now) { return;",
    }],
  },
  {
    promise: 2,
    tag: "@groups",
    mechanism: "A member leaves its group before it joins another",
    edits: [{
      file: "orchestrator/group_orchestrator.js",
      find: "else\n                    occupied.add(host.id);",
      replace:
        "else if (isHealthy(group))\n                    occupied.add(host.id);",
    }, {
      file: "orchestrator/group_lifecycle.js",
      find: "for (const { host } of responsive) {",
      replace: "for (const { host } of []) {",
    }],
  },
  {
    promise: 1,
    tag: "@groups",
    mechanism: "A head is opened when every member has shown that it is ready",
    edits: [{
      file: "orchestrator/group_lifecycle.js",
      find: 'states.every((state) => state === "ready")',
      replace: 'states.some((state) => state === "ready")',
    }],
  },
  {
    promise: 7,
    tag: "@relay",
    mechanism: "An order that may have run is not sent again",
    edits: [{
      file: "relay/request_contract.js",
      find: "get repeatable() {",
      replace: "get repeatable() { return true;",
    }],
  },
  {
    promise: 10,
    tag: "@relay",
    mechanism: "Keys are not trusted on an unconfirmed catalog",
    edits: [{
      file: "relay/relay.js",
      find: "if (confirmationAgeMs > this.#deps.maxConfirmationAgeMs())",
      replace: "if (confirmationAgeMs > Infinity)",
    }],
  },
  {
    promise: 5,
    tag: "@relay",
    mechanism: "An event that the caller has is not passed on again",
    edits: [{
      file: "relay/stream_splice.js",
      find: "if (id <= this.#lastId)",
      replace: "if (id <= -1)",
    }],
  },
  {
    promise: 10,
    tag: "@relay",
    mechanism: "An older catalog never replaces a newer one",
    edits: [{
      file: "catalog/catalog_holder.js",
      find: "if (catalog.version <= this.version)",
      replace: "if (catalog.version <= -1)",
    }],
  },
  {
    promise: 8,
    tag: "@relay",
    mechanism: "A host that leaves is dropped at once",
    edits: [{
      file: "fleet/host_registry.js",
      find: "withdraw(id, now, afterOutage) {",
      replace: "withdraw(id, now, afterOutage) { return;",
    }],
  },
  {
    promise: 9,
    tag: "@gossip",
    mechanism: "A hub that has gone silent is left out",
    edits: [{
      file: "gossip/hub_selector.js",
      find: "> HUB_SILENCE_MS;",
      replace: "> Infinity;",
    }],
  },
  {
    promise: 9,
    tag: "@gossip",
    mechanism: "A node that its hub does not hear tells all by itself",
    edits: [{
      file: "gossip/peer_gossip.js",
      find: "if (now - this.#echoedAt > ECHO_TIMEOUT_MS)",
      replace: "if (now - this.#echoedAt === Infinity)",
    }],
  },
  {
    promise: 10,
    tag: "@gossip",
    mechanism: "What waited in a paused process is not passed on as fresh",
    edits: [{
      file: "gossip/peer_gossip.js",
      find: "this.#deps.isFresh() ? unforwarded : []",
      replace: "unforwarded",
    }],
  },
  {
    promise: 8,
    tag: "@gossip",
    mechanism: "A change of a host that is older than what is known is dropped",
    edits: [{
      file: "fleet/host_changes.js",
      find: "if (revision <= (this.#revisions.get(key) ?? this.#baseline))",
      replace: "if (revision <= -1)",
    }],
  },
  {
    promise: 8,
    tag: "@gossip",
    mechanism: "A node that hears no teller of hosts asks the store itself",
    edits: [{
      file: "fleet/fleet_state.js",
      find: "now - this.#publisherSeenAt < PUBLISHER_TIMEOUT_MS",
      replace: "now - this.#publisherSeenAt < Infinity",
    }],
  },
  {
    promise: 10,
    tag: "@gossip",
    mechanism: "A newer document seen by a peer cuts a silent wait short",
    edits: [{
      file: "fleet/fleet_state.js",
      find: "if (news.operatorRevision > this.#operatorRevision)",
      replace: "if (news.operatorRevision > Infinity)",
    }],
  },
  {
    promise: 8,
    tag: "@gossip",
    mechanism: "A gap between the changes that are told makes a node ask",
    edits: [{
      file: "fleet/fleet_state.js",
      find: "isGap ||= change.previous > this.#changes.newest;",
      replace: "",
    }],
  },
  {
    promise: 8,
    tag: "@gossip",
    mechanism: "A lost change of a host that no other follows is noticed",
    edits: [{
      file: "fleet/fleet_state.js",
      find: "isGap ||= this.#changes.isMissing(news.hostRevision);",
      replace: "",
    }],
  },
  {
    promise: 1,
    tag: "@groups",
    mechanism: "Spares make losses good before they form further groups",
    edits: [{
      file: "orchestrator/spare_value.js",
      find: "return newGroupValue + repairValue;",
      replace: "return newGroupValue;",
    }],
  },
  {
    promise: 1,
    tag: "@groups",
    mechanism: "Spares count with the model that is being loaded",
    edits: [{
      file: "orchestrator/layout.js",
      find: "spare.loadingModel ??",
      replace: "undefined ??",
    }],
  },
  {
    promise: 8,
    tag: "@groups",
    mechanism: "Members that leave together are replaced together",
    edits: [{
      file: "orchestrator/group_lifecycle.js",
      find: "now - since < LEAVE_BATCH_MS",
      replace: "false",
    }],
  },
  {
    promise: 5,
    tag: "@relay",
    mechanism: "A node stays with few groups while they are not busy",
    edits: [{
      file: "relay/placer.js",
      find: "1 + rank * RANK_PENALTY",
      replace: "1 + random.float() * JITTER",
    }],
  },
  {
    promise: 2,
    tag: "@groups",
    mechanism:
      "A host that turns out to be in a group is not told to join another",
    edits: [{
      file: "orchestrator/command_sender.js",
      find: "if (isInOtherGroup(command, membership))",
      replace: "if (false)",
    }],
  },
  {
    promise: 2,
    tag: "@groups",
    mechanism: "An old announcement does not replace a report",
    edits: [{
      file: "orchestrator/host_state_tracker.js",
      find: "record.announcedAt > override.at + MAX_DELIVERY_MS &&",
      replace: "",
    }],
  },
];
