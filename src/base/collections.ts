/**
 * Helpers for collections of bounded size.
 *
 * @module
 */

/**
 * Deletes the entry that was added first among those that may be dropped, if the
 * map has more than `max` entries.
 *
 * @example
 * ```ts
 * cache.set(key, value);
 * dropOldest(cache, 1_000);
 * ```
 */
export function dropOldest<K, V>(
  map: Map<K, V>,
  max: number,
  mayDrop: (value: V) => boolean = () => true,
): void {
  if (map.size <= max) return;
  for (const [key, value] of map) {
    if (!mayDrop(value)) continue;
    map.delete(key);
    return;
  }
}
