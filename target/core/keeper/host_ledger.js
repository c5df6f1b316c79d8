/** A host that did not answer is left out of plans for this time. */
const DEAD_MS = 6_000;
/** A report may be older than a command by this time. */
const REPORT_LAG_MS = 500;
/** An announcement that contradicts a command may be older for this time. */
const ANNOUNCE_LAG_MS = 1_500;
/** Overlays announcements with the outcome of commands and reports. */
export class HostLedger {
    #records = new Map();
    /** What is believed of an announced host. */
    belief(host, now) {
        const record = this.#record(host);
        const { newer } = record;
        if (newer !== undefined) {
            const isShown = isSameGroup(newer.membership, host.membership);
            if (isShown || now - newer.at > ANNOUNCE_LAG_MS)
                record.newer = undefined;
        }
        if (host.membership !== undefined && host.models.length > 0) {
            record.lastModel ??= host.models[0];
        }
        const { staging } = record;
        const isStaging = staging !== undefined && staging.until > now &&
            !host.staged.includes(staging.model);
        return {
            host,
            seq: record.seq,
            membership: record.newer === undefined
                ? host.membership
                : record.newer.membership,
            lastModel: record.lastModel,
            staging: isStaging ? staging.model : undefined,
            isDead: record.deadUntil > now,
        };
    }
    /**
     * Takes a report on request. Reports lag: one that contradicts a command of
     * a moment ago only counts when the host refused what was expected of it.
     */
    reported(host, report, now, isRefused) {
        const record = this.#record(host);
        record.deadUntil = 0;
        if (report.born !== 0 && report.born !== record.born) {
            record.born = report.born;
            record.lastModel = undefined;
            record.seq = undefined;
        }
        const isOlder = record.seq !== undefined && report.seq < record.seq;
        if (isOlder && !isRefused)
            return;
        const changedAt = record.newer?.at ?? -Infinity;
        const isSettled = now - changedAt > REPORT_LAG_MS;
        if (record.seq === report.seq && !isSettled && !isRefused)
            return;
        record.seq = report.seq;
        record.newer = { membership: report.membership, at: now };
        if (report.membership !== undefined && report.models.length > 0) {
            record.lastModel = report.models[0];
        }
    }
    /** Takes the acceptance of a command that gave this membership. */
    accepted(host, expectedSeq, membership, now) {
        const record = this.#record(host);
        record.seq = Math.max(record.seq ?? 0, expectedSeq + 1);
        record.newer = { membership, at: now };
    }
    /** Notes the model that a host was told to join with. */
    joined(host, model) {
        this.#record(host).lastModel = model;
    }
    /** Notes a load to the host's own store. */
    staging(host, model, until) {
        this.#record(host).staging = { model, until };
    }
    /** Notes that a host did not answer. */
    silent(host, now) {
        this.#record(host).deadUntil = now + DEAD_MS;
    }
    /** Notes that a host answered. */
    answered(host) {
        this.#record(host).deadUntil = 0;
    }
    /** Forgets hosts that are not announced any more. */
    retain(ids) {
        for (const id of this.#records.keys()) {
            if (!ids.has(id))
                this.#records.delete(id);
        }
    }
    #record(host) {
        let record = this.#records.get(host.id);
        if (record === undefined || record.born < host.born) {
            record = {
                born: host.born,
                seq: undefined,
                newer: undefined,
                lastModel: undefined,
                staging: undefined,
                deadUntil: 0,
            };
            this.#records.set(host.id, record);
        }
        return record;
    }
}
function isSameGroup(a, b) {
    if (a === undefined || b === undefined)
        return a === b;
    return a.group === b.group && a.epoch === b.epoch;
}
