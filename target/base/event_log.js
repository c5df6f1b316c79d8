/**
 * Structured events: decisions, beliefs, dependencies.
 *
 * @module
 */
export {};
