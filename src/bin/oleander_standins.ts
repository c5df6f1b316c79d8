#!/usr/bin/env node
/**
 * The stand-ins binary: plays the platform and its hosts, for development.
 *
 * @module
 */
import { SystemTimers } from "../base/system_timers.ts";
import { StandinsSettingsSchema } from "../settings/standins_settings.ts";
import { layOutFleet } from "../standins/fleet_layout.ts";
import { Standins } from "../standins/server/standins.ts";
import { DEFAULT_PROFILE } from "../standins/sim/engine_sim.ts";
import { NO_JOURNAL } from "../standins/sim/journal.ts";
import { runProcess } from "./run_process.ts";

runProcess({
  name: "oleander-standins",
  schema: StandinsSettingsSchema,
  logSettings: (settings) => settings.log,
  create: ({ platform, fleet, engine }) => {
    const shape = {
      zones: fleet.zones,
      domainsPerZone: fleet.domains_per_zone,
      hostsPerDomain: fleet.hosts_per_domain,
      extraHosts: fleet.extra_hosts,
      acceleratorsPerHost: fleet.accelerators_per_host,
      service: fleet.service,
    };
    return new Standins({
      timers: new SystemTimers(),
      journal: NO_JOURNAL,
      storeAddress: platform.store,
      platformAddress: platform.host_list,
      hosts: layOutFleet(
        shape,
        (i) => `${fleet.address}:${fleet.first_port + i}`,
      ),
      profile: {
        ...DEFAULT_PROFILE,
        loadMs: engine.load_time,
        tokenMs: engine.token_time,
        capacity: engine.capacity,
      },
    });
  },
});
