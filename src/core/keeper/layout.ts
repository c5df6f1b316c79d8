/**
 * Which replica groups to form of which hosts, and what spares keep ready.
 *
 * @module
 */
import type { EngineModel } from "../../world/catalog.ts";
import { spareWorth } from "./spare_worth.ts";

/** A host that no group needs. */
export interface FreeHost {
  readonly id: string;
  readonly domain: string;
  /** Model that the host can join with at once. */
  readonly hotModel: string | undefined;
  /** Models whose weights the host keeps or is loading. */
  readonly staged: readonly string[];
  /** Whether a load or a join is under way. */
  readonly isLoading: boolean;
  /** Model of the load or join that is under way. */
  readonly comingModel: string | undefined;
  /** Whether the host is warm in its model, and not only staged. */
  readonly isCold: boolean;
  /** Time since the host became free, in milliseconds. */
  readonly idleMs: number;
  readonly zone: string;
  /** The slow group over several domains that the host serves in meanwhile. */
  readonly farGroup: string | undefined;
}

/** What a layout is made of. */
export interface LayoutInput {
  readonly models: readonly EngineModel[];
  readonly free: readonly FreeHost[];
  /** Groups that serve or are being formed, by model and domain. */
  readonly groups: readonly {
    readonly model: string;
    readonly domain: string;
  }[];
  /** Groups that the demand for each model fills. */
  readonly needed: ReadonlyMap<string, number>;
  /** Hosts of each domain that can be used at all. */
  readonly hostsOf: ReadonlyMap<string, number>;
  /** Whether loads take little time and are not counted. */
  readonly loadsAreCheap: boolean;
  /** Loads that may begin now. */
  readonly loadRoom: number;
}

/** One thing to do. */
export type LayoutStep =
  | {
    readonly kind: "form";
    readonly model: string;
    readonly members: readonly string[];
  }
  /** Ends slow groups whose hosts complete a group of one domain. */
  | { readonly kind: "reclaim"; readonly farGroups: readonly string[] }
  | { readonly kind: "stage"; readonly model: string; readonly host: string }
  /** Makes a spare join with the model alone, so that its next join is short. */
  | { readonly kind: "warm"; readonly model: string; readonly host: string };

/** Groups per group needed beyond which spares are kept for repairs. */
const COMFORT = 1.5;
/** Groups per group needed below which slow groups are worth their hosts. */
const FAR_BELOW = 1.3;
/** Hosts that a loss has just freed wait for a repair in their domain first. */
const FAR_IDLE_MS = 600;
/** A spare keeps the model it has at least this long. */
const RESTAGE_IDLE_MS = 2_000;
/** Worth of a spare that must be loaded first, against one that is ready. */
const CHANGE_SHARE = 0.2;
/** Hosts of a domain for each that is kept as a spare. */
const HOSTS_PER_SPARE = 5;

/**
 * Plans what to do with hosts that are free.
 *
 * @example
 * ```ts
 * for (const step of planLayout(input)) execute(step);
 * ```
 */
export function planLayout(input: LayoutInput): LayoutStep[] {
  const plan = new Plan(input);
  plan.form();
  plan.formFar();
  plan.prepareSpares();
  return plan.steps;
}

class Plan {
  readonly steps: LayoutStep[] = [];
  readonly #input: LayoutInput;
  readonly #free: Map<string, FreeHost[]>;
  readonly #counts = new Map<string, number>();
  /** Models that spares get in this plan, by host. */
  readonly #planned = new Map<string, string>();
  #loadRoom: number;

  constructor(input: LayoutInput) {
    this.#input = input;
    this.#loadRoom = input.loadRoom;
    this.#free = new Map();
    for (const host of input.free) {
      const list = this.#free.get(host.domain) ?? [];
      list.push(host);
      this.#free.set(host.domain, list);
    }
    for (const { model } of input.groups) {
      this.#counts.set(model, (this.#counts.get(model) ?? 0) + 1);
    }
  }

