import { StreamSplice } from "./stream_splice.js";
/** Largest answer held until it is whole, in bytes. */
const MAX_HELD_BYTES = 262_144;
/** Holds a plain answer until it is whole, unless it is large. */
export class HeldAnswer {
    #reply;
    #head;
    #held = [];
    #bytes = 0;
    #started = false;
    constructor(reply) {
        this.#reply = reply;
    }
    get started() {
        return this.#started;
    }
    get lastEventId() {
        return undefined;
    }
    begin(head) {
        this.#head = head;
    }
    data(chunk) {
        if (this.#started)
            return this.#pass(chunk);
        this.#held.push(chunk);
        this.#bytes += chunk.byteLength;
        if (this.#bytes <= MAX_HELD_BYTES)
            return "fine";
        return this.#release();
    }
    finish() {
        if (!this.#started)
            this.#release();
        this.#reply.end();
        return true;
    }
    restart() {
        this.#head = undefined;
        this.#held = [];
        this.#bytes = 0;
    }
    #release() {
        if (this.#head === undefined)
            return "broken";
        this.#started = true;
        this.#reply.head(this.#head.status, this.#head.headers);
        let verdict = "fine";
        for (const chunk of this.#held)
            verdict = this.#pass(chunk);
        this.#held = [];
        return verdict;
    }
    #pass(chunk) {
        return this.#reply.data(chunk) ? "fine" : "wait_for_caller";
    }
}
/** Passes events on as they come; goes on after the last event elsewhere. */
export class StreamAnswer {
    #reply;
    #splice;
    #callerLastEventId;
    #head;
    #started = false;
    constructor(reply, lastEventId) {
        this.#reply = reply;
        this.#callerLastEventId = lastEventId;
        this.#splice = new StreamSplice(lastEventId);
    }
    get started() {
        return this.#started;
    }
    get lastEventId() {
        return this.#splice.lastId === undefined
            ? this.#callerLastEventId
            : String(this.#splice.lastId);
    }
    begin(head) {
        this.#head ??= head;
    }
    data(chunk) {
        const spliced = this.#splice.push(chunk);
        if (spliced === undefined)
            return "broken";
        if (spliced.events === 0)
            return "fine";
        this.#sendHead();
        let more = true;
        for (const part of spliced.chunks)
            more = this.#reply.data(part);
        return more ? "fine" : "wait_for_caller";
    }
    finish() {
        if (this.#splice.midEvent)
            return false;
        this.#sendHead();
        this.#reply.end();
        return true;
    }
    restart() {
        this.#splice.restart();
        if (!this.#started)
            this.#head = undefined;
    }
    #sendHead() {
        if (this.#started || this.#head === undefined)
            return;
        this.#started = true;
        this.#reply.head(this.#head.status, this.#head.headers);
    }
}
