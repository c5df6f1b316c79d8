/**
 * What operators declare for serving: routes with their contracts, services
 * and the engines behind them, limits of callers, customers with their keys.
 *
 * @module
 */
export {};
