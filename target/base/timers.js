/**
 * The timer service: the only source of time for every decision.
 *
 * @module
 */
/**
 * Waits in the time of `timers`.
 *
 * @example
 * ```ts
 * await sleep(timers, 250);
 * ```
 */
export function sleep(timers, delayMs) {
    return new Promise((resolve) => {
        timers.after(delayMs, resolve);
    });
}
/**
 * Repeats a callback by means of {@linkcode Timers.after}.
 *
 * @example
 * ```ts
 * const timer = repeat(timers, 500, () => probe());
 * ```
 */
export function repeat(timers, periodMs, callback) {
    let timer;
    const arm = () => {
        timer = timers.after(periodMs, () => {
            arm();
            callback();
        });
    };
    arm();
    return { cancel: () => timer.cancel() };
}
/** Result of {@linkcode withTimeout} when the time ran out first. */
export const TIMED_OUT = Symbol("timed out");
/**
 * Settles with the promise, or with {@linkcode TIMED_OUT} after `limitMs`.
 *
 * @example
 * ```ts
 * const res = await withTimeout(timers, store.read("k"), 500);
 * if (res === TIMED_OUT) return;
 * ```
 */
export function withTimeout(timers, promise, limitMs) {
    return new Promise((resolve, reject) => {
        const timer = timers.after(limitMs, () => resolve(TIMED_OUT));
        promise.then((value) => {
            timer.cancel();
            resolve(value);
        }, (err) => {
            timer.cancel();
            reject(err);
        });
    });
}
