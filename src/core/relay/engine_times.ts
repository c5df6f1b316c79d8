/**
 * Times that an engine needs, from its performance model.
 *
 * @module
 */
import type { EngineModel, EngineSpec } from "../../world/catalog.ts";

/** Predicts times of one model on one engine. Times are milliseconds. */
export class EngineTimes {
  readonly #engine: EngineSpec;
  readonly #pace: number;

  constructor(engine: EngineSpec, model: EngineModel, isFar = false) {
    this.#engine = engine;
    this.#pace = model.pace * (isFar ? engine.farFactor : 1);
  }

  /** Requests that run at once. */
  get slots(): number {
    return this.#engine.slots;
  }

  /** Time to read a prompt alone. */
  readMs(tokens: number): number {
    return tokens / this.#engine.readTokensPerSecond * 1_000 *
      this.#pace;
  }

  /** One token step with so many requests writing. */
  stepMs(writing: number): number {
    const { stepMs, perSequenceMs, contextMsPerThousand, usual } = this.#engine;
    const context = (usual.prompt + usual.answer / 2) / 1_000;
    return (stepMs +
      writing * (perSequenceMs + contextMsPerThousand * context)) *
      this.#pace;
  }

  /** One pass: the pause between two events of a stream. */
  passMs(writing: number, reading: number): number {
    return this.#engine.stride * this.stepMs(writing) + this.readMs(reading);
  }

  /** Time from sending to the first event, with other work on the engine. */
  firstEventMs(inFlight: number, reading: number, prompt: number): number {
    const { slots } = this.#engine;
    const waiting = Math.max(0, inFlight + 1 - slots);
    const writing = Math.min(inFlight, slots);
    const queueMs = waiting *
      this.requestMs(this.#engine.usual.prompt, this.#engine.usual.answer);
    return queueMs + this.passMs(writing, reading) + this.readMs(prompt) +
      this.stepMs(writing);
  }

  /** Engine time that one request takes up when the engine is full. */
  requestMs(prompt: number, answer: number): number {
    const { slots } = this.#engine;
    return this.readMs(prompt) + answer * this.stepMs(slots) / slots;
  }
}
