#!/usr/bin/env node
/**
 * The controller binary.
 *
 * @module
 */
import { ControllerProcess } from "../controller/controller_process.ts";
import { ControllerSettingsSchema } from "../settings/controller_settings.ts";
import { runProcess } from "./run_process.ts";

runProcess({
  name: "oleander-controller",
  schema: ControllerSettingsSchema,
  logSettings: (settings) => settings.log,
  create: (settings, log) => new ControllerProcess(settings, log),
});
