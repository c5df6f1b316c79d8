/**
 * Forecasts of what engines will do with a request.
 *
 * @module
 */
export type {
  EngineForecast,
  EngineOutlookDependencies,
  ModelOutlook,
  ReplicaLoad,
} from "./engine_outlook.ts";
export { EngineOutlook } from "./engine_outlook.ts";
export { EngineLatencyModel } from "./engine_latency_model.ts";
export type { ResidualStatus } from "./first_event_calibration.ts";
