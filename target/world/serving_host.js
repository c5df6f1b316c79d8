/**
 * A host as it announces itself: an engine or an instance of a plain service.
 *
 * @module
 */
export {};
