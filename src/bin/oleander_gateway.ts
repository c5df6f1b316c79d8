#!/usr/bin/env node
/**
 * The gateway binary.
 *
 * @module
 */
import { GatewayProcess } from "../gateway/gateway_process.ts";
import { GatewaySettingsSchema } from "../settings/gateway_settings.ts";
import { runProcess } from "./run_process.ts";

runProcess({
  name: "oleander-gateway",
  schema: GatewaySettingsSchema,
  logSettings: (settings) => settings.log,
  create: (settings, log) => new GatewayProcess(settings, log),
});
