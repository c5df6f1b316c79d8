/**
 * Reloads a settings file when it changes or on request.
 *
 * @module
 */
import { statSync } from "node:fs";
import type { z } from "zod";
import type { EventLog } from "../base/event_log.ts";
import type { Timers } from "../base/timers.ts";
import { formatProblem, loadSettings } from "./settings_file.ts";

const POLL_INTERVAL_MS = 2_000;

/** Keeps the latest valid settings; an invalid file leaves them unchanged. */
export class SettingsWatcher<T extends z.ZodType> {
  readonly #file: string;
  readonly #schema: T;
  readonly #log: EventLog;
  readonly #onChange: (settings: z.infer<T>) => void;
  #current: z.infer<T>;
  #modifiedAtMs: number;

  constructor(
    file: string,
    schema: T,
    current: z.infer<T>,
    log: EventLog,
    onChange: (settings: z.infer<T>) => void,
  ) {
    this.#file = file;
    this.#schema = schema;
    this.#current = current;
    this.#log = log;
    this.#onChange = onChange;
    this.#modifiedAtMs = readModifiedAtMs(file);
  }

  /** Starts polling the file, since not every change is followed by a SIGHUP. */
  start(timers: Timers): void {
    timers.subscribe(POLL_INTERVAL_MS, () => {
      if (readModifiedAtMs(this.#file) !== this.#modifiedAtMs) {
        this.reload("file changed");
      }
    });
  }

  /** Reloads the file and applies the settings if they are valid and changed. */
  reload(reason: string): void {
    this.#modifiedAtMs = readModifiedAtMs(this.#file);
    const loaded = loadSettings(this.#file, this.#schema);
    if (!loaded.ok) {
      const problems = loaded.err.map(formatProblem);
      this.#log.warn("reload_refused", { why: reason, problems });
      return;
    }
    const isUnchanged =
      JSON.stringify(loaded.value) === JSON.stringify(this.#current);
    this.#log.info("reloaded", { why: reason, changed: !isUnchanged });
    if (isUnchanged) return;
    this.#current = loaded.value;
    this.#onChange(loaded.value);
  }
}

/**
 * Returns a file's modification time in milliseconds since the epoch; 0 if the file
 * does not exist.
 */
function readModifiedAtMs(file: string): number {
  return statSync(file, { throwIfNoEntry: false })?.mtimeMs ?? 0;
}
