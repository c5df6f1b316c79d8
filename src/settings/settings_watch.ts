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

const LOOK_MS = 2_000;

/** Keeps the newest valid settings; a wrong file changes nothing. */
export class SettingsWatch<T extends z.ZodType> {
  readonly #file: string;
  readonly #schema: T;
  readonly #log: EventLog;
  readonly #onChange: (settings: z.infer<T>) => void;
  #current: z.infer<T>;
  #changedAt: number;

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
    this.#changedAt = changedAt(file);
  }

  /** Begins to look for changes that come without a signal. */
  start(timers: Timers): void {
    timers.subscribe(LOOK_MS, () => {
      if (changedAt(this.#file) !== this.#changedAt) {
        this.reload("file changed");
      }
    });
  }

  /** Reads the file now. */
  reload(why: string): void {
    this.#changedAt = changedAt(this.#file);
    const read = loadSettings(this.#file, this.#schema);
    if (!read.ok) {
      const problems = read.err.map(formatProblem);
      this.#log.warn("reload_refused", { why, problems });
      return;
    }
    const isSame = JSON.stringify(read.value) === JSON.stringify(this.#current);
    this.#log.info("reloaded", { why, changed: !isSame });
    if (isSame) return;
    this.#current = read.value;
    this.#onChange(read.value);
  }
}

/** Time of the last change of a file; 0 when there is none. */
function changedAt(file: string): number {
  return statSync(file, { throwIfNoEntry: false })?.mtimeMs ?? 0;
}
