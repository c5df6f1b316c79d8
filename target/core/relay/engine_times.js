/** Predicts times of one model on one engine. Times are milliseconds. */
export class EngineTimes {
    #engine;
    #pace;
    constructor(engine, model, isFar = false) {
        this.#engine = engine;
        this.#pace = model.pace * (isFar ? engine.farFactor : 1);
    }
    /** Requests that run at once. */
    get slots() {
        return this.#engine.slots;
    }
    /** Time to read a prompt alone. */
    readMs(tokens) {
        return tokens / this.#engine.readTokensPerSecond * 1_000 *
            this.#pace;
    }
    /** One token step with so many requests writing. */
    stepMs(writing) {
        const { stepMs, perSequenceMs, contextMsPerThousand, usual } = this.#engine;
        const context = (usual.prompt + usual.answer / 2) / 1_000;
        return (stepMs + writing * (perSequenceMs + contextMsPerThousand * context)) *
            this.#pace;
    }
    /** One pass: the pause between two events of a stream. */
    passMs(writing, reading) {
        return this.#engine.stride * this.stepMs(writing) + this.readMs(reading);
    }
    /** Time from sending to the first event, with other work on the engine. */
    firstEventMs(inFlight, reading, prompt) {
        const { slots } = this.#engine;
        const waiting = Math.max(0, inFlight + 1 - slots);
        const writing = Math.min(inFlight, slots);
        const queueMs = waiting * this.requestMs(this.#engine.usual.prompt, this.#engine.usual.answer);
        return queueMs + this.passMs(writing, reading) + this.readMs(prompt) +
            this.stepMs(writing);
    }
    /** Engine time that one request takes up when the engine is full. */
    requestMs(prompt, answer) {
        const { slots } = this.#engine;
        return this.readMs(prompt) + answer * this.stepMs(slots) / slots;
    }
}
