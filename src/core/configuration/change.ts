/**
 * Validation and application of changes to the configuration.
 *
 * @module
 */
import { match } from "ts-pattern";
import { z } from "zod";
import type { Outcome } from "../../base/outcome.ts";
import { failure, success } from "../../base/outcome.ts";
import type {
  AppliedChange,
  Configuration,
} from "../../world/configuration.ts";
import {
  ConfigurationSchema,
  CustomerSchema,
  MAX_KEPT_CHANGES,
  ModelSchema,
  PlainServiceSchema,
  ServiceClassSchema,
  ZoneStateSchema,
} from "../../world/configuration.ts";

/** Schema of what a change does. */
export const ActionSchema = z.discriminatedUnion("kind", [
  z.strictObject({ kind: z.literal("set_class"), value: ServiceClassSchema }),
  z.strictObject({ kind: z.literal("set_model"), value: ModelSchema }),
  z.strictObject({ kind: z.literal("set_service"), value: PlainServiceSchema }),
  z.strictObject({ kind: z.literal("set_customer"), value: CustomerSchema }),
  z.strictObject({
    kind: z.literal("remove"),
    what: z.enum(["class", "model", "service", "customer"]),
    name: z.string(),
    team: z.string(),
  }),
  z.strictObject({
    kind: z.literal("set_zone"),
    zone: z.string().min(1).max(63),
    state: ZoneStateSchema,
  }),
  z.strictObject({
    kind: z.literal("gateway_join"),
    member: ConfigurationSchema.shape.gateways.element,
  }),
  z.strictObject({
    kind: z.literal("gateway_leave"),
    id: z.string(),
    incarnation: z.string(),
  }),
]);

/** Schema of a change that an operator or a process requests. */
export const ChangeSchema = z.strictObject({
  changeId: z.string().min(1).max(64),
  author: z.string().min(1).max(64),
  /**
   * Revision on which the author based the change; without it, conflicts with
   * later changes are not checked.
   */
  baseRevision: z.int().min(0).optional(),
  action: ActionSchema,
});

/** What a change does. */
export type Action = z.infer<typeof ActionSchema>;
/** A requested change. */
export type Change = z.infer<typeof ChangeSchema>;

/** Reason why a change can't be applied. */
export type ChangeError =
  | {
    readonly kind: "conflict";
    /** The conflicting change that was applied first. */
    readonly other: AppliedChange;
    readonly target: string;
  }
  | { readonly kind: "invalid"; readonly detail: string };

/**
 * Returns the name of the object that an action changes. Actions on different
 * objects don't conflict.
 *
 * @example
 * ```ts
 * actionTarget({ kind: "set_zone", zone: "lima-b", state: "out" }); // "zone:lima-b"
 * ```
 */
export function actionTarget(action: Action): string {
  return match(action)
    .with({ kind: "set_class" }, (a) => `class:${a.value.name}`)
    .with({ kind: "set_model" }, (a) => `model:${a.value.name}`)
    .with({ kind: "set_service" }, (a) => `service:${a.value.name}`)
    .with({ kind: "set_customer" }, (a) => `customer:${a.value.name}`)
    .with({ kind: "remove" }, (a) => `${a.what}:${a.name}`)
    .with({ kind: "set_zone" }, (a) => `zone:${a.zone}`)
    .with({ kind: "gateway_join" }, (a) => `gateway:${a.member.id}`)
    .with({ kind: "gateway_leave" }, (a) => `gateway:${a.id}`)
    .exhaustive();
}

/** Finds a change that has already been applied. */
export function findApplied(
  cfg: Configuration,
  changeId: string,
): AppliedChange | undefined {
  return cfg.changes.find((change) => change.changeId === changeId);
}

/**
 * Applies a change to a configuration and returns the next revision.
 *
 * @example
 * ```ts
 * const next = applyChange(cfg, { changeId, author: "asha", action });
 * ```
 */
export function applyChange(
  cfg: Configuration,
  change: Change,
): Outcome<Configuration, ChangeError> {
  const target = actionTarget(change.action);
  const other = conflictingChange(cfg, change, target);
  if (other !== undefined) return failure({ kind: "conflict", other, target });
  const invalid = checkAction(cfg, change.action);
  if (invalid !== undefined) {
    return failure({ kind: "invalid", detail: invalid });
  }
  const revision = cfg.revision + 1;
  const applied: AppliedChange = {
    changeId: change.changeId,
    author: change.author,
    revision,
    action: describeAction(change.action, target),
  };
  return success({
    ...applyAction(cfg, change.action),
    revision,
    changes: [...cfg.changes, applied].slice(-MAX_KEPT_CHANGES),
  });
}

