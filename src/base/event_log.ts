/**
 * Structured events: decisions, beliefs, dependencies.
 *
 * @module
 */

/** Fields of one event. */
export type EventFields = Readonly<Record<string, unknown>>;

/** Receives events. */
export interface EventLog {
  info(event: string, fields: EventFields): void;
  warn(event: string, fields: EventFields): void;
  debug(event: string, fields: EventFields): void;
}
