/**
 * Identifies a group at one epoch.
 *
 * @example
 * ```ts
 * groupKey("g-17", 40960); // "g-17@40960"
 * ```
 */
export function groupKey(name, epoch) {
    return `${name}@${epoch}`;
}
