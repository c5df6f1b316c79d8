/**
 * Structured log events: decisions, the state of the fleet, and the state of
 * external systems.
 *
 * @module
 */

/** Fields of one event. */
export type EventFields = Readonly<Record<string, unknown>>;

/** Writes events to the log. */
export interface EventLog {
  info(event: string, fields: EventFields): void;
  warn(event: string, fields: EventFields): void;
  debug(event: string, fields: EventFields): void;
}
