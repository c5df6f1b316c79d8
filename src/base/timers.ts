/**
 * Interface of timers. All code that depends on time gets it from here, so that
 * tests can run in virtual time.
 *
 * @module
 */

/** A scheduled callback that can be cancelled. */
export interface Timer {
  /** Prevents any later call of the callback. Safe to call twice. */
  cancel(): void;
}

/**
 * Source of monotonic time and of scheduled callbacks. Times are milliseconds.
 */
export interface Timers {
  /** Returns monotonic time in milliseconds from an arbitrary origin. */
  now(): number;
  /** Calls `callback` once after `delayMs`. */
  after(delayMs: number, callback: () => void): Timer;
  /**
   * Calls `callback` once after everything has been read that had arrived by now.
   * Timers that are due may run before that.
   */
  afterInput(callback: () => void): void;
  /**
   * Calls `callback` every `periodMs` until the timer is cancelled. The first
   * call comes within one period.
   */
  subscribe(periodMs: number, callback: () => void): Timer;
}

/**
 * Resolves after `delayMs` on the clock of `timers`.
 *
 * @example
 * ```ts
 * await sleep(timers, 250);
 * ```
 */
export function sleep(timers: Timers, delayMs: number): Promise<void> {
  return new Promise((resolve) => {
    timers.after(delayMs, resolve);
  });
}

/**
 * Calls a callback every `periodMs`, using {@linkcode Timers.after}. The first
 * call comes after a full period.
 *
 * @example
 * ```ts
 * const timer = repeat(timers, 500, () => probe());
 * ```
 */
export function repeat(
  timers: Pick<Timers, "after">,
  periodMs: number,
  callback: () => void,
): Timer {
  let timer: Timer;
  const arm = () => {
    timer = timers.after(periodMs, () => {
      arm();
      callback();
    });
  };
  arm();
  return { cancel: () => timer.cancel() };
}

/** Result of {@linkcode withTimeout} if the promise did not settle in time. */
export const TIMED_OUT = Symbol("timed out");

/**
 * Settles like the promise, or resolves to {@linkcode TIMED_OUT} after
 * `timeoutMs`.
 *
 * @example
 * ```ts
 * const res = await withTimeout(timers, store.read("k"), 500);
 * if (res === TIMED_OUT) return;
 * ```
 */
export function withTimeout<T>(
  timers: Timers,
  promise: Promise<T>,
  timeoutMs: number,
): Promise<T | typeof TIMED_OUT> {
  return new Promise((resolve, reject) => {
    const timer = timers.after(timeoutMs, () => resolve(TIMED_OUT));
    promise.then(
      (value) => {
        timer.cancel();
        resolve(value);
      },
      (err) => {
        timer.cancel();
        reject(err);
      },
    );
  });
}
