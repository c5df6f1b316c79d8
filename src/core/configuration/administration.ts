/**
 * Writes operators' changes and waits until they are in force.
 *
 * @module
 */
import type { Outcome } from "../../base/outcome.ts";
import { failure, success } from "../../base/outcome.ts";
import type { Timers } from "../../base/timers.ts";
import { sleep, TIMED_OUT, withTimeout } from "../../base/timers.ts";
import type { KeyValueStore } from "../../ports/key_value_store.ts";
import type {
  AppliedChange,
  Configuration,
  GatewayMember,
} from "../../world/configuration.ts";
import { EMPTY_CONFIGURATION } from "../../world/configuration.ts";
import type { PeerNetwork, SyncMessage } from "../membership/messages.ts";
import type { Change, ChangeError } from "./change.ts";
import { applyChange, findApplied } from "./change.ts";
import { CONFIG_STALE_MS, confirmers, majorityOf } from "./config_replica.ts";
import { parseConfiguration } from "./parse.ts";
import { CONFIG_KEY } from "./store_keys.ts";

/** Timeout of one push to a gateway. */
const PUSH_TIMEOUT_MS = 700;
/** Interval between pushes to gateways that have not acknowledged. */
const PUSH_INTERVAL_MS = 100;
/**
 * Allowance for timer delays, added to the time after which gateways without a
 * confirmation accept no new work.
 */
const STALE_MARGIN_MS = 250;
/** Delay before a retry after a store error. */
const STORE_RETRY_MS = 200;

/** A change that is in force on every gateway that accepts work. */
export interface AcceptedChange {
  readonly change: AppliedChange;
  readonly cfg: Configuration;
}

/** Why a change was not accepted. */
export type AdministrationError =
  | ChangeError
  /** The change is certainly not in the store. */
  | { readonly kind: "store_unavailable"; readonly detail: string }
  /** The change is or may be in the store, but is not known to be in force. */
  | { readonly kind: "unconfirmed"; readonly detail: string };

/** Dependencies of {@linkcode Administration}. */
export interface AdministrationDependencies {
  readonly timers: Timers;
  readonly store: KeyValueStore;
  readonly network: PeerNetwork;
  readonly selfId: string;
  readonly incarnation: string;
}

/** The document as read, with the store revision for compare-and-swap. */
interface StoredConfiguration {
  readonly cfg: Configuration;
  readonly modRevision: number;
}

/**
 * Writes changes by compare-and-swap. A change is accepted once it is durable,
 * a majority of the confirmers has it, and every other gateway either has it or
 * must have stopped accepting new work on an older revision.
 */
export class Administration {
  readonly #deps: AdministrationDependencies;

  constructor(deps: AdministrationDependencies) {
    this.#deps = deps;
  }

  /** Reads the configuration from the store. */
  async read(): Promise<Outcome<StoredConfiguration, AdministrationError>> {
    const res = await this.#deps.store.read(CONFIG_KEY);
    if (!res.ok) {
      return failure({ kind: "store_unavailable", detail: res.err.detail });
    }
    if (res.value.modRevision === 0) {
      return success({ cfg: EMPTY_CONFIGURATION, modRevision: 0 });
    }
    const cfg = parseConfiguration(res.value.value);
    if (cfg === undefined) {
      const detail = "The configuration in the store is malformed";
      return failure({ kind: "store_unavailable", detail });
    }
    return success({ cfg, modRevision: res.value.modRevision });
  }

  /**
   * Applies a change. Succeeds once it is in force on every gateway that
   * accepts work.
   */
  async submit(
    change: Change,
    timeoutMs: number,
  ): Promise<Outcome<AcceptedChange, AdministrationError>> {
    const deadline = this.#deps.timers.now() + timeoutMs;
    const written = await this.#write(change, deadline);
    if (!written.ok) return written;
    const { before, cfg } = written.value;
    const confirmed = await this.#confirm(before, cfg, deadline);
    if (!confirmed) {
      const detail = "Too few gateways acknowledged the change in time";
      return failure({ kind: "unconfirmed", detail });
    }
    const applied = findApplied(cfg, change.changeId);
    if (applied === undefined) {
      const detail = "The change is no longer listed";
      return failure({ kind: "unconfirmed", detail });
    }
    return success({ change: applied, cfg });
  }

