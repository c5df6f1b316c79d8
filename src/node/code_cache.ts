/**
 * The compiled code that a bundle is started with.
 *
 * @module
 */

/**
 * Whether this process runs a bundle whose compiled code V8 rejected, as it was made
 * for another Node.js or with other flags. The process then starts more slowly.
 *
 * @example
 * ```ts
 * if (isCodeCacheRejected()) log.warn("code_cache_rejected", {});
 * ```
 */
export function isCodeCacheRejected(): boolean {
  return Reflect.get(globalThis, "oleanderCodeIsCached") === false;
}
