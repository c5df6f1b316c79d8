/**
 * When a starting process reached each step up to its first request.
 *
 * @module
 */

/** Steps of a start, in their usual order. */
export const START_STEPS = [
  /** Node.js itself runs. */
  "runtimeReady",
  "codeLoaded",
  "settingsRead",
  "socketsListening",
  /** The first response of the store was read. */
  "storeReached",
  "catalogInForce",
  /** A read of the store, own or a peer's, has confirmed the catalog. */
  "catalogConfirmed",
  "hostsListed",
  "peersKnown",
  /** The node has entered itself in the store. */
  "nodeRegistered",
  "leaderKnown",
  "firstRequestRead",
  /** The first request was sent to a host. */
  "firstPlaced",
] as const;

/** A step of a start. */
export type StartStep = typeof START_STEPS[number];

/** Milliseconds from the start of the process to each step that it reached. */
export type StartTimes = Readonly<Partial<Record<StartStep, number>>>;

/** Records when each step was reached first. */
export class StartTimeline {
  readonly #sinceStartMs: () => number;
  readonly #times = new Map<StartStep, number>();
  #waiting: {
    readonly steps: readonly StartStep[];
    readonly callback: () => void;
  }[] = [];

  /** `sinceStartMs` returns the milliseconds since the process was started. */
  constructor(sinceStartMs: () => number) {
    this.#sinceStartMs = sinceStartMs;
  }

  /**
   * Records that a step is reached, now or at a time since the start of the process;
   * returns false if it was reached before.
   */
  mark(step: StartStep, atMs?: number): boolean {
    if (this.#times.has(step)) return false;
    this.#times.set(step, Math.round(atMs ?? this.#sinceStartMs()));
    const due = this.#waiting.filter(({ steps }) => this.#hasReached(steps));
    this.#waiting = this.#waiting.filter((entry) => !due.includes(entry));
    for (const { callback } of due) callback();
    return true;
  }

  /** Calls back once all of some steps are reached that are not reached yet. */
  whenReached(steps: readonly StartStep[], callback: () => void): void {
    this.#waiting.push({ steps, callback });
  }

  #hasReached(steps: readonly StartStep[]): boolean {
    return steps.every((step) => this.#times.has(step));
  }

  /** When a step was reached, in milliseconds; undefined if it was not. */
  get(step: StartStep): number | undefined {
    return this.#times.get(step);
  }

  /** Times of the steps that were reached, in their usual order. */
  get times(): StartTimes {
    return Object.fromEntries(
      START_STEPS.flatMap((step) => {
        const at = this.#times.get(step);
        return at === undefined ? [] : [[step, at] as const];
      }),
    );
  }

  /** Steps that were not reached. */
  get missing(): readonly StartStep[] {
    return START_STEPS.filter((step) => !this.#times.has(step));
  }
}
