/**
 * Latency estimates from an engine's performance model.
 *
 * @module
 */
import type { EngineModel, EngineSpec } from "../../world/catalog.ts";

/** Estimates latencies of one model on one engine, in milliseconds. */
export class EngineLatencyModel {
  readonly #engine: EngineSpec;
  readonly #timeFactor: number;

  constructor(engine: EngineSpec, model: EngineModel, isCrossDomain = false) {
    this.#engine = engine;
    this.#timeFactor = model.pace *
      (isCrossDomain ? engine.crossDomainFactor : 1);
  }

  /** Number of requests that run concurrently. */
  get slots(): number {
    return this.#engine.slots;
  }

  /** Prefill time of a prompt without other work. */
  prefillMs(tokens: number): number {
    return tokens / this.#engine.prefillTokensPerSecond * 1_000 *
      this.#timeFactor;
  }

  /** Time of one decode step with this many requests decoding. */
  decodeStepMs(decoding: number): number {
    const { stepMs, perSequenceMs, contextMsPerThousand, usual } = this.#engine;
    const context = (usual.prompt + usual.answer / 2) / 1_000;
    return (stepMs +
      decoding * (perSequenceMs + contextMsPerThousand * context)) *
      this.#timeFactor;
  }

  /**
   * Time of one pass that also prefills this many tokens. A pass consists of
   * `stride` decode steps; a stream gets one event per pass.
   */
  passMs(decoding: number, prefillTokens: number): number {
    return this.#engine.stride * this.decodeStepMs(decoding) +
      this.prefillMs(prefillTokens);
  }

  /**
   * Longest gap between events of a stream while this many tokens of other
   * requests are to be prefilled.
   */
  gapMs(decoding: number, prefillTokens: number): number {
    const { slots, stride, chunkTokens } = this.#engine;
    return this.passMs(
      Math.min(decoding, slots),
      Math.min(prefillTokens, chunkTokens * stride),
    );
  }

  /**
   * Time to the first event of a request with `promptTokens`, when the engine has
   * `inFlight` other requests with `prefillTokens` left to prefill.
   */
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

  /** Prefill time of a usual prompt. */
  get usualPrefillMs(): number {
    return this.prefillMs(this.#engine.usual.prompt);
  }

  /** Engine time of a usual request; see {@linkcode requestMs}. */
  get usualRequestMs(): number {
    const { prompt, answer } = this.#engine.usual;
    return this.requestMs(prompt, answer);
  }

  /** Engine time that one request uses while all slots are busy. */
  requestMs(promptTokens: number, outputTokens: number): number {
    const { slots } = this.#engine;
    return this.prefillMs(promptTokens) +
      outputTokens * this.decodeStepMs(slots) / slots;
  }
}
