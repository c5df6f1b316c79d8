/**
 * Plans which free hosts form replica groups, and which models the others, the
 * spares, load in advance.
 *
 * @module
 */
import type { EngineModel } from "../../world/catalog.ts";
import { SpareCounts } from "./spare_counts.ts";
import { spareValue } from "./spare_value.ts";

/** A host that is in no group, or only in a cross-domain one. */
export interface FreeHost {
  readonly id: string;
  readonly domain: string;
  /** Model that the host has loaded, and whose groups it can join at once. */
  readonly loadedModel: string | undefined;
  /** Models whose weights the host has or is loading. */
  readonly staged: readonly string[];
  /** Whether a load or a join is in progress. */
  readonly isLoading: boolean;
  /** Model of the load or join in progress. */
  readonly loadingModel: string | undefined;
  /** Whether the host is still cold after its start. */
  readonly isCold: boolean;
  /** Time since the host became free, in milliseconds. */
  readonly idleMs: number;
  readonly zone: string;
  /** Cross-domain group in which the host serves until its domain needs it. */
  readonly crossDomainGroup: string | undefined;
}

/** Input of a layout plan. */
export interface LayoutInput {
  readonly models: readonly EngineModel[];
  readonly free: readonly FreeHost[];
  /** Groups that serve or are forming, with model and domain. */
  readonly groups: readonly {
    readonly model: string;
    readonly domain: string;
  }[];
  /** Number of groups that the demand for each model fills. */
  readonly needed: ReadonlyMap<string, number>;
  /** Number of usable hosts in each domain. */
  readonly usableHosts: ReadonlyMap<string, number>;
  /** Whether loads are fast and unlimited, as is the case before any traffic. */
  readonly loadsAreCheap: boolean;
  /** Number of loads that may start now. */
  readonly loadBudget: number;
}

/** An action of a layout plan. */
export type LayoutStep =
  | {
    readonly kind: "form";
    readonly model: string;
    readonly members: readonly string[];
  }
  /**
   * Dissolves cross-domain groups whose hosts complete a group of one domain.
   */
  | { readonly kind: "reclaim"; readonly crossDomainGroups: readonly string[] }
  /** Makes a spare load a model's weights, without joining a group. */
  | { readonly kind: "stage"; readonly model: string; readonly host: string }
  /** Makes a spare join a group of its own, so that its next join is short. */
  | { readonly kind: "warm"; readonly model: string; readonly host: string };

/**
 * Ratio of existing to needed groups from which hosts are kept as spares for
 * repairs instead of forming further groups.
 */
const MIN_SUPPLY_FOR_SPARES = 1.5;
/**
 * Ratio of existing to needed groups below which cross-domain groups are formed
 * although they are slower.
 */
const MAX_SUPPLY_FOR_CROSS_DOMAIN = 1.3;
/**
 * Hosts must have been free this long before they join a cross-domain group, so
 * that hosts of a group that lost a member can first form a new group in their
 * own domain.
 */
const CROSS_DOMAIN_IDLE_MS = 600;
/** A spare must have been idle this long before it gets another model. */
const RESTAGE_IDLE_MS = 2_000;
/** Value of a spare that must load a model first, relative to a ready one. */
const RELOAD_VALUE_SHARE = 0.2;
/** Number of hosts in a domain per spare that is kept. */
const HOSTS_PER_SPARE = 5;

/**
 * Plans what to do with free hosts.
 *
 * @example
 * ```ts
 * for (const step of planLayout(input)) execute(step);
 * ```
 */
export function planLayout(input: LayoutInput): LayoutStep[] {
  const planner = new LayoutPlanner(input);
  planner.formGroups();
  planner.formCrossDomain();
  planner.prepareSpares();
  return planner.steps;
}

class LayoutPlanner {
  readonly steps: LayoutStep[] = [];
  readonly #input: LayoutInput;
  readonly #free: Map<string, FreeHost[]>;
  readonly #groupCounts = new Map<string, number>();
  /** Number of groups by domain and model, with those of this plan. */
  readonly #groupsByDomain = new Map<string, number>();
  /** Model that each spare is to load according to this plan, by host id. */
  readonly #plannedModels = new Map<string, string>();
  #loadBudget: number;

  constructor(input: LayoutInput) {
    this.#input = input;
    this.#loadBudget = input.loadBudget;
    this.#free = new Map();
    for (const host of input.free) {
      const list = this.#free.get(host.domain) ?? [];
      list.push(host);
      this.#free.set(host.domain, list);
    }
    for (const { model, domain } of input.groups) {
      this.#groupCounts.set(model, (this.#groupCounts.get(model) ?? 0) + 1);
      this.#countInDomain(domain, model);
    }
  }