  /** Forms groups of the model that is shortest, as long as hosts allow. */
  form(): void {
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

  /** Groups for each group that the demand fills. */
  #supply(model: EngineModel): number {
    const needed = this.#input.needed.get(model.name) ?? 0;
    return (this.#counts.get(model.name) ?? 0) / Math.max(0.01, needed);
  }

  #formOne(model: EngineModel): boolean {
    let best: { hosts: FreeHost[]; cost: number; left: number } | undefined;
    for (const [domain, hosts] of this.#free) {
      const left = hosts.length - model.size;
      if (left < this.#reserve(domain, model)) continue;
      const chosen = this.#choose(hosts, model);
      if (chosen === undefined) continue;
      const cost = chosen.filter((h) => h.hotModel !== model.name).length;
      const isBetter = best === undefined || cost < best.cost ||
        (cost === best.cost && left < best.left);
      if (isBetter) best = { hosts: chosen, cost, left };
    }
    if (best === undefined) return false;
    const [{ domain }] = best.hosts;
    const chosen = new Set(best.hosts);
    const rest = (this.#free.get(domain) ?? []).filter((h) => !chosen.has(h));
    this.#free.set(domain, rest);
    this.#counts.set(model.name, (this.#counts.get(model.name) ?? 0) + 1);
    const farGroups = best.hosts.flatMap((host) => host.farGroup ?? []);
    if (farGroups.length > 0) {
      this.steps.push({ kind: "reclaim", farGroups: [...new Set(farGroups)] });
      return true;
    }
    const members = best.hosts.map((host) => host.id);
    this.steps.push({ kind: "form", model: model.name, members });
    return true;
  }

  /** Joins what is left in the domains of a zone into slow groups. */
  formFar(): void {
    if (this.#input.loadsAreCheap) return;
    for (const model of this.#byShortage()) {
      while (this.#supply(model) < FAR_BELOW && this.#formOneFar(model));
    }
  }

  #formOneFar(model: EngineModel): boolean {
    const byZone = new Map<string, FreeHost[]>();
    for (const host of [...this.#free.values()].flat()) {
      const isAble = host.farGroup === undefined && !host.isLoading &&
        host.idleMs >= FAR_IDLE_MS &&
        (host.hotModel === model.name || host.staged.includes(model.name));
      if (!isAble) continue;
      byZone.set(host.zone, [...byZone.get(host.zone) ?? [], host]);
    }
    const hosts = [...byZone.values()].find((h) => h.length >= model.size);
    if (hosts === undefined) return false;
    const chosen = hosts.slice(0, model.size);
    for (const host of chosen) {
      const rest = this.#free.get(host.domain) ?? [];
      this.#free.set(host.domain, rest.filter((other) => other !== host));
    }
    this.#counts.set(model.name, (this.#counts.get(model.name) ?? 0) + 0.4);
    const members = chosen.map((host) => host.id);
    this.steps.push({ kind: "form", model: model.name, members });
    return true;
  }

  /** Spares to keep when the model has enough groups already. */
  #reserve(domain: string, model: EngineModel): number {
    if (!this.#input.loadsAreCheap && this.#supply(model) < COMFORT) return 0;
    const hosts = this.#input.hostsOf.get(domain) ?? 0;
    return Math.floor(hosts / HOSTS_PER_SPARE) + (hosts >= 8 ? 1 : 0);
  }

  /** Members that can join soonest; undefined when too few can. */
  #choose(
    hosts: readonly FreeHost[],
    model: EngineModel,
  ): FreeHost[] | undefined {
    const able = hosts.filter((host) =>
      this.#input.loadsAreCheap ||
      (!host.isLoading && host.staged.includes(model.name)) ||
      host.hotModel === model.name
    );
    if (able.length < model.size) return undefined;
    const rank = (host: FreeHost) =>
      (host.hotModel === model.name ? 0 : 2) +
      (host.staged.includes(model.name) ? 0 : 4) + (host.isCold ? 1 : 0) +
      (host.farGroup === undefined ? 0 : 1);
    return [...able].sort((a, b) => rank(a) - rank(b)).slice(0, model.size);
  }

  /** Gives each spare the model in which it is worth most in its domain. */
  prepareSpares(): void {
    for (const [domain, hosts] of this.#free) {
      for (const host of hosts) this.#prepare(domain, host, hosts);
    }
  }

  #prepare(
    domain: string,
    host: FreeHost,
    spares: readonly FreeHost[],
  ): void {
    if (host.isLoading || host.farGroup !== undefined) return;
    const wanted = this.#wantedSpare(domain, host, spares);
    if (wanted === undefined || host.hotModel === wanted) return;
    const own = this.#modelOf(host);
    const isOther = own !== undefined && own !== wanted;
    if (isOther && !this.#input.loadsAreCheap) {
      if (host.idleMs < RESTAGE_IDLE_MS) return;
      // The last spare is worth more than what a load would make of it.
      if (this.#groupsIn(domain, own) > 0 && !this.#hasOther(host, spares)) {
        return;
      }
    }
    if (host.staged.includes(wanted) || this.#input.loadsAreCheap) {
      this.steps.push({ kind: "warm", model: wanted, host: host.id });
    } else if (this.#loadRoom > 0) {
      this.#loadRoom -= 1;
      this.steps.push({ kind: "stage", model: wanted, host: host.id });
    }
    this.#planned.set(host.id, wanted);
  }

  /** Whether another spare has the same model. */
  #hasOther(host: FreeHost, spares: readonly FreeHost[]): boolean {
    const own = this.#modelOf(host);
    return spares.some((spare) =>
      spare !== host && this.#modelOf(spare) === own
    );
  }

  #modelOf(spare: FreeHost): string | undefined {
    return this.#planned.get(spare.id) ?? spare.comingModel ??
      spare.hotModel ?? spare.staged[0];
  }

