/**
 * Conversion between suspect prompt parts and their form in statuses.
 *
 * @module
 */
import type { PromptPartTracker } from "../retries/prompt_part_tracker.ts";
import type { StatusMessage } from "./messages.ts";

/** What a status says of prompt parts. */
export type PartStatuses = Pick<StatusMessage, "suspectParts" | "soundParts">;

/**
 * Takes what the next status says of prompt parts.
 *
 * @example
 * ```ts
 * const status = { ...others, ...takePartStatuses(promptParts, now) };
 * ```
 */
export function takePartStatuses(
  promptParts: PromptPartTracker,
  now: number,
): PartStatuses {
  return {
    suspectParts: promptParts.takeShared(now).map((suspect) => ({
      ...suspect,
      crashes: suspect.crashes.map(({ upstream, at }) => ({
        upstream,
        ageMs: now - at,
      })),
    })),
    soundParts: promptParts.cleared(now).map(([part, at]) => [part, now - at]),
  };
}

/**
 * Merges what a peer's status says of prompt parts.
 *
 * @example
 * ```ts
 * mergePartStatuses(promptParts, status, timers.now());
 * ```
 */
export function mergePartStatuses(
  promptParts: PromptPartTracker,
  status: PartStatuses,
  now: number,
): void {
  for (const [part, ageMs] of status.soundParts) {
    promptParts.recordSound(part, now - ageMs, now, "peer");
  }
  for (const suspect of status.suspectParts) {
    const crashes = suspect.crashes.map(({ upstream, ageMs }) => ({
      upstream,
      at: now - ageMs,
    }));
    promptParts.merge({ ...suspect, crashes }, now);
  }
}
