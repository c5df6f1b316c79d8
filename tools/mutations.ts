/**
 * Mutations that disable the mechanisms behind the promises.
 *
 * @module
 */

/** One mechanism and the edits of the compiled code that disable it. */
export interface Mutation {
  readonly promise: number;
  /** Tag of the scenarios that must fail; by default the promise's tag. */
  readonly tag?: string;
  readonly mechanism: string;
  readonly edits: readonly Edit[];
}

/** One edit of a compiled module. */
export interface Edit {
  /** Path relative to `dist/src/core`. */
  readonly file: string;
  /** Text that occurs exactly once in the module. */
  readonly find: string;
  readonly replace: string;
}

/** All mutations, in the order in which they run. */
export const MUTATIONS: readonly Mutation[] = [
  {
    promise: 1,
    mechanism: "A group is closed on the first evidence of a failure",
    edits: [{
      file: "routing/upstream_table.js",
      find: "close(evidence) {",
      replace: "close(evidence) { return false;",
    }],
  },
  {
    promise: 1,
    mechanism:
      "A group is opened only after every member has confirmed the epoch",
    edits: [{
      file: "groups/group_planner.js",
      find: "if (group.members.every((m) => memberReady",
      replace: "if (group.members.some((m) => memberReady",
    }],
  },
  {
    promise: 2,
    mechanism: "A host is reused only after its engine has left the group",
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
    mechanism: "The controller's lease is checked right before each action",
    edits: [{
      file: "controller/controller_lease.js",
      find:
        "if (this.#timers.now() >= this.#validUntil)\n            return undefined;",
      replace: "",
    }],
  },
  {
    promise: 3,
    mechanism:
      "Slots reserved for gateways are subtracted from a cold upstream's budget",
    edits: [{
      file: "limits/share_allocator.js",
      find: "#reserved(budget, now) {",
      replace: "#reserved(budget, now) { return 0;",
    }],
  },
  {
    promise: 3,
    mechanism: "An upstream of unknown state is not treated as warm",
    edits: [{
      file: "limits/gateway_shares.js",
      find: "if (this.#warm.has(upstreamId))\n            return true;",
      replace: "return true;",
    }],
  },
  {
    promise: 4,
    mechanism:
      "An availability zone that is out of service gets no new requests",
    edits: [{
      file: "routing/upstream_table.js",
      find:
        "const isInService = isZoneInService(cfg, entry.upstream.availabilityZone);",
      replace: "const isInService = true;",
    }],
  },
  {
    promise: 4,
    mechanism: "A gateway whose configuration is unconfirmed stops serving",
    edits: [{
      file: "configuration/config_replica.js",
      find:
        "return this.#cfg.revision > 0 && this.ageMs(now) <= CONFIG_STALE_MS;",
      replace: "return this.#cfg.revision > 0;",
    }],
  },
  {
    promise: 5,
    mechanism: "A stream resumes after the last event delivered",
    edits: [{
      file: "gateway/request_run.js",
      find: "resumeAfter: this.#response.eventCount,",
      replace: "resumeAfter: this.request.resumeAfter,",
    }],
  },
  {
    promise: 5,
    mechanism: "A stream without an end marker is treated as malformed",
    edits: [{
      file: "gateway/request_run.js",
      find: "return this.#handleMalformed(attempt, detail);",
      replace: "return this.#completeStream(attempt);",
    }],
  },
  {
    promise: 5,
    mechanism: "Data that arrives after an attempt was closed is dropped",
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
    mechanism:
      "A request is reported as not run only if it reached no upstream",
    edits: [{
      file: "gateway/request_run.js",
      find: "if (!this.#mayHaveRun) {",
      replace: "{",
    }],
  },
  {
    promise: 7,
    mechanism: "An order that can't be claimed is refused",
    edits: [{
      file: "orders/order_store.js",
      find: 'if (res.kind === "failed") {',
      replace:
        'if (res.kind === "failed") { return { kind: "claimed", claim: { key, record, revision: 0 } };',
    }],
  },
  {
    promise: 7,
    mechanism: "An order that another attempt has claimed is not claimed again",
    edits: [{
      file: "orders/order_store.js",
      find: 'return { kind: "duplicate", record: found };',
      replace:
        'return { kind: "claimed", claim: { key, record, revision: res.current.modRevision } };',
    }],
  },
  {
    promise: 7,
    mechanism: "An order is not retried after its connection broke",
    edits: [{
      file: "gateway/request_run.js",
      find:
        'if (this.repeatable)\n            this.#retry(false);\n        else\n            this.#failAsUnknown("The connection to the service broke");',
      replace:
        "this.#failures = new FailureHistory(this.#deps.timers); this.#retry(false);",
    }],
  },
  {
    promise: 7,
    mechanism:
      "The claim on an order in flight is kept when its caller disconnects",
    edits: [{
      file: "gateway/request_run.js",
      find: "return this.#mayHaveRun || this.#attempts.size > 0;",
      replace: "return this.#mayHaveRun;",
    }],
  },
  {
    promise: 8,
    mechanism:
      "An upstream is closed when the host list marks a host as leaving",
    edits: [{
      file: "routing/upstream_table.js",
      find:
        'if (host.state === "leaving")\n                entry.isLeaving = true;',
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
    mechanism:
      "A shutdown waits until addresses that callers cache have expired",
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
    mechanism: "A change is accepted only when no gateway serves without it",
    edits: [{
      file: "configuration/administration.js",
      find: "async #confirm(before, cfg, deadline) {",
      replace: "async #confirm(before, cfg, deadline) { return true;",
    }],
  },
  {
    promise: 10,
    mechanism:
      "A majority of gateways confirms the configuration in a store outage",
    edits: [{
      file: "configuration/config_replica.js",
      find: "#confirmByMajority(requestedAt) {",
      replace: "#confirmByMajority(requestedAt) { return;",
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
    mechanism:
      "A head is opened only when every member has reported that it is ready",
    edits: [{
      file: "orchestrator/group_lifecycle.js",
      find: 'states.every((state) => state === "ready")',
      replace: 'states.some((state) => state === "ready")',
    }],
  },
  {
    promise: 7,
    tag: "@relay",
    mechanism: "An order that may have run is not retried",
    edits: [{
      file: "relay/request_contract.js",
      find: "get repeatable() {",
      replace: "get repeatable() { return true;",
    }],
  },
  {
    promise: 10,
    tag: "@relay",
    mechanism: "Keys of an unconfirmed catalog are not accepted",
    edits: [{
      file: "relay/relay.js",
      find: "if (confirmationAgeMs > this.#deps.maxConfirmationAgeMs())",
      replace: "if (confirmationAgeMs > Infinity)",
    }],
  },
  {
    promise: 5,
    tag: "@relay",
    mechanism: "An event that the caller has received is not forwarded again",
    edits: [{
      file: "streams/stream_position.js",
      find: "id <= this.#lastId",
      replace: "id <= -1",
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
    mechanism: "A host whose announcement is withdrawn is removed immediately",
    edits: [{
      file: "fleet/host_registry.js",
      find: "withdraw(id, now, afterOutage) {",
      replace: "withdraw(id, now, afterOutage) { return;",
    }],
  },
  {
    promise: 9,
    tag: "@gossip",
    mechanism: "A hub that has stopped forwarding is excluded",
    edits: [{
      file: "gossip/hub_selector.js",
      find: "> HUB_SILENCE_MS;",
      replace: "> Infinity;",
    }],
  },
  {
    promise: 9,
    tag: "@gossip",
    mechanism:
      "A node whose hub does not receive its status sends it to all nodes itself",
    edits: [{
      file: "gossip/peer_gossip.js",
      find: "if (now - this.#echoedAt > ECHO_TIMEOUT_MS)",
      replace: "if (now - this.#echoedAt === Infinity)",
    }],
  },
  {
    promise: 10,
    tag: "@gossip",
    mechanism:
      "Messages that waited in a paused process are not forwarded as fresh",
    edits: [{
      file: "gossip/peer_gossip.js",
      find: "this.#deps.isFresh() ? unforwarded : []",
      replace: "unforwarded",
    }],
  },
  {
    promise: 8,
    tag: "@gossip",
    mechanism: "A host change that is older than the known state is dropped",
    edits: [{
      file: "fleet/host_changes.js",
      find:
        "if (revision <= (this.#revisions.get(key) ?? this.#listedRevision))",
      replace: "if (revision <= -1)",
    }],
  },
  {
    promise: 8,
    tag: "@gossip",
    mechanism: "A node whose list of hosts is too old queries the store itself",
    edits: [{
      file: "fleet/host_list.js",
      find: "const isOutdated = ageMs > this.#maxAgeMs;",
      replace: "const isOutdated = ageMs > Infinity;",
    }],
  },
  {
    promise: 8,
    tag: "@dated-reads",
    mechanism: "The age of a peer's read includes the way of its status",
    edits: [{
      file: "fleet/host_list.js",
      find: "hostRead.ageMs + unseenMs",
      replace: "hostRead.ageMs",
    }],
  },
  {
    promise: 8,
    tag: "@peer-clocks",
    mechanism: "A clock that may have stood still gets another identity",
    edits: [{
      file: "gossip/node_clock.js",
      find: "> MAX_DIVERGENCE_MS",
      replace: "> Infinity",
    }],
  },
  {
    promise: 8,
    tag: "@peer-clocks",
    mechanism: "A lag measured by an earlier clock of this process is not used",
    edits: [{
      file: "gossip/peer_clocks.js",
      find: "lag.clock !== now.clock",
      replace: "false",
    }],
  },
  {
    promise: 8,
    tag: "@late-connections",
    mechanism:
      "A request is withheld if its host has left as a connection opens",
    edits: [{
      file: "relay/relay_run.js",
      find: "this.#deps.mayReceive(replica)",
      replace: "true",
    }],
  },
  {
    promise: 8,
    tag: "@gossip",
    mechanism:
      "A list that is too old abandons a long poll that has just begun",
    edits: [{
      file: "fleet/change_feed.js",
      find: "!this.#isShortPoll || !this.#isRequestRecent",
      replace: "!this.#isRequestRecent",
    }],
  },
  {
    promise: 8,
    tag: "@gossip",
    mechanism: "A listing does not replace changes that are newer",
    edits: [{
      file: "fleet/host_registry.js",
      find: "listed.has(id) || unchanged.has(id)",
      replace: "listed.has(id)",
    }, {
      file: "fleet/host_list.js",
      find: "!newer.has(key)",
      replace: "true",
    }],
  },
  {
    promise: 10,
    tag: "@revoked-keys",
    mechanism: "A node doesn't pass on the age of a peer's confirmation",
    edits: [{
      file: "catalog/catalog_holder.js",
      find: "return this.#ownConfirmation.ageMs;",
      replace: "return this.#confirmation.ageMs;",
    }],
  },
  {
    promise: 5,
    tag: "@relay",
    mechanism: "A host that starts again under its id can crash again",
    edits: [{
      file: "relay/crash_detector.js",
      find: "`${key}/${born}`",
      replace: "`${key}`",
    }],
  },
  {
    promise: 8,
    tag: "@gossip",
    mechanism: "The age of a list of hosts includes the age of the peer's read",
    edits: [{
      file: "fleet/host_list.js",
      find: "this.#confirmation.recordWithAge(ageMs);",
      replace: "this.#confirmation.recordWithAge(0);",
    }],
  },
  {
    promise: 8,
    tag: "@gossip",
    mechanism:
      "A peer's read confirms a list only if no change before the read is missing",
    edits: [{
      file: "fleet/host_list.js",
      find: "if (this.#changes.isMissing(changeRevision))",
      replace: "if (false)",
    }],
  },
  {
    promise: 8,
    tag: "@gossip",
    mechanism: "A new publisher ends its long pause",
    edits: [{
      file: "fleet/host_list.js",
      find: "this.#feed.endPauseIfDue();",
      replace: "",
    }],
  },
  {
    promise: 8,
    tag: "@gossip",
    mechanism:
      "A node takes a removal for a lapse only if it was without reads, too",
    edits: [{
      file: "fleet/host_list.js",
      find: "change.isLapsed && this.#mayHaveLapsed",
      replace: "change.isLapsed",
    }],
  },
  {
    promise: 10,
    tag: "@gossip",
    mechanism:
      "A node polls for operators' documents at once when a peer has a newer one",
    edits: [{
      file: "fleet/fleet_state.js",
      find: "if (update.operatorRevision > this.#documents.revision)",
      replace: "if (update.operatorRevision > Infinity)",
    }],
  },
  {
    promise: 8,
    tag: "@gossip",
    mechanism:
      "A published host change does not complete a list that lacks an earlier one",
    edits: [{
      file: "fleet/host_changes.js",
      find: "if (!this.isMissing(previous))",
      replace: "",
    }],
  },
  {
    promise: 8,
    tag: "@gossip",
    mechanism:
      "The loss of a host change is detected even if no other change follows",
    edits: [{
      file: "fleet/host_list.js",
      find: "const isGap = this.#changes.isMissing(update.hostRevision);",
      replace: "const isGap = false;",
    }],
  },
  {
    promise: 1,
    tag: "@groups",
    mechanism: "Spares replace lost members before they form further groups",
    edits: [{
      file: "orchestrator/spare_value.js",
      find: "return newGroupValue + repairValue;",
      replace: "return newGroupValue;",
    }],
  },
  {
    promise: 1,
    tag: "@groups",
    mechanism: "A spare counts toward the model that it is loading",
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
    mechanism:
      "A node concentrates its requests on few groups until these are busy",
    edits: [{
      file: "relay/placer.js",
      find: "1 + rank * RANK_PENALTY",
      replace: "1 + this.#deps.random.float() * JITTER",
    }],
  },
  {
    promise: 2,
    tag: "@groups",
    mechanism:
      "A host that reports membership of one group is not told to join another",
    edits: [{
      file: "orchestrator/command_sender.js",
      find: "if (isInOtherGroup(command, observation.membership))",
      replace: "if (false)",
    }],
  },
  {
    promise: 2,
    tag: "@groups",
    mechanism: "An announcement does not replace what a host reported",
    edits: [{
      file: "orchestrator/host_state_tracker.js",
      find: "if (!hasJoinedSince(observation.membership, membership))",
      replace: "if (false)",
    }],
  },
  {
    promise: 2,
    tag: "@groups",
    mechanism: "A term starts without observations of earlier terms",
    edits: [{
      file: "orchestrator/group_orchestrator.js",
      find: "this.#states.forgetObservations();",
      replace: "",
    }],
  },
  {
    promise: 2,
    tag: "@groups",
    mechanism: "A reply is recorded only for the life on which it was decided",
    edits: [{
      file: "orchestrator/host_state_tracker.js",
      find: "if (after.born !== record.born)",
      replace: "if (false)",
    }],
  },
  {
    promise: 1,
    tag: "@groups",
    mechanism:
      "A group's model comes from the observation that shows the group",
    edits: [{
      file: "orchestrator/managed_group.js",
      find: "(head ?? list[0]).models[0]",
      replace: "(head ?? list[0]).host.models[0]",
    }],
  },
  {
    promise: 2,
    tag: "@groups",
    mechanism: "Contradicted hosts are asked for reports",
    edits: [{
      file: "orchestrator/group_orchestrator.js",
      find: "this.#verifyContradicted(states, now);",
      replace: "",
    }],
  },
  {
    promise: 2,
    tag: "@groups",
    mechanism:
      "A host whose announcement is contradicted is asked for a report",
    edits: [{
      file: "orchestrator/host_state_tracker.js",
      find: "if (now - observation.at >= VERIFY_AFTER_MS)",
      replace: "if (false)",
    }],
  },
  {
    promise: 5,
    tag: "@responses",
    mechanism: "A refusal ends its attempt at its head",
    edits: [{
      file: "relay/relay_run.js",
      find: "#endAtHead(attempt, head) {",
      replace: "#endAtHead(attempt, head) { if (head.notRun) return;",
    }],
  },
  {
    promise: 5,
    tag: "@responses",
    mechanism: "An error response is kept up to a size",
    edits: [{
      file: "relay/failed_response.js",
      find: "if (this.#bytes > MAX_FAILURE_BODY_BYTES)",
      replace: "if (false)",
    }],
  },
  {
    promise: 5,
    tag: "@responses",
    mechanism: "A large response that broke off is not joined to its retry",
    edits: [{
      file: "relay/relay_run.js",
      find: "if (!this.#writer.canContinue)",
      replace: "if (false)",
    }],
  },
  {
    promise: 5,
    tag: "@responses",
    mechanism: "A comment is no progress of a stream",
    edits: [{
      file: "streams/stream_splice.js",
      find: "if (isEvent(block))",
      replace: "",
    }],
  },
  {
    promise: 5,
    tag: "@responses",
    mechanism: "A stream that stalls alone is continued elsewhere",
    edits: [{
      file: "relay/stall_detector.js",
      find: "if (!isStalled(run, lastProgressAt))",
      replace: "if (true)",
    }],
  },
  {
    promise: 7,
    tag: "@responses",
    mechanism: "A promise counts only with the request's id",
    edits: [{
      file: "../platform/relay_exchange.js",
      find: "if (isPromise && echoedId === undefined)",
      replace: "if (false)",
    }],
  },
  {
    promise: 5,
    tag: "@responses",
    mechanism: "A body is searched for heads of any version",
    edits: [{
      file: "../platform/foreign_head_detector.js",
      find: 'Buffer.from("HTTP/")',
      replace: 'Buffer.from("HTTP/1.1 ")',
    }],
  },
  {
    promise: 5,
    tag: "@responses",
    mechanism: "Interim responses are limited",
    edits: [{
      file: "../platform/relay_exchange.js",
      find: "return this.#interimHeads > MAX_INTERIM_HEADS",
      replace: "return false",
    }],
  },
  {
    promise: 5,
    tag: "@responses",
    mechanism: "Bytes outside of heads and bodies are limited",
    edits: [{
      file: "../platform/connection_observer.js",
      find: "if (unparsed <= MAX_UNPARSED_BYTES)",
      replace: "if (true)",
    }],
  },
  {
    promise: 5,
    tag: "@false_heads",
    mechanism: "A head with another status or version is no answer",
    edits: [{
      file: "../base/status_line_guard.js",
      find: "if (!HEAD_START[at].includes(char))",
      replace: "if (false)",
    }],
  },
  {
    promise: 5,
    tag: "@false_heads",
    mechanism: "An interim head that nobody asked for is no answer",
    edits: [{
      file: "../base/status_line_guard.js",
      find: "return !UNASKED_STATUSES.has(status);",
      replace: "return true;",
    }],
  },
  {
    promise: 5,
    tag: "@false_heads",
    mechanism: "The heads after interim heads are checked",
    edits: [{
      file: "../base/status_line_guard.js",
      find: 'this.#awaitsHead = status.startsWith("1");',
      replace: "this.#awaitsHead = false;",
    }],
  },
  {
    promise: 5,
    tag: "@false_heads",
    mechanism: "The head of each response on a connection is checked",
    edits: [{
      file: "../base/status_line_guard.js",
      find: "if (bytesWritten !== this.#sentBytes)",
      replace: "if (this.#sentBytes === 0)",
    }],
  },
  {
    promise: 5,
    tag: "@false_heads",
    mechanism: "A head is checked once for each request",
    edits: [{
      file: "../base/status_line_guard.js",
      find: "this.#sentBytes = bytesWritten;",
      replace: "",
    }],
  },
  {
    promise: 5,
    tag: "@false_heads",
    mechanism: "A false head is no reset, which would suspect the request",
    edits: [{
      file: "../platform/relay_exchange.js",
      find: "    FALSE_HEAD_CODE,\n",
      replace: "",
    }],
  },
  {
    promise: 7,
    tag: "@false_heads",
    mechanism: "Connections to the store are checked",
    edits: [{
      file: "../platform/platform_store.js",
      find: "connect: guardConnections(",
      replace: "connect: (",
    }],
  },
  {
    promise: 2,
    tag: "@false_heads",
    mechanism: "Connections of gateways are checked",
    edits: [{
      file: "../adapters/undici_upstream_client.js",
      find: "connect: guardConnections(",
      replace: "connect: (",
    }],
  },
  {
    promise: 2,
    tag: "@false_heads",
    mechanism: "Connections for commands and reports are checked",
    edits: [{
      file: "../platform/http_host_control.js",
      find: "connect: guardConnections(",
      replace: "connect: (",
    }],
  },
  {
    promise: 5,
    tag: "@responses",
    mechanism: "A discarded response must end soon",
    edits: [{
      file: "../platform/relay_exchange.js",
      find: "this.#discardTimer = this.#deps.timers.after(MAX_DISCARD_MS",
      replace: "this.#discardTimer = this.#deps.timers.after(1e6",
    }],
  },
  {
    promise: 2,
    tag: "@scale",
    mechanism: "A new leader leaves hosts alone whose reports it has not seen",
    edits: [{
      file: "orchestrator/report_collector.js",
      find: "return this.#awaited.has(hostId);",
      replace: "return false;",
    }],
  },
  {
    promise: 1,
    tag: "@scale",
    mechanism: "The hosts of broken groups report first",
    edits: [{
      file: "orchestrator/report_collector.js",
      find: "needOf(b) - needOf(a)",
      replace: "needOf(a) - needOf(b)",
    }],
  },
  {
    promise: 1,
    tag: "@scale",
    mechanism: "A loop that is behind treats no host as silent",
    edits: [{
      file: "orchestrator/command_sender.js",
      find: 'if (kind === "silent" && this.#wasBehindSince(requestedAt))',
      replace: "if (false)",
    }],
  },
  {
    promise: 1,
    tag: "@scale",
    mechanism: "Reconciliation leaves time for requests",
    edits: [{
      file: "orchestrator/group_orchestrator.js",
      find: "if (startedAt < this.#nextReconcileAt)",
      replace: "if (false)",
    }],
  },
  {
    promise: 8,
    tag: "@scale",
    mechanism: "A loop that is behind notices callers that left first",
    edits: [{
      file: "relay/relay.js",
      find: "timers.afterInput(callback);",
      replace: "callback();",
    }],
  },
  {
    promise: 6,
    tag: "@scale",
    mechanism: "A deadline counts from when the request may have arrived",
    edits: [{
      file: "relay/relay.js",
      find: "now - lateMs",
      replace: "now",
    }],
  },
  {
    promise: 1,
    tag: "@prompt_parts",
    mechanism: "Crashes count for each shared part of the prompts in flight",
    edits: [{
      file: "retries/prompt_part_tracker.js",
      find: "recordCrash(upstream, suspects, now) {",
      replace: "recordCrash(upstream, suspects, now) { return;",
    }],
  },
  {
    promise: 5,
    tag: "@prompt_parts",
    mechanism: "Crashes at one moment count once",
    edits: [{
      file: "retries/suspect_part.js",
      find: "if (at - momentAt < CRASH_MOMENT_MS)",
      replace: "if (false)",
    }],
  },
  {
    promise: 5,
    tag: "@prompt_parts",
    mechanism:
      "A part is not suspected while the engines fail for all requests",
    edits: [{
      file: "retries/prompt_part_tracker.js",
      find: "others >= MIN_OTHER_RESPONSES",
      replace: "true",
    }],
  },
  {
    promise: 5,
    tag: "@prompt_parts",
    mechanism: "A response that begins clears its parts",
    edits: [{
      file: "retries/prompt_part_tracker.js",
      find: "recordSound(part, at, now, from) {",
      replace: "recordSound(part, at, now, from) { return;",
    }],
  },
  {
    promise: 5,
    tag: "@prompt_parts",
    mechanism: "A part is refused only with those that accompanied it",
    edits: [{
      file: "retries/prompt_part_tracker.js",
      find: "every((other) => parts.includes(other))",
      replace: "every(() => true)",
    }],
  },
  {
    promise: 5,
    tag: "@prompt_parts",
    mechanism: "A known cause clears bystanders",
    edits: [{
      file: "retries/prompt_part_tracker.js",
      find: "isExplainedByAnother(upstream, part, crashes) {",
      replace: "isExplainedByAnother(upstream, part, crashes) { return false;",
    }],
  },
  {
    promise: 1,
    tag: "@prompt_parts",
    mechanism: "One request at a time probes a refused part",
    edits: [{
      file: "retries/prompt_part_tracker.js",
      find: "if (isRunning || now < probeDueAt(record))",
      replace: "if (isRunning)",
    }],
  },
  {
    promise: 1,
    tag: "@prompt_parts",
    mechanism: "Nodes share prompt parts that crash groups",
    edits: [{
      file: "gossip/part_statuses.js",
      find: "suspectParts: promptParts.takeShared(now).map(",
      replace: "suspectParts: [].map(",
    }],
  },
  {
    promise: 1,
    tag: "@prompt_parts",
    mechanism: "Gateways refuse prompt parts that crash engines",
    edits: [{
      file: "gateway/crash_suspects.js",
      find: "this.#promptParts.recordCrash(upstreamId, suspects, now);",
      replace: "",
    }],
  },
  {
    promise: 5,
    tag: "@responses",
    mechanism: "A stream that ends before its first event is broken off",
    edits: [{
      file: "relay/relay_response_writer.js",
      find: "if (!this.#hasEvents && this.#callerLastEventId === undefined)",
      replace: "if (false)",
    }],
  },
  {
    promise: 5,
    tag: "@gossip",
    mechanism: "Only a node's own suspicions are shared",
    edits: [{
      file: "fleet/suspicion_tracker.js",
      find: 'from === "own" && !isCleared',
      replace: "!isCleared",
    }],
  },
  {
    promise: 5,
    tag: "@gossip",
    mechanism: "A suspicion that peers repeat is one observation",
    edits: [{
      file: "fleet/suspicion_tracker.js",
      find: "if (known !== undefined && isRepeated(known, at, from))",
      replace: "if (false)",
    }],
  },
  {
    promise: 5,
    tag: "@gossip",
    mechanism: "A crash keeps the earliest time that is known of it",
    edits: [{
      file: "retries/prompt_part_tracker.js",
      find: "Math.min(at, this.#crashTimes.get(upstream) ?? Infinity)",
      replace: "at",
    }],
  },
  {
    promise: 5,
    tag: "@gossip",
    mechanism: "A verdict that rests on a cleared crash is not adopted",
    edits: [{
      file: "retries/prompt_part_tracker.js",
      find: "suspect.isQuarantined && !isContradicted",
      replace: "suspect.isQuarantined",
    }],
  },
  {
    promise: 5,
    tag: "@gossip",
    mechanism: "Statuses are paced to a share of the link",
    edits: [{
      file: "gossip/send_pacer.js",
      find: "return Math.max(0, this.#freeAt - now);",
      replace: "return 0;",
    }],
  },
  {
    promise: 5,
    tag: "@departed_callers",
    mechanism: "Requests are placed after closes that came before",
    edits: [{
      file: "relay/relay.js",
      find: "timers.afterInput(callback);",
      replace: "callback();",
    }],
  },
  {
    promise: 5,
    tag: "@relay",
    mechanism: "Upstreams are not taken as stalled while the loop is behind",
    edits: [{
      file: "relay/relay.js",
      find:
        "if (this.#lateMs(timers.now()) > 0)\n                return;\n            this.#stallDetector",
      replace:
        "if (false)\n                return;\n            this.#stallDetector",
    }],
  },
  {
    promise: 3,
    tag: "@host_limits",
    mechanism: "A host gets no more requests than it takes",
    edits: [{
      file: "relay/host_notices.js",
      find: "return starts.length < this.#quota(host.id, limit);",
      replace: "return true;",
    }],
  },
  {
    promise: 3,
    tag: "@host_limits",
    mechanism: "The rate limits of hosts are divided among nodes",
    edits: [{
      file: "fleet/fleet_share.js",
      find: "return Math.floor(whole / size) + (rank < whole % size ? 1 : 0);",
      replace: "return whole;",
    }],
  },
  {
    promise: 8,
    tag: "@store-era",
    mechanism: "A watch ends when the store has another era",
    edits: [{
      file: "fleet/era_checked_store.js",
      find: "res.value.era !== after.era ? RESTORED : res",
      replace: "res",
    }],
  },
  {
    promise: 2,
    tag: "@store-era",
    mechanism:
      "A renewal by a restored store counts only in the era of its lease",
    edits: [{
      file: "fleet/era_checked_store.js",
      find: "isRenewed && era === lease.era",
      replace: "isRenewed",
    }],
  },
  {
    promise: 2,
    tag: "@store-era",
    mechanism: "Nothing is written under a lease of a former era",
    edits: [{
      file: "fleet/era_checked_store.js",
      find: "leases.some((lease) => this.#era.isObsolete(lease.era))",
      replace: "false",
    }],
  },
  {
    promise: 8,
    tag: "@store-era",
    mechanism: "Answers of a former era are not used",
    edits: [{
      file: "fleet/era_checked_store.js",
      find: "this.#era.isObsolete(era) ? RESTORED : res",
      replace: "res",
    }],
  },
  {
    promise: 8,
    tag: "@store-era",
    mechanism: "A status of a former era is not applied",
    edits: [{
      file: "fleet/fleet_state.js",
      find: "if (era.isObsolete(update.storeEra))",
      replace: "if (false)",
    }],
  },
  {
    promise: 8,
    tag: "@store-era",
    mechanism: "A newer era in a status makes a node list again",
    edits: [{
      file: "fleet/fleet_state.js",
      find: "if (update.storeEra > 0)",
      replace: "if (false)",
    }],
  },
  {
    promise: 2,
    tag: "@store-era",
    mechanism: "A node waits for leases of the lost era before it leads",
    edits: [{
      file: "fleet/leader_lease.js",
      find: "if (now < this.#mayCampaignAt)",
      replace: "if (false)",
    }],
  },
  {
    promise: 2,
    tag: "@store-era",
    mechanism: "A leader takes over the key of its own lost term",
    edits: [{
      file: "fleet/leader_lease.js",
      find: "own !== undefined && mayBeOwn",
      replace: "false",
    }],
  },
  {
    promise: 2,
    tag: "@store-era",
    mechanism: "Terms rise across eras",
    edits: [{
      file: "fleet/leader_lease.js",
      find: "(era % MAX_ERAS) * TERMS_PER_ERA + revision",
      replace: "revision",
    }],
  },
  {
    promise: 8,
    tag: "@restored-store",
    mechanism: "Host changes start anew in each era",
    edits: [{
      file: "fleet/host_list.js",
      find: "this.#changes.restart();",
      replace: "",
    }],
  },
  {
    promise: 8,
    tag: "@store-era",
    mechanism: "Each restoration starts the wait for the copy's entries anew",
    edits: [{
      file: "fleet/host_list.js",
      find: "this.#settlesAt = timers.now() + settleMs;",
      replace: "this.#settlesAt = Math.max(this.#settlesAt, 1);",
    }],
  },
  {
    promise: 2,
    tag: "@store-era",
    mechanism: "A campaign in progress waits for a lost lease",
    edits: [{
      file: "fleet/leader_lease.js",
      find: "if (timers.now() < this.#mayCampaignAt)",
      replace: "if (false)",
    }],
  },
  {
    promise: 10,
    tag: "@store-era",
    mechanism: "A listing that succeeds ends the request to list at once",
    edits: [{
      file: "fleet/change_feed.js",
      find: "this.#listsAtOnce = false;\n        this.#asOf",
      replace: "this.#asOf",
    }],
  },
  {
    promise: 8,
    tag: "@restored-store",
    mechanism: "A copy does not bring back hosts that have left",
    edits: [{
      file: "fleet/host_list.js",
      find: "isSettled ? current : this.#withoutLeft(current)",
      replace: "current",
    }],
  },
  {
    promise: 10,
    tag: "@restored-store",
    mechanism: "Only the version that the store has is confirmed",
    edits: [{
      file: "fleet/operator_documents.js",
      find: "recordConfirmation(this.#storedVersion,",
      replace: "recordConfirmation(this.#deps.catalog.version,",
    }],
  },
  {
    promise: 10,
    tag: "@restored-store",
    mechanism: "No catalog is confirmed while operators may write again",
    edits: [{
      file: "fleet/operator_documents.js",
      find: "if (this.isCatalogUnsettled)",
      replace: "if (false)",
    }],
  },
  {
    promise: 10,
    tag: "@restored-store",
    mechanism: "A zone stays out until operators had time to write again",
    edits: [{
      file: "fleet/operator_documents.js",
      find: "if (this.#zonesTimer === undefined)",
      replace: "if (true)",
    }],
  },
  {
    promise: 6,
    tag: "@turns",
    mechanism: "Customers that were given little engine time go first",
    edits: [{
      file: "turns/turn_order.js",
      find: "a.level - b.level ||",
      replace: "",
    }],
  },
  {
    promise: 6,
    tag: "@turns",
    mechanism: "The customer that has most in a full queue loses a request",
    edits: [{
      file: "turns/turn_order.js",
      find: "own.length > most.length",
      replace: "most.length === 0",
    }],
  },
  {
    promise: 6,
    tag: "@turns",
    mechanism: "Small requests don't overtake one that has waited for long",
    edits: [{
      file: "relay/dispatch_round.js",
      find: "if (!isOverdue && this.#overtakes(entry, leastMs))",
      replace: "if (false)",
    }],
  },
  {
    promise: 6,
    tag: "@turns",
    mechanism: "A node hands out only its share of the room",
    edits: [{
      file: "turns/return_schedule.js",
      find: "+ nodes * stepMs",
      replace: "+ stepMs",
    }],
  },
  {
    promise: 6,
    tag: "@turns",
    mechanism: "A caller that returns too early gets no place",
    edits: [{
      file: "turns/return_schedule.js",
      find: 'return "early";',
      replace: 'return "on_time";',
    }],
  },
  {
    promise: 9,
    tag: "@entry",
    mechanism:
      "Callers get nodes of other zones only when their zone's can't carry them",
    edits: [{
      file: "entry/zone_planner.js",
      find: "if (ownLoad <= maxLoad)",
      replace: "if (true) return this.#nodes;\n        if (false)",
    }],
  },
  {
    promise: 9,
    tag: "@entry",
    mechanism: "Nodes of other zones help when a zone gets most callers",
    edits: [{
      file: "entry/zone_planner.js",
      find: "return best;",
      replace: "return 0;",
    }],
  },
  {
    promise: 9,
    tag: "@entry",
    mechanism: "Addresses that are not needed any more stay for a while",
    edits: [{
      file: "entry/zone_members.js",
      find: "const HOLD_MS = 10_000;",
      replace: "const HOLD_MS = 0;",
    }],
  },
  {
    promise: 9,
    tag: "@entry",
    mechanism: "A node that can't keep up is left out",
    edits: [{
      file: "entry/behind_nodes.js",
      find: "if (behind.length === 0)",
      replace: "if (true)",
    }],
  },
  {
    promise: 9,
    tag: "@entry",
    mechanism: "All nodes are returned unless each says its capacity",
    edits: [{
      file: "entry/entry_node.js",
      find: "return undefined;",
      replace: "continue;",
    }],
  },
  {
    promise: 9,
    tag: "@entry",
    mechanism: "The next node goes on from the plan that it has followed",
    edits: [{
      file: "entry/entry_directory.js",
      find: "state.plan = decider?.plan ?? state.plan;",
      replace: "state.plan = decider?.plan;",
    }],
  },
  {
    promise: 5,
    tag: "@streams",
    mechanism: "An id that leaves others out ends the attempt",
    edits: [{
      file: "streams/stream_position.js",
      find: 'return "gap";',
      replace: "return undefined;",
    }],
  },
  {
    promise: 5,
    tag: "@streams",
    mechanism: "A stream that may be resumed begins with id 1",
    edits: [{
      file: "streams/stream_position.js",
      find:
        "return isResumable && lastEventId === undefined ? FIRST_ID : undefined;",
      replace: "return undefined;",
    }],
  },
  {
    promise: 5,
    tag: "@streams",
    mechanism: "An id that only one fact shows is not continued after",
    edits: [{
      file: "streams/stream_position.js",
      find: "this.#isConfirmed = !isFirst || isBeginning;",
      replace: "this.#isConfirmed = true;",
    }],
  },
  {
    promise: 5,
    tag: "@streams",
    mechanism:
      "An attempt that repeats a single event does not end the response",
    edits: [{
      file: "streams/stream_position.js",
      find: "if (this.#shownId >= this.#lastId && !isUncertain)",
      replace: "if (true)",
    }],
  },
  {
    promise: 5,
    tag: "@streams",
    mechanism: "A deviation is the service's own if a second upstream shows it",
    edits: [{
      file: "streams/stream_position.js",
      find: "this.#shownEvents === 0 && this.#doubt === doubt;",
      replace: "true;",
    }],
  },
  {
    promise: 5,
    tag: "@streams",
    mechanism: "A field with a wrong byte makes an event unreadable",
    edits: [{
      file: "streams/event_block.js",
      find: "this.#defect ??= findDefectOfField(bytes, at, end);",
      replace: ";",
    }],
  },
  {
    promise: 5,
    tag: "@streams",
    mechanism: "A comment after a field makes an event unreadable",
    edits: [{
      file: "streams/event_block.js",
      find: "this.#defect ??= this.#findDefectOfComment(bytes, at, end);",
      replace: ";",
    }],
  },
  {
    promise: 5,
    tag: "@streams",
    mechanism: "Two ids make an event unreadable",
    edits: [{
      file: "streams/event_block.js",
      find: 'this.#defect ??= "two ids";',
      replace: "",
    }],
  },
  {
    promise: 5,
    tag: "@streams",
    mechanism: "Mixed line ends make an event unreadable",
    edits: [{
      file: "streams/event_block.js",
      find: 'this.#defect ??= "mixed line ends";',
      replace: ";",
    }],
  },
  {
    promise: 5,
    tag: "@streams",
    mechanism: "An end marker within an event makes it unreadable",
    edits: [{
      file: "streams/event_block.js",
      find: "return this.#dataCount === 1",
      replace: "return true",
    }],
  },
  {
    promise: 5,
    tag: "@streams",
    mechanism: "Ids of counted events are checked",
    edits: [{
      file: "streams/stream_position.js",
      find: "if (id !== undefined && this.#checksIds && id !== place)",
      replace: "if (false)",
    }],
  },
  {
    promise: 6,
    tag: "@platform",
    mechanism: "Bodies that do not fit beside the others are refused",
    edits: [{
      file: "limits/body_budget.js",
      find: "if (this.#heldBytes + more > this.#maxBytes)",
      replace: "if (false)",
    }],
  },
];
