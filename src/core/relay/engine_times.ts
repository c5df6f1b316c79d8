/**
 * Times that an engine needs, from its performance model.
 *
 * @module
 */
import type { EngineModel, EngineSpec } from "../../world/catalog.ts";

/** Predicts times of one model on one engine. Times are milliseconds. */
export class EngineLatencyModel {
  readonly #engine: EngineSpec;
  readonly #timeFactor: number;

  constructor(engine: EngineSpec, model: EngineModel, isFar = false) {
    this.#engine = engine;
    this.#timeFactor = model.pace * (isFar ? engine.farFactor : 1);
  }

  /** Requests that run at once. */
  get slots(): number {
    return this.#engine.slots;
  }

  /** Time to read a prompt alone. */
  prefillMs(tokens: number): number {
    return tokens / this.#engine.readTokensPerSecond * 1_000 *
      this.#timeFactor;
  }

  /** One token step with so many requests decoding. */
  decodeStepMs(decoding: number): number {
    const { stepMs, perSequenceMs, contextMsPerThousand, usual } = this.#engine;
    const context = (usual.prompt + usual.answer / 2) / 1_000;
    return (stepMs +
      decoding * (perSequenceMs + contextMsPerThousand * context)) *
      this.#timeFactor;
  }

  /** One pass: the pause between two events of a stream. */
  passMs(decoding: number, prefillTokens: number): number {
    return this.#engine.stride * this.decodeStepMs(decoding) +
      this.prefillMs(prefillTokens);
  }

  /** Time from sending to the first event, with other work on the engine. */
  firstEventMs(
    inFlight: number,
    prefillTokens: number,
    promptTokens: number,
  ): number {
    const { slots } = this.#engine;
    const queued = Math.max(0, inFlight + 1 - slots);
    const decoding = Math.min(inFlight, slots);
    const queueMs = queued *
      this.requestMs(this.#engine.usual.prompt, this.#engine.usual.answer);
    return queueMs + this.passMs(decoding, prefillTokens) +
      this.prefillMs(promptTokens) +
      this.decodeStepMs(decoding);
  }

  /** Engine time that one request takes up when the engine is full. */
  requestMs(promptTokens: number, outputTokens: number): number {
    const { slots } = this.#engine;
    return this.prefillMs(promptTokens) +
      outputTokens * this.decodeStepMs(slots) / slots;
  }
}