  /** Forms groups of the scarcest model first, as long as hosts allow. */
  formGroups(): void {
    for (;;) {
      const formed = this.#byShortage().some((model) => this.#formOne(model));
      if (!formed) return;
    }
  }

  #byShortage(): EngineModel[] {
    return [...this.#input.models].sort((a, b) =>
      this.#supply(a) - this.#supply(b) || b.size - a.size
    );
  }

  /**
   * Ratio of existing groups to those that the demand fills; the lower bound
   * avoids a division by zero.
   */
  #supply(model: EngineModel): number {
    const needed = this.#input.needed.get(model.name) ?? 0;
    return (this.#groupCounts.get(model.name) ?? 0) / Math.max(0.01, needed);
  }

  #formOne(model: EngineModel): boolean {
    let best:
      | { hosts: FreeHost[]; cost: number; remaining: number }
      | undefined;
    for (const [domain, hosts] of this.#free) {
      const remaining = hosts.length - model.size;
      if (remaining < this.#sparesToKeep(domain, model)) continue;
      const chosen = this.#chooseMembers(hosts, model);
      if (chosen === undefined) continue;
      const cost = chosen.filter((h) => h.loadedModel !== model.name).length;
      const isBetter = best === undefined || cost < best.cost ||
        (cost === best.cost && remaining < best.remaining);
      if (isBetter) best = { hosts: chosen, cost, remaining };
    }
    if (best === undefined) return false;
    const [{ domain }] = best.hosts;
    const chosen = new Set(best.hosts);
    const rest = (this.#free.get(domain) ?? []).filter((h) => !chosen.has(h));
    this.#free.set(domain, rest);
    this.#groupCounts.set(
      model.name,
      (this.#groupCounts.get(model.name) ?? 0) + 1,
    );
    const crossDomainGroups = best.hosts.flatMap((host) =>
      host.crossDomainGroup ?? []
    );
    if (crossDomainGroups.length > 0) {
      // A later plan forms the group, once its hosts have left these groups.
      this.steps.push({
        kind: "reclaim",
        crossDomainGroups: [...new Set(crossDomainGroups)],
      });
      return true;
    }
    this.#form(model, best.hosts);
    return true;
  }

  #form(model: EngineModel, hosts: readonly FreeHost[]): void {
    this.#countInDomain(hosts[0].domain, model.name);
    const members = hosts.map((host) => host.id);
    this.steps.push({ kind: "form", model: model.name, members });
  }

  #countInDomain(domain: string, model: string): void {
    const key = domainModelKey(domain, model);
    this.#groupsByDomain.set(key, (this.#groupsByDomain.get(key) ?? 0) + 1);
  }

  /** Forms cross-domain groups from the remaining free hosts of each zone. */
  formCrossDomain(): void {
    if (this.#input.loadsAreCheap) return;
    for (const model of this.#byShortage()) {
      while (
        this.#supply(model) < MAX_SUPPLY_FOR_CROSS_DOMAIN &&
        this.#formOneCrossDomain(model)
      );
    }
  }

  #formOneCrossDomain(model: EngineModel): boolean {
    const byZone = new Map<string, FreeHost[]>();
    for (const host of [...this.#free.values()].flat()) {
      const isEligible = host.crossDomainGroup === undefined &&
        !host.isLoading &&
        host.idleMs >= CROSS_DOMAIN_IDLE_MS &&
        (host.loadedModel === model.name || host.staged.includes(model.name));
      if (!isEligible) continue;
      byZone.set(host.zone, [...byZone.get(host.zone) ?? [], host]);
    }
    const hosts = [...byZone.values()].find((h) => h.length >= model.size);
    if (hosts === undefined) return false;
    const chosen = hosts.slice(0, model.size);
    for (const host of chosen) {
      const rest = this.#free.get(host.domain) ?? [];
      this.#free.set(host.domain, rest.filter((other) => other !== host));
    }
    // A cross-domain group counts as 0.4 groups, as it is slower than a group in
    // one domain.
    this.#groupCounts.set(
      model.name,
      (this.#groupCounts.get(model.name) ?? 0) + 0.4,
    );
    this.#form(model, chosen);
    return true;
  }

  /**
   * Number of free hosts that must remain in a domain when a group is formed;
   * 0 while the model has too few groups, unless loads are cheap.
   */
  #sparesToKeep(domain: string, model: EngineModel): number {
    if (
      !this.#input.loadsAreCheap && this.#supply(model) < MIN_SUPPLY_FOR_SPARES
    ) return 0;
    const hosts = this.#input.usableHosts.get(domain) ?? 0;
    // A domain with at least 8 hosts keeps one more spare.
    return Math.floor(hosts / HOSTS_PER_SPARE) + (hosts >= 8 ? 1 : 0);
  }

  /**
   * Hosts that can join a group of the model soonest; undefined if too few can.
   */
  #chooseMembers(
    hosts: readonly FreeHost[],
    model: EngineModel,
  ): FreeHost[] | undefined {
    const candidates = hosts.filter((host) =>
      this.#input.loadsAreCheap ||
      (!host.isLoading && host.staged.includes(model.name)) ||
      host.loadedModel === model.name
    );
    if (candidates.length < model.size) return undefined;
    const joinCost = (host: FreeHost) =>
      (host.loadedModel === model.name ? 0 : 2) +
      (host.staged.includes(model.name) ? 0 : 4) + (host.isCold ? 1 : 0) +
      (host.crossDomainGroup === undefined ? 0 : 1);
    return [...candidates].sort((a, b) => joinCost(a) - joinCost(b)).slice(
      0,
      model.size,
    );
  }

  /**
   * Plans for each spare to load the model for which a spare has the highest
   * value in its domain.
   */
  prepareSpares(): void {
    for (const [domain, hosts] of this.#free) {
      const spares = new SpareCounts();
      for (const host of hosts) spares.add(this.#modelOf(host));
      for (const host of hosts) this.#prepareSpare(domain, host, spares);
    }
  }

  #prepareSpare(
    domain: string,
    host: FreeHost,
    spares: SpareCounts,
  ): void {
    if (host.isLoading || host.crossDomainGroup !== undefined) return;
    const target = this.#bestSpareModel(domain, host, spares);
    if (target === undefined || host.loadedModel === target) return;
    const current = this.#modelOf(host);
    const replacesModel = current !== undefined && current !== target;
    if (replacesModel && !this.#input.loadsAreCheap) {
      if (host.idleMs < RESTAGE_IDLE_MS) return;
      // The last spare of a model that serves in this domain is worth more than
      // a spare of another model.
      if (
        this.#groupsIn(domain, current) > 0 &&
        spares.of(current) < 2
      ) {
        return;
      }
    }
    if (host.staged.includes(target) || this.#input.loadsAreCheap) {
      this.steps.push({ kind: "warm", model: target, host: host.id });
    } else if (this.#loadBudget > 0) {
      this.#loadBudget -= 1;
      this.steps.push({ kind: "stage", model: target, host: host.id });
    }
    this.#plannedModels.set(host.id, target);
    spares.move(current, target);
  }

  /** Model that a spare has, is loading or is planned to load. */
  #modelOf(spare: FreeHost): string | undefined {
    return this.#plannedModels.get(spare.id) ?? spare.loadingModel ??
      spare.loadedModel ?? spare.staged[0];
  }

  #bestSpareModel(
    domain: string,
    host: FreeHost,
    spares: SpareCounts,
  ): string | undefined {
    const current = this.#modelOf(host);
    let best: { model: string; value: number } | undefined;
    for (const model of this.#input.models) {
      const isOwn = current === model.name;
      const otherSpares = spares.of(model.name) - (isOwn ? 1 : 0);
      const isChange = current !== undefined && current !== model.name &&
        !this.#input.loadsAreCheap;
      const value = this.#spareValue(domain, model, otherSpares) *
        (isChange ? RELOAD_VALUE_SHARE : 1);
      if (best === undefined || value > best.value) {
        best = { model: model.name, value };
      }
    }
    return best?.model;
  }

  #spareValue(domain: string, model: EngineModel, otherSpares: number): number {
    const scale = this.#supplyScale();
    const needed = Math.max(0.01, this.#input.needed.get(model.name) ?? 0);
    return spareValue({
      size: model.size,
      needed: needed * scale,
      supply: this.#supply(model) / scale,
      groupsInDomain: this.#groupsIn(domain, model.name),
      otherSpares,
    });
  }

  /**
   * Factor that scales the needed groups so that the scarcest model's supply is
   * 1. Before there is traffic, only ratios between the models' demands are
   * known; with traffic, the factor is 1.
   */
  #supplyScale(): number {
    if (!this.#input.loadsAreCheap) return 1;
    const supplies = this.#input.models.map((model) => this.#supply(model));
    return Math.max(0.01, Math.min(...supplies));
  }

  #groupsIn(domain: string, model: string): number {
    return this.#groupsByDomain.get(domainModelKey(domain, model)) ?? 0;
  }
}

function domainModelKey(domain: string, model: string): string {
  return `${domain}|${model}`;
}
