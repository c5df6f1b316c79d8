/**
 * Keeps the configuration's list of gateways consistent with their
 * registrations.
 *
 * @module
 */
import { z } from "zod";
import type { Timers } from "../../base/timers.ts";
import type { KeyValueStore } from "../../ports/key_value_store.ts";
import type {
  Configuration,
  GatewayMember,
} from "../../world/configuration.ts";
import { ConfigurationSchema } from "../../world/configuration.ts";
import type { Administration } from "../configuration/administration.ts";
import type { Action } from "../configuration/change.ts";
import { GATEWAY_PREFIX } from "../configuration/store_keys.ts";

/** How long a registration must be absent before its gateway is removed. */
const ABSENT_GRACE_MS = 4_000;
/** Longest wait until a change of the list is accepted. */
const CHANGE_TIMEOUT_MS = 10_000;

const RegistrationSchema = ConfigurationSchema.shape.gateways.element.extend({
  state: z.enum(["live", "leaving"]),
});
type RegistrationValue = z.infer<typeof RegistrationSchema>;

/**
 * Adds or removes one gateway at a time, and waits until each change is
 * accepted.
 */
export class FleetMembership {
  readonly #timers: Timers;
  readonly #store: KeyValueStore;
  readonly #administration: Administration;
  readonly #changeIdPrefix: string;
  readonly #absentSince = new Map<string, number>();
  #changeCount = 0;

  constructor(
    timers: Timers,
    store: KeyValueStore,
    options: { administration: Administration; changeIdPrefix: string },
  ) {
    this.#timers = timers;
    this.#store = store;
    this.#administration = options.administration;
    this.#changeIdPrefix = options.changeIdPrefix;
  }

  /** Submits at most one change, and waits until it is accepted. */
  async step(cfg: Configuration): Promise<void> {
    const res = await this.#store.readPrefix(GATEWAY_PREFIX);
    if (!res.ok) return this.#absentSince.clear();
    const registered = new Map<string, RegistrationValue>();
    for (const entry of res.value) {
      const value = parseRegistration(entry.value);
      if (value !== undefined) registered.set(value.id, value);
    }
    const action = this.#leaveAction(cfg, registered) ??
      joinAction(cfg, registered);
    if (action === undefined) return;
    this.#changeCount += 1;
    await this.#administration.submit({
      changeId: `${this.#changeIdPrefix}-${this.#changeCount}`,
      author: "controller",
      action,
    }, CHANGE_TIMEOUT_MS);
  }

  #leaveAction(
    cfg: Configuration,
    registered: ReadonlyMap<string, RegistrationValue>,
  ): Action | undefined {
    const now = this.#timers.now();
    for (const member of cfg.gateways) {
      const registration = registered.get(member.id);
      const sameIncarnation = registration?.incarnation === member.incarnation;
      if (sameIncarnation && registration?.state === "live") {
        this.#absentSince.delete(member.id);
        continue;
      }
      const absentSince = this.#absentSince.get(member.id) ?? now;
      this.#absentSince.set(member.id, absentSince);
      // A gateway that is leaving or has restarted is removed at once; a missing
      // registration may be renewed in time.
      const isRegistered = registration !== undefined;
      if (isRegistered || now - absentSince >= ABSENT_GRACE_MS) {
        const { id, incarnation } = member;
        return { kind: "gateway_leave", id, incarnation };
      }
    }
    return undefined;
  }
}

function joinAction(
  cfg: Configuration,
  registered: ReadonlyMap<string, RegistrationValue>,
): Action | undefined {
  for (const { state, ...member } of registered.values()) {
    const listed = cfg.gateways.some((g) => g.id === member.id);
    if (state === "live" && !listed) {
      return { kind: "gateway_join", member: member as GatewayMember };
    }
  }
  return undefined;
}

function parseRegistration(text: string): RegistrationValue | undefined {
  try {
    const res = RegistrationSchema.safeParse(JSON.parse(text));
    return res.success ? res.data : undefined;
  } catch {
    return undefined;
  }
}
