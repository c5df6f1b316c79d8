/**
 * Joins the event streams of several attempts into one, each event once.
 *
 * @module
 */
import { Buffer } from "node:buffer";
const LINE_FEED = 0x0a;
const ID_FIELD = Buffer.from("id:");
/** Longest event, in bytes. */
export const MAX_EVENT_BYTES = 1_048_576;
/** Passes on whole events with increasing ids. */
export class StreamSplice {
    #lastId;
    #rest;
    #scanned = 0;
    constructor(lastEventId) {
        const id = Number(lastEventId);
        this.#lastId = lastEventId !== undefined && Number.isFinite(id)
            ? id
            : undefined;
    }
    /** Id of the last event passed on. */
    get lastId() {
        return this.#lastId;
    }
    /** Whether bytes of an unfinished event are held. */
    get midEvent() {
        return this.#rest !== undefined;
    }
    /** Drops the unfinished event of an attempt that ended. */
    restart() {
        this.#rest = undefined;
        this.#scanned = 0;
    }
    /** Takes bytes. Undefined when they break the order of events. */
    push(chunk) {
        const bytes = this.#joined(chunk);
        const chunks = [];
        let events = 0;
        let from = 0;
        let at = bytes.indexOf(LINE_FEED, this.#scanned);
        while (at >= 0) {
            if (bytes[at + 1] === LINE_FEED) {
                const event = bytes.subarray(from, at + 2);
                from = at + 2;
                const verdict = this.#take(event);
                if (verdict === "broken")
                    return undefined;
                if (verdict === "new") {
                    chunks.push(event);
                    events += 1;
                }
                at = bytes.indexOf(LINE_FEED, from);
            }
            else {
                at = bytes.indexOf(LINE_FEED, at + 1);
            }
        }
        if (bytes.length - from > MAX_EVENT_BYTES)
            return undefined;
        this.#rest = from < bytes.length ? bytes.subarray(from) : undefined;
        this.#scanned = Math.max(0, bytes.length - from - 1);
        return { chunks: joinAdjacent(chunks), events };
    }
    #take(event) {
        const id = eventId(event);
        if (id === undefined)
            return "new";
        if (this.#lastId !== undefined) {
            if (id <= this.#lastId)
                return "known";
            if (id > this.#lastId + 1)
                return "broken";
        }
        this.#lastId = id;
        return "new";
    }
    #joined(chunk) {
        const fresh = Buffer.from(chunk.buffer, chunk.byteOffset, chunk.byteLength);
        if (this.#rest !== undefined)
            return Buffer.concat([this.#rest, fresh]);
        this.#scanned = 0;
        return fresh;
    }
}
function eventId(event) {
    let at = event.indexOf(ID_FIELD);
    while (at > 0 && event[at - 1] !== LINE_FEED) {
        at = event.indexOf(ID_FIELD, at + 1);
    }
    if (at < 0)
        return undefined;
    const end = event.indexOf(LINE_FEED, at);
    const id = Number(event.toString("latin1", at + ID_FIELD.length, end));
    return Number.isFinite(id) ? id : undefined;
}
/** Merges events that lie next to each other, to write them at once. */
function joinAdjacent(chunks) {
    if (chunks.length < 2)
        return chunks;
    const joined = [];
    for (const chunk of chunks) {
        const last = joined.at(-1);
        const adjacent = last !== undefined && last.buffer === chunk.buffer &&
            last.byteOffset + last.byteLength === chunk.byteOffset;
        if (!adjacent) {
            joined.push(chunk);
            continue;
        }
        const length = last.byteLength + chunk.byteLength;
        joined[joined.length - 1] = new Uint8Array(last.buffer, last.byteOffset, length);
    }
    return joined;
}
