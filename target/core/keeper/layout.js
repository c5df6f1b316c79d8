/** Groups per group needed beyond which spares are kept for repairs. */
const COMFORT = 1.5;
/** Groups per group needed below which slow groups are worth their hosts. */
const FAR_BELOW = 1.3;
/** Hosts that a loss has just freed wait for a repair in their domain first. */
const FAR_IDLE_MS = 600;
/** A spare keeps the model it has at least this long. */
const RESTAGE_IDLE_MS = 2_000;
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
export function planLayout(input) {
    const plan = new Plan(input);
    plan.form();
    plan.formFar();
    plan.prepareSpares();
    return plan.steps;
}
class Plan {
    steps = [];
    #input;
    #free;
    #counts = new Map();
    #loadRoom;
    constructor(input) {
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
    form() {
        for (;;) {
            const formed = this.#byShortage().some((model) => this.#formOne(model));
            if (!formed)
                return;
        }
    }
    #byShortage() {
        return [...this.#input.models].sort((a, b) => this.#supply(a) - this.#supply(b) || b.size - a.size);
    }
    /** Groups for each group that the demand fills. */
    #supply(model) {
        const needed = this.#input.needed.get(model.name) ?? 0;
        return (this.#counts.get(model.name) ?? 0) / Math.max(0.01, needed);
    }
    #formOne(model) {
        let best;
        for (const [domain, hosts] of this.#free) {
            const left = hosts.length - model.size;
            if (left < this.#reserve(domain, model))
                continue;
            const chosen = this.#choose(hosts, model);
            if (chosen === undefined)
                continue;
            const cost = chosen.filter((h) => h.hotModel !== model.name).length;
            const isBetter = best === undefined || cost < best.cost ||
                (cost === best.cost && left < best.left);
            if (isBetter)
                best = { hosts: chosen, cost, left };
        }
        if (best === undefined)
            return false;
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
    formFar() {
        if (this.#input.loadsAreCheap)
            return;
        for (const model of this.#byShortage()) {
            while (this.#supply(model) < FAR_BELOW && this.#formOneFar(model))
                ;
        }
    }
    #formOneFar(model) {
        const byZone = new Map();
        for (const host of [...this.#free.values()].flat()) {
            const isAble = host.farGroup === undefined && !host.isLoading &&
                host.idleMs >= FAR_IDLE_MS &&
                (host.hotModel === model.name || host.staged.includes(model.name));
            if (!isAble)
                continue;
            byZone.set(host.zone, [...byZone.get(host.zone) ?? [], host]);
        }
        const hosts = [...byZone.values()].find((h) => h.length >= model.size);
        if (hosts === undefined)
            return false;
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
    #reserve(domain, model) {
        if (!this.#input.loadsAreCheap && this.#supply(model) < COMFORT)
            return 0;
        const hosts = this.#input.hostsOf.get(domain) ?? 0;
        return Math.floor(hosts / HOSTS_PER_SPARE) + (hosts >= 8 ? 1 : 0);
    }
    /** Members that can join soonest; undefined when too few can. */
    #choose(hosts, model) {
        const able = hosts.filter((host) => this.#input.loadsAreCheap ||
            (!host.isLoading && host.staged.includes(model.name)) ||
            host.hotModel === model.name);
        if (able.length < model.size)
            return undefined;
        const rank = (host) => (host.hotModel === model.name ? 0 : 2) +
            (host.staged.includes(model.name) ? 0 : 4) + (host.isCold ? 1 : 0) +
            (host.farGroup === undefined ? 0 : 1);
        return [...able].sort((a, b) => rank(a) - rank(b)).slice(0, model.size);
    }
    /** Gives each spare the model whose groups in its domain have fewest. */
    prepareSpares() {
        for (const [domain, hosts] of this.#free) {
            for (const host of hosts)
                this.#prepare(domain, host, hosts);
        }
    }
    #prepare(domain, host, spares) {
        if (host.isLoading || host.farGroup !== undefined)
            return;
        const wanted = this.#wantedSpare(domain, host, spares);
        if (wanted === undefined || host.hotModel === wanted)
            return;
        const own = host.hotModel ?? host.staged[0];
        if (own !== undefined && own !== wanted && !this.#input.loadsAreCheap) {
            if (host.idleMs < RESTAGE_IDLE_MS)
                return;
            if (this.#readySpares(host, spares, own) === 0)
                return;
        }
        if (host.staged.includes(wanted) || this.#input.loadsAreCheap) {
            this.steps.push({ kind: "warm", model: wanted, host: host.id });
        }
        else if (this.#loadRoom > 0) {
            this.#loadRoom -= 1;
            this.steps.push({ kind: "stage", model: wanted, host: host.id });
        }
        this.#planned.set(host.id, wanted);
    }
    /** Other spares that are ready in a model. */
    #readySpares(host, spares, model) {
        return spares.filter((spare) => spare !== host && (this.#planned.get(spare.id) ?? spare.hotModel ??
            spare.staged[0]) === model).length;
    }
    #planned = new Map();
    #wantedSpare(domain, host, spares) {
        const modelOf = (spare) => this.#planned.get(spare.id) ?? spare.hotModel ?? spare.staged[0];
        const others = spares.filter((spare) => spare !== host);
        const own = modelOf(host);
        const scores = this.#input.models.map((model) => {
            const ready = others.filter((s) => modelOf(s) === model.name).length;
            const groups = this.#groupsIn(domain, model.name);
            // Spares that can't complete a group of their own wait for a loss.
            const missing = model.size - ready;
            const use = (groups + 0.3) * Math.min(1, model.size / 4) /
                (ready + 1);
            const keep = model.name === own ? 1.5 : 1;
            const shortage = 1 / Math.max(0.2, this.#supply(model));
            return {
                model: model.name,
                score: use * keep * shortage + 0.01 / missing,
            };
        });
        scores.sort((a, b) => b.score - a.score);
        return scores[0]?.model;
    }
    #groupsIn(domain, model) {
        let count = 0;
        for (const group of this.#input.groups) {
            if (group.domain === domain && group.model === model)
                count += 1;
        }
        for (const step of this.steps) {
            if (step.kind !== "form" || step.model !== model)
                continue;
            const first = this.#input.free.find((h) => h.id === step.members[0]);
            if (first?.domain === domain)
                count += 1;
        }
        return count;
    }
}
