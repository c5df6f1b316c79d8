/**
 * Timer service on the process's monotonic clock.
 *
 * @module
 */
import { clearInterval, clearTimeout, setInterval, setTimeout, } from "node:timers";
import { performance } from "node:perf_hooks";
/** {@linkcode Timers} backed by the event loop. */
export class SystemTimers {
    now() {
        return performance.now();
    }
    after(delayMs, callback) {
        const handle = setTimeout(callback, delayMs);
        return { cancel: () => clearTimeout(handle) };
    }
    subscribe(periodMs, callback) {
        const handle = setInterval(callback, periodMs);
        return { cancel: () => clearInterval(handle) };
    }
}