  #wantedSpare(
    domain: string,
    host: FreeHost,
    spares: readonly FreeHost[],
  ): string | undefined {
    const own = this.#modelOf(host);
    let best: { model: string; worth: number } | undefined;
    for (const model of this.#input.models) {
      const ready = spares.filter((spare) =>
        spare !== host && this.#modelOf(spare) === model.name
      ).length;
      const isChange = own !== undefined && own !== model.name &&
        !this.#input.loadsAreCheap;
      const worth = this.#spareWorth(domain, model, ready) *
        (isChange ? CHANGE_SHARE : 1);
      if (best === undefined || worth > best.worth) {
        best = { model: model.name, worth };
      }
    }
    return best?.model;
  }

  #spareWorth(domain: string, model: EngineModel, ready: number): number {
    const plenty = this.#plenty();
    const needed = Math.max(0.01, this.#input.needed.get(model.name) ?? 0);
    return spareWorth({
      size: model.size,
      needed: needed * plenty,
      supply: this.#supply(model) / plenty,
      groupsInDomain: this.#groupsIn(domain, model.name),
      ready,
    });
  }

  /** Supply of the shortest model while only shares of the demand are known. */
  #plenty(): number {
    if (!this.#input.loadsAreCheap) return 1;
    const supplies = this.#input.models.map((model) => this.#supply(model));
    return Math.max(0.01, Math.min(...supplies));
  }

  #groupsIn(domain: string, model: string): number {
    let count = 0;
    for (const group of this.#input.groups) {
      if (group.domain === domain && group.model === model) count += 1;
    }
    for (const step of this.steps) {
      if (step.kind !== "form" || step.model !== model) continue;
      const first = this.#input.free.find((h) => h.id === step.members[0]);
      if (first?.domain === domain) count += 1;
    }
    return count;
  }
}
