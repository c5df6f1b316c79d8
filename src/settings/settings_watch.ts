/**
 * Reads a settings file again when it changes or when it is asked to.
 *
 * @module
 */
import { statSync } from "node:fs";
import type { z } from "zod";
import type { EventLog } from "../base/event_log.ts";
import type { Timers } from "../base/timers.ts";
import { formatProblem, loadSettings } from "./settings_file.ts";

const POLL_INTERVAL_MS = 2_000;

/** Keeps the newest valid settings; a wrong file changes nothing. */
export class SettingsWatch<T extends z.ZodType> {
  readonly #file: string;
  readonly #schema: T;
  readonly #log: EventLog;
  readonly #onChange: (settings: z.infer<T>) => void;
  #current: z.infer<T>;
  #modifiedAt: number;

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
    this.#modifiedAt = modifiedAt(file);
  }

  /** Begins to look for changes that come without a signal. */
  start(timers: Timers): void {
    timers.subscribe(POLL_INTERVAL_MS, () => {
      if (modifiedAt(this.#file) !== this.#modifiedAt) {
        this.reload("file changed");
      }
    });
  }

  /** Reads the file now. */
  reload(reason: string): void {
    this.#modifiedAt = modifiedAt(this.#file);
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

/** Time of the last change of a file; 0 when there is none. */
function modifiedAt(file: string): number {
  return statSync(file, { throwIfNoEntry: false })?.mtimeMs ?? 0;
}
