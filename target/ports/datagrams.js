/**
 * Small unreliable messages between the processes of the fleet.
 *
 * @module
 */
export {};