  /**
   * Writes the change unless the store has it already. After an ambiguous write
   * the document is read back and searched for the change's id, so that a
   * change is never applied twice.
   */
  async #write(
    change: Change,
    deadline: number,
  ): Promise<
    Outcome<
      { readonly before: Configuration; readonly cfg: Configuration },
      AdministrationError
    >
  > {
    const { timers, store } = this.#deps;
    let mayBeWritten = false;
    while (timers.now() < deadline) {
      const stored = await this.read();
      if (!stored.ok) {
        if (!mayBeWritten) return stored;
        await sleep(timers, STORE_RETRY_MS);
        continue;
      }
      const { cfg: before, modRevision } = stored.value;
      if (findApplied(before, change.changeId) !== undefined) {
        return success({ before, cfg: before });
      }
      const next = applyChange(before, change);
      if (!next.ok) return next;
      const value = JSON.stringify(next.value);
      const put = { key: CONFIG_KEY, value, expectRevision: modRevision };
      const res = await store.transact([put]);
      if (res.ok && res.value.applied) {
        return success({ before, cfg: next.value });
      }
      if (!res.ok && res.err.kind === "ambiguous") mayBeWritten = true;
      if (!res.ok) await sleep(timers, STORE_RETRY_MS);
    }
    const detail = "The store did not answer in time";
    return mayBeWritten
      ? failure({ kind: "unconfirmed", detail })
      : failure({ kind: "store_unavailable", detail });
  }

  /**
   * Pushes a revision to all gateways until it is in force on each that accepts
   * work. Returns false if the deadline passes first.
   */
  async #confirm(
    before: Configuration,
    cfg: Configuration,
    deadline: number,
  ): Promise<boolean> {
    const { timers } = this.#deps;
    const acknowledged = new Set<string>();
    const members = new Map(
      [...before.gateways, ...cfg.gateways].map((g) => [processKey(g), g]),
    );
    let majorityAt: number | undefined;
    while (true) {
      const unacknowledged = [...members.values()]
        .filter((g) => !acknowledged.has(processKey(g)));
      if (unacknowledged.length === 0) return true;
      const now = timers.now();
      const majority = hasMajority(before, acknowledged) &&
        hasMajority(cfg, acknowledged);
      if (majority) majorityAt ??= now;
      // No gateway can confirm an older revision once a majority has this one.
      // `staleMs` later, the gateways without it accept no new work.
      const staleMs = CONFIG_STALE_MS + STALE_MARGIN_MS;
      if (majorityAt !== undefined && now >= majorityAt + staleMs) return true;
      if (now >= deadline) return false;
      // A gateway that is slow to respond doesn't delay the next round: it gets
      // another push, and its late acknowledgement still counts.
      await Promise.race([
        Promise.all(
          unacknowledged.map((g) => this.#push(g, cfg, acknowledged)),
        ),
        sleep(timers, PUSH_INTERVAL_MS),
      ]);
      await sleep(timers, majority ? PUSH_INTERVAL_MS : 0);
    }
  }

  async #push(
    member: GatewayMember,
    cfg: Configuration,
    acknowledged: Set<string>,
  ): Promise<void> {
    const { timers, network } = this.#deps;
    const call = network.sync(member, this.#syncMessage(cfg));
    const res = await withTimeout(timers, call, PUSH_TIMEOUT_MS);
    if (res === TIMED_OUT || !res.ok) {
      await sleep(timers, PUSH_INTERVAL_MS);
      return;
    }
    const isSameProcess = res.value.incarnation === member.incarnation;
    if (isSameProcess && res.value.configRevision >= cfg.revision) {
      acknowledged.add(processKey(member));
    }
  }

  #syncMessage(cfg: Configuration): SyncMessage {
    return {
      from: this.#deps.selfId,
      incarnation: this.#deps.incarnation,
      // With another lifecycle, a hash of 0 would mean that this process has no
      // records.
      lifecycle: "starting",
      configRevision: cfg.revision,
      cfg,
      recordsHash: 0,
      digests: [],
      records: [],
      evidence: [],
      warm: [],
      cold: [],
      suspects: [],
      suspectParts: [],
      soundParts: [],
      reports: [],
    };
  }
}

function processKey(member: GatewayMember): string {
  return `${member.id}/${member.incarnation}`;
}

/** Returns true if there are no confirmers: before the first gateway joins. */
function hasMajority(
  cfg: Configuration,
  acknowledged: ReadonlySet<string>,
): boolean {
  const members = confirmers(cfg);
  if (members.length === 0) return true;
  const count = members.filter((g) => acknowledged.has(processKey(g))).length;
  return count >= majorityOf(members.length);
}