/**
 * Returns the text that the document lists for an action: the target, then the
 * zone's new state or the kind of the action.
 */
function describeAction(action: Action, target: string): string {
  return action.kind === "set_zone"
    ? `${target} ${action.state}`
    : `${target} ${action.kind}`;
}

/**
 * Returns the newest change to the same target since the author's base
 * revision. Two changes that set a zone to the same state don't conflict.
 */
function conflictingChange(
  cfg: Configuration,
  change: Change,
  target: string,
): AppliedChange | undefined {
  const base = change.baseRevision;
  if (base === undefined) return undefined;
  const description = describeAction(change.action, target);
  return cfg.changes.findLast((other) =>
    other.revision > base && other.action.split(" ")[0] === target &&
    (change.action.kind !== "set_zone" || other.action !== description)
  );
}

/** Returns why an action is invalid; undefined if it is valid. */
function checkAction(cfg: Configuration, action: Action): string | undefined {
  return match(action)
    .with({ kind: "set_customer" }, (a) => {
      const known = cfg.classes.some((c) => c.name === a.value.defaultClass);
      if (!known) return `Class "${a.value.defaultClass}" is not declared`;
      return checkOwner(cfg.customers, a.value);
    })
    .with({ kind: "set_class" }, (a) => checkOwner(cfg.classes, a.value))
    .with({ kind: "set_model" }, (a) => checkOwner(cfg.models, a.value))
    .with({ kind: "set_service" }, (a) => checkOwner(cfg.services, a.value))
    .with({ kind: "gateway_join" }, (a) => {
      // A restarted gateway is a new member. The old member must leave first,
      // so that the majorities before and after each change have a common
      // gateway.
      const listed = cfg.gateways.some((g) => g.id === a.member.id);
      return listed ? `Gateway "${a.member.id}" is already listed` : undefined;
    })
    .with({ kind: "remove", what: "class" }, (a) => {
      const customer = cfg.customers.find((c) => c.defaultClass === a.name);
      return customer &&
        `Class "${a.name}" is the default of "${customer.name}"`;
    })
    .otherwise(() => undefined);
}

/** Returns an error if another team owns the object with this name. */
function checkOwner(
  list: ReadonlyArray<{ name: string; team: string }>,
  value: { name: string; team: string },
): string | undefined {
  const other = list.find((item) =>
    item.name === value.name && item.team !== value.team
  );
  return other && `"${value.name}" belongs to team "${other.team}"`;
}

function applyAction(cfg: Configuration, action: Action): Configuration {
  return match(action)
    .with({ kind: "set_class" }, (a) => ({
      ...cfg,
      classes: replaceNamed(cfg.classes, a.value),
    }))
    .with({ kind: "set_model" }, (a) => ({
      ...cfg,
      models: replaceNamed(cfg.models, a.value),
    }))
    .with({ kind: "set_service" }, (a) => ({
      ...cfg,
      services: replaceNamed(cfg.services, a.value),
    }))
    .with({ kind: "set_customer" }, (a) => ({
      ...cfg,
      customers: replaceNamed(cfg.customers, a.value),
    }))
    .with({ kind: "remove" }, (a) => removeNamed(cfg, a))
    .with({ kind: "set_zone" }, (a) => ({
      ...cfg,
      zones: { ...cfg.zones, [a.zone]: a.state },
    }))
    .with({ kind: "gateway_join" }, (a) => ({
      ...cfg,
      gateways: [
        ...cfg.gateways.filter((g) => g.id !== a.member.id),
        a.member,
      ],
    }))
    .with({ kind: "gateway_leave" }, (a) => ({
      ...cfg,
      gateways: cfg.gateways.filter((g) =>
        g.id !== a.id || g.incarnation !== a.incarnation
      ),
    }))
    .exhaustive();
}

function replaceNamed<T extends { name: string }>(
  list: readonly T[],
  value: T,
): T[] {
  return [...list.filter((item) => item.name !== value.name), value];
}

/** Removes an object; one with this name that another team owns stays. */
function removeNamed(
  cfg: Configuration,
  action: Extract<Action, { kind: "remove" }>,
): Configuration {
  const isOther = (item: { name: string; team: string }) =>
    item.name !== action.name || item.team !== action.team;
  return match(action.what)
    .with("class", () => ({ ...cfg, classes: cfg.classes.filter(isOther) }))
    .with("model", () => ({ ...cfg, models: cfg.models.filter(isOther) }))
    .with("service", () => ({ ...cfg, services: cfg.services.filter(isOther) }))
    .with(
      "customer",
      () => ({ ...cfg, customers: cfg.customers.filter(isOther) }),
    )
    .exhaustive();
}
