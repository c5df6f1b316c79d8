/**
 * Metrics of the controller.
 *
 * @module
 */
import { collectDefaultMetrics, Gauge, Registry } from "prom-client";
import type { Controller } from "../core/controller/controller.ts";

/**
 * Creates the metrics registry of a controller.
 *
 * @example
 * ```ts
 * const registry = createControllerMetrics(() => controller);
 * ```
 */
export function createControllerMetrics(
  controller: () => Controller,
): Registry {
  const registry = new Registry();
  const registers = [registry];
  collectDefaultMetrics({ register: registry });
  new Gauge({
    name: "oleander_controller_active",
    help: "Whether this controller holds the lease",
    registers,
    collect() {
      this.set(controller().isLeader ? 1 : 0);
    },
  });
  new Gauge({
    name: "oleander_groups",
    help: "Replica groups by model and state",
    labelNames: ["model", "state"],
    registers,
    collect() {
      this.reset();
      for (const record of controller().records) {
        for (const { model, state } of record.groups) {
          this.inc({ model, state });
        }
      }
    },
  });
  new Gauge({
    name: "oleander_stranded_accelerators",
    help: "Accelerators of live hosts that no open group uses",
    registers,
    collect() {
      this.set(strandedAccelerators(controller()));
    },
  });
  return registry;
}

function strandedAccelerators(controller: Controller): number {
  const used = new Set<string>();
  for (const record of controller.records) {
    for (const group of record.groups) {
      if (group.state !== "open") continue;
      for (const member of group.members) used.add(member.hostId);
    }
  }
  let sum = 0;
  for (const host of controller.hosts) {
    if (host.state === "live" && !used.has(host.id)) sum += host.accelerators;
  }
  return sum;
}
