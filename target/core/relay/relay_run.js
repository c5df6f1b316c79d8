import { HeldAnswer, StreamAnswer } from "./answer_sink.js";
/** Part of the goal that a request may wait for an upstream. */
const HOLD_SHARE = 1 / 8;
/** Longest wait for an upstream of a stream that goes on elsewhere. */
const RESUME_HOLD_MS = 600;
/** Goals beyond which a first byte is not worth sending for. */
const LATE_FACTOR = 0.8;
/** Runs one request to its one end. */
export class RelayRun {
    call;
    contract;
    service;
    customer;
    fingerprint;
    arrivedAt;
    #parts;
    #reply;
    #sink;
    #avoided = new Set();
    #deadline;
    #attempt;
    #failedHead;
    #mayHaveRun = false;
    #sends = 0;
    #firstAt;
    #lastAt = 0;
    #longestGapMs = 0;
    #waitUntil;
    #done = false;
    constructor(parts, call, reply, contract, service, customer, fingerprint) {
        this.#parts = parts;
        this.call = call;
        this.#reply = reply;
        this.contract = contract;
        this.service = service;
        this.customer = customer;
        this.fingerprint = fingerprint;
        this.arrivedAt = parts.timers.now();
        this.#waitUntil = this.arrivedAt + contract.route.goalMs * HOLD_SHARE;
        this.#sink = contract.route.kind === "streaming"
            ? new StreamAnswer(reply, call.lastEventId)
            : new HeldAnswer(reply);
        const leftMs = Math.max(0, contract.leftMs(this.arrivedAt));
        this.#deadline = parts.timers.after(leftMs, () => this.#expire());
    }
    get model() {
        return this.service.engine === undefined ? undefined : this.call.model;
    }
    get promptTokens() {
        return this.call.promptTokens;
    }
    /** 0 is served first. */
    get priority() {
        return this.customer?.priority ?? this.contract.route.priority;
    }
    /** When waiting for an upstream ends. */
    get waitUntil() {
        return this.#waitUntil;
    }
    get done() {
        return this.#done;
    }
    /** The attempt that is under way. */
    get attempt() {
        return this.#attempt;
    }
    get sends() {
        return this.#sends;
    }
    /** Time from arrival to the first byte; undefined before it. */
    get firstByteMs() {
        return this.#firstAt === undefined
            ? undefined
            : this.#firstAt - this.arrivedAt;
    }
    /** Longest pause between bytes for the caller, in milliseconds. */
    get longestGapMs() {
        return this.#longestGapMs;
    }
    get withinMs() {
        const { goalMs, gapMs } = this.contract.route;
        const now = this.#parts.timers.now();
        if (this.#sends > 0) {
            return Math.min(this.contract.leftMs(now), Math.max(goalMs, gapMs) * 4);
        }
        return goalMs * LATE_FACTOR - (now - this.arrivedAt);
    }
    avoids(key) {
        return this.#avoided.has(key);
    }
    /** Begins. */
    start() {
        this.#parts.enterRoom(this);
    }
    /** Sends the request to the upstream that was chosen. */
    placed(placement) {
        const { replica, expectedMs, considered } = placement;
        const now = this.#parts.timers.now();
        this.#sends += 1;
        const attempt = {
            replica,
            startedAt: now,
            expectedMs,
            handle: undefined,
            head: undefined,
            lastDataAt: undefined,
            paused: false,
        };
        this.#attempt = attempt;
        this.#parts.note(this, { event: "sent", replica, expectedMs, considered });
        this.#parts.attemptStarted(this, attempt);
        const handle = this.#parts.client.send({ id: replica.host.id, address: replica.host.address }, {
            requestId: this.call.id,
            method: this.call.method,
            path: this.call.target,
            headers: this.call.headers,
            body: this.call.body,
            deadlineMs: Math.max(1, Math.floor(this.contract.leftMs(now))),
            customer: this.customer?.name,
            lastEventId: this.#sink.lastEventId,
            urgency: Math.min(9, Math.max(0, this.priority)),
            idempotent: this.contract.repeatable,
        }, this.#listener(attempt));
        if (this.#attempt === attempt)
            attempt.handle = handle;
        else
            handle.cancel();
    }
    /** No upstream could be had in time. */
    notPlaced(placement, retryAfterMs) {
        if (this.#failedHead !== undefined)
            return this.#passFailure();
        const full = placement.kind === "full";
        const detail = full
            ? `Best expected first byte ${Math.round(placement.expectedMs)} ms`
            : "No replica takes requests";
        this.#giveUp(full ? "overloaded" : "no_replica", detail, retryAfterMs);
    }
    /** Goes on elsewhere, where the contract allows: the upstream is lost. */
    upstreamLost(detail) {
        const attempt = this.#attempt;
        if (attempt === undefined || !this.contract.repeatable)
            return;
        this.#endAttempt(attempt, "stalled", detail);
        this.#mayHaveRun = true;
        this.#sendAgain(attempt, true, detail);
    }
    /** The caller has left. */
    callerGone() {
        if (this.#done)
            return;
        this.#finish("caller_gone");
    }
    #listener(attempt) {
        return {
            onHead: (head) => {
                if (this.#attempt === attempt)
                    this.#headCame(attempt, head);
            },
            onData: (chunk) => {
                if (this.#attempt === attempt)
                    this.#dataCame(attempt, chunk);
            },
            onEnd: (end) => {
                if (this.#attempt === attempt)
                    this.#attemptOver(attempt, end);
            },
        };
    }
    #headCame(attempt, head) {
        attempt.head = head;
        if (head.wrongHost || head.notRun)
            return;
        this.#mayHaveRun = true;
        if (head.status >= 200 && head.status < 300)
            this.#sink.begin(head);
        else if (!this.#sink.started)
            this.#failedHead = { head, body: [] };
    }
    #dataCame(attempt, chunk) {
        const { head } = attempt;
        if (head === undefined || head.notRun || head.wrongHost)
            return;
        const now = this.#parts.timers.now();
        const isFirst = attempt.lastDataAt === undefined;
        attempt.lastDataAt = now;
        if (isFirst)
            this.#parts.attemptFirstByte(this, attempt);
        if (head.status < 200 || head.status >= 300) {
            this.#failedHead?.body.push(chunk);
            return;
        }
        this.#noteGap(now);
        const verdict = this.#sink.data(chunk);
        if (verdict === "broken") {
            attempt.handle?.cancel();
            this.#attemptOver(attempt, { kind: "malformed", detail: "event order" });
        }
        else if (verdict === "wait_for_caller") {
            this.#awaitCaller(attempt);
        }
    }
    #noteGap(now) {
        if (this.#firstAt === undefined)
            this.#firstAt = now;
        else
            this.#longestGapMs = Math.max(this.#longestGapMs, now - this.#lastAt);
        this.#lastAt = now;
    }
    #awaitCaller(attempt) {
        if (attempt.paused)
            return;
        attempt.paused = true;
        attempt.handle?.pause();
        this.#reply.onDrain(() => {
            attempt.paused = false;
            attempt.lastDataAt = this.#parts.timers.now();
            attempt.handle?.resume();
        });
    }
    #attemptOver(attempt, end) {
        const { head } = attempt;
        if (head?.notRun || head?.wrongHost) {
            const outcome = head.wrongHost ? "wrong_host" : "refused";
            this.#endAttempt(attempt, outcome, `status ${head.status}`);
            return this.#sendAgain(attempt, false, `refused with ${head.status}`);
        }
        if (end.kind === "not_sent") {
            this.#endAttempt(attempt, "not_sent", end.detail);
            return this.#sendAgain(attempt, false, end.detail);
        }
        this.#mayHaveRun = true;
        if (end.kind !== "ended") {
            this.#failedHead = undefined;
            this.#endAttempt(attempt, end.kind, end.detail);
            return this.#broken(attempt, end.detail);
        }
        if (head === undefined)
            return this.#broken(attempt, "no head");
        if (head.status < 200 || head.status >= 300) {
            return this.#failed(attempt, head);
        }
        const whole = this.#sink.finish();
        this.#endAttempt(attempt, whole ? "answered" : "malformed", "");
        if (!whole)
            return this.#broken(attempt, "ended within an event");
        this.#finish("answered");
    }
    /** An upstream answered with a failure of its own. */
    #failed(attempt, head) {
        this.#endAttempt(attempt, "failed_status", `status ${head.status}`);
        const retriable = head.status >= 500 && this.contract.repeatable;
        if (!retriable) {
            if (this.#sink.started)
                return this.#broken(attempt, "failed midway");
            return this.#passFailure();
        }
        this.#sendAgain(attempt, true, `status ${head.status}`);
    }
    #broken(attempt, detail) {
        if (this.contract.repeatable)
            return this.#sendAgain(attempt, true, detail);
        this.#giveUp("upstream_failed", detail);
    }
    #sendAgain(attempt, ran, detail) {
        const now = this.#parts.timers.now();
        this.#avoided.add(attempt.replica.key);
        this.#sink.restart();
        this.contract.attemptEnded(ran && this.#parts.hostLives(attempt.replica));
        const may = this.contract.maySendAgain(now) &&
            this.#parts.mayRepeat(this.service.name);
        if (!may) {
            if (this.#failedHead !== undefined)
                return this.#passFailure();
            return this.#giveUp("overloaded", detail, 200);
        }
        const holdMs = Math.max(RESUME_HOLD_MS, this.contract.route.goalMs * HOLD_SHARE);
        this.#waitUntil = now + Math.min(holdMs, this.contract.leftMs(now));
        this.#parts.enterRoom(this);
    }
    #expire() {
        if (this.#done)
            return;
        const kind = this.#mayHaveRun || this.#attempt !== undefined
            ? "timed_out"
            : "expired";
        const attempt = this.#attempt;
        if (attempt !== undefined)
            this.#endAttempt(attempt, "cancelled", "time up");
        this.#refuse({ kind, detail: "The time is up" });
    }
    /** Refuses as not run where that is true, and as failed otherwise. */
    #giveUp(kind, detail, retryAfterMs) {
        if (this.#mayHaveRun && !this.contract.repeatable) {
            return this.#refuse({ kind: "upstream_failed", detail });
        }
        if (this.#mayHaveRun)
            return this.#refuse({ kind: "upstream_failed", detail });
        this.#refuse({ kind, detail, retryAfterMs });
    }
    #refuse(refusal) {
        if (this.#done)
            return;
        if (this.#sink.started)
            this.#reply.cut();
        else
            this.#reply.refuse(refusal);
        this.#finish(refusal.kind, refusal.detail);
    }
    /** Passes on the failure that an upstream answered with. */
    #passFailure() {
        const failed = this.#failedHead;
        if (failed === undefined || this.#sink.started) {
            return this.#giveUp("upstream_failed", "An upstream failed");
        }
        this.#reply.head(failed.head.status, failed.head.headers);
        for (const chunk of failed.body)
            this.#reply.data(chunk);
        this.#reply.end();
        this.#finish("passed_failure", `status ${failed.head.status}`);
    }
    #endAttempt(attempt, outcome, detail) {
        if (this.#attempt !== attempt)
            return;
        this.#attempt = undefined;
        const cut = outcome === "stalled" || outcome === "cancelled";
        if (cut)
            attempt.handle?.cancel();
        this.#parts.attemptEnded(this, attempt, outcome, attempt.head);
        const { replica } = attempt;
        this.#parts.note(this, { event: "attempt_ended", outcome, detail, replica });
    }
    #finish(outcome, detail = "") {
        if (this.#done)
            return;
        this.#done = true;
        this.#deadline.cancel();
        this.#parts.leaveRoom(this);
        const attempt = this.#attempt;
        if (attempt !== undefined)
            this.#endAttempt(attempt, "cancelled", outcome);
        this.#parts.note(this, { event: "ended", outcome, detail });
        this.#parts.ended(this, outcome);
    }
}
