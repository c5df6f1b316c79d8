import { EngineTimes } from "./engine_times.js";
/** Time in which the weight of a past request falls to 1/e. */
const MEMORY_MS = 2_000;
/** Measures the demand for each model at this process. */
export class DemandMeter {
    #catalog;
    #flows = new Map();
    constructor(catalog) {
        this.#catalog = catalog;
    }
    /** Notes a request. */
    asked(service, call, now) {
        if (service.engine === undefined || call.model === undefined)
            return;
        const flow = this.#flows.get(call.model) ?? { sum: 0, at: now };
        flow.sum = decayed(flow, now) + requestMs(service.engine, call);
        flow.at = now;
        this.#flows.set(call.model, flow);
    }
    /** Engine milliseconds asked for per second, by model. */
    perSecond(now) {
        const demand = {};
        if (this.#catalog.inForce === undefined)
            return demand;
        for (const [model, flow] of this.#flows) {
            demand[model] = Math.round(decayed(flow, now) / MEMORY_MS * 1_000);
        }
        return demand;
    }
}
function decayed(flow, now) {
    return flow.sum * Math.exp(-(now - flow.at) / MEMORY_MS);
}
function requestMs(engine, call) {
    const model = engine.models.find((spec) => spec.name === call.model);
    if (model === undefined)
        return 0;
    const answer = call.expectedTokens ?? engine.usual.answer;
    return new EngineTimes(engine, model).requestMs(call.promptTokens, answer);
}
