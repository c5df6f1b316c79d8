/**
 * Named loads on one node's queue.
 *
 * @module
 */
import { Random } from "../../src/base/random.ts";
import type { RequestQueueDependencies } from "../../src/core/relay/request_queue.ts";
import type { LoadedQueue } from "./queue_load.ts";
import { QueueLoad } from "./queue_load.ts";

const GROUPS = 4;
const USUAL_MS = { from: 0, to: 8_000 };
const BURST_MS = { from: 2_000, to: 5_000 };

/** Adds its requests to a load. */
type LoadPlan = (load: QueueLoad, random: Random) => void;

const LOADS: Readonly<Record<string, LoadPlan>> = {
  "a burst of which one customer sends 80 %": (load, random) => {
    const bySize = (r: Random) => ({
      customer: r.float() < 0.8 ? "large" : `small-${r.int(8)}`,
    });
    load.addStream(random, USUAL_MS, load.usualRate * 0.5, bySize);
    load.addStream(random, BURST_MS, load.usualRate * 2, bySize);
  },
  "a hot key": (load, random) => {
    const other = (r: Random) => ({ customer: `small-${r.int(8)}` });
    const hot = () => ({ customer: "hot", fingerprint: "hot" });
    load.addStream(random, USUAL_MS, load.usualRate * 0.5, other);
    load.addStream(random, BURST_MS, load.usualRate * 2, hot);
  },
  "callers that repeat at once": (load, random) => {
    const caller = (r: Random) => {
      const repeatsAtOnce = r.float() < 0.3;
      return {
        customer: `customer-${r.int(8)}`,
        repeatsAtOnce,
        maxRetries: repeatsAtOnce ? 20 : 1,
      };
    };
    load.addStream(random, USUAL_MS, load.usualRate * 0.5, caller);
    load.addStream(random, BURST_MS, load.usualRate, caller);
  },
  "a mix of sizes": (load, random) => {
    const sized = (r: Random) => ({
      customer: `customer-${r.int(8)}`,
      promptTokens: Math.min(4_460, Math.ceil(300 / (1 - r.float()) ** 0.8)),
    });
    load.addStream(random, USUAL_MS, load.usualRate * 0.5, sized);
    load.addStream(random, BURST_MS, load.usualRate * 2, sized);
  },
  "two priorities": (load, random) => {
    const urgent = (r: Random) => ({
      customer: `customer-${r.int(8)}`,
      priority: r.float() < 0.5 ? 0 : 1,
    });
    load.addStream(random, USUAL_MS, load.usualRate * 0.5, urgent);
    load.addStream(random, BURST_MS, load.usualRate, urgent);
  },
  "a steady load with short peaks": (load, random) => {
    const caller = (r: Random) => ({ customer: `customer-${r.int(8)}` });
    load.addStream(random, USUAL_MS, load.usualRate * 0.6, caller);
    for (let from = 500; from < USUAL_MS.to; from += 1_000) {
      load.addStream(random, { from, to: from + 100 }, 300, caller);
    }
  },
  "many refused within 10 milliseconds": (load, random) => {
    const caller = (r: Random) => ({ customer: `customer-${r.int(8)}` });
    load.addStream(random, { from: 0, to: 1_000 }, load.usualRate, caller);
    load.addStream(random, { from: 1_000, to: 1_010 }, 30_000, caller);
  },
};

/**
 * Plays a named load against a queue until all its requests have ended.
 *
 * @example
 * ```ts
 * playLoad("a hot key", 1, (deps) => new RequestQueue(deps));
 * ```
 */
export function playLoad(
  name: string,
  seed: number,
  createQueue: (deps: RequestQueueDependencies) => LoadedQueue,
  { groups = GROUPS, nodes = 1 } = {},
): QueueLoad {
  const load = new QueueLoad(groups, createQueue, nodes);
  LOADS[name](load, new Random(seed));
  load.run(14_000);
  return load;
}

/** Names of the loads. */
export const LOAD_NAMES: readonly string[] = Object.keys(LOADS);
