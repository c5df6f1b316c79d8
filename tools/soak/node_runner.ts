/**
 * Runs real node processes, each on its own loopback address.
 *
 * @module
 */
import type { ChildProcess } from "node:child_process";
import { spawn } from "node:child_process";
import {
  createWriteStream,
  mkdirSync,
  readFileSync,
  writeFileSync,
} from "node:fs";
import { join } from "node:path";
import process from "node:process";

/** Port for callers; the node's other ports follow it. */
const CALLER_PORT = 18_641;
const NODE_SCRIPT = "dist/src/bin/oleander_node.js";

/** Runs one node process and restarts it with the same settings. */
export class NodeRunner {
  readonly id: string;
  readonly ip: string;
  readonly #settingsFile: string;
  readonly #logFile: string;
  readonly #command: readonly string[];
  #child: ChildProcess | undefined;
  /** Number of exits that this runner did not cause by a signal. */
  unexpectedExits = 0;
  /** Exit code of the last process that ended; null if a signal ended it. */
  exitCode: number | null | undefined;
  /** Whether the current process was sent SIGKILL or SIGTERM. */
  #isStopping = false;

  /**
   * Writes the settings file to `folder`. `subnet` is the third octet of the
   * node's address, `command` the arguments of Node.js before the settings file.
   */
  constructor(
    folder: string,
    index: number,
    subnet: number,
    storeAddress: string,
    command: readonly string[] = [NODE_SCRIPT],
  ) {
    this.id = `node-${index}`;
    this.ip = `127.0.${subnet}.${10 + index}`;
    mkdirSync(folder, { recursive: true });
    this.#settingsFile = join(folder, `${this.id}.ini`);
    this.#logFile = join(folder, `${this.id}.log`);
    this.#command = command;
    writeFileSync(
      this.#settingsFile,
      formatSettings(this.id, this.ip, index, storeAddress),
    );
  }

  get callerPort(): number {
    return CALLER_PORT;
  }

  /** URL at which the node lists the addresses that accept requests. */
  get directoryUrl(): string {
    return `http://${this.ip}:${CALLER_PORT + 2}/resolve?name=album.example`;
  }

  get isRunning(): boolean {
    return this.#child !== undefined;
  }

  /**
   * Starts the process. If the previous one still runs, starts once that has
   * exited, so that a node never has two processes.
   */
  start(): void {
    if (this.#child !== undefined) {
      this.#child.once("exit", () => this.start());
      return;
    }
    this.#isStopping = false;
    const log = createWriteStream(this.#logFile, { flags: "a" });
    const child = spawn(process.execPath, [
      ...this.#command,
      this.#settingsFile,
    ], {
      stdio: ["ignore", "pipe", "pipe"],
    });
    child.stdout.pipe(log);
    child.stderr.pipe(log, { end: false });
    child.on("exit", (code) => {
      this.exitCode = code;
      if (!this.#isStopping) this.unexpectedExits += 1;
      if (this.#child === child) this.#child = undefined;
    });
    this.#child = child;
  }

  /** Processor time that the process's main thread has used, in milliseconds. */
  get processorMs(): number {
    const stat = readFileSync(`/proc/${this.#child?.pid}/schedstat`, "utf8");
    return Number(stat.split(" ")[0]) / 1e6;
  }

  /** Fields of the log lines of one event. */
  logged(event: string): readonly Readonly<Record<string, unknown>>[] {
    return readFileSync(this.#logFile, "utf8").split("\n")
      .filter((line) => line.includes(`"event":"${event}"`))
      .map((line) => JSON.parse(line));
  }

  /** Sends a signal to the process, if one is running. */
  signal(name: "SIGKILL" | "SIGTERM" | "SIGSTOP" | "SIGCONT"): void {
    if (name === "SIGKILL" || name === "SIGTERM") this.#isStopping = true;
    this.#child?.kill(name);
  }
}

function formatSettings(
  id: string,
  ip: string,
  index: number,
  storeAddress: string,
): string {
  return [
    "[node]",
    `id = ${id}`,
    `availability_zone = zone-${index % 3}`,
    "region = soak",
    `ip = ${ip}`,
    `caller_address = ${ip}:${CALLER_PORT}`,
    `ready_address = ${ip}:${CALLER_PORT + 1}`,
    `directory_address = ${ip}:${CALLER_PORT + 2}`,
    `internal_port = ${CALLER_PORT + 3}`,
    `metrics_port = ${CALLER_PORT + 4}`,
    "seeds =",
    "[platform]",
    `store = ${storeAddress}`,
    "heartbeat = 1200ms",
    "[bounds]",
    "confirm_keys_within = 5000ms",
    "change_in_force_within = 2000ms",
    "drain_within = 2000ms",
    "shutdown_within = 8s",
    "stall = 4000ms",
    "retry_ratio = 0.2",
    "retry_window = 10s",
    "retry_slack = 136",
    "load_window = 5s",
    "address_ttl_max = 5s",
    "",
  ].join("\n");
}
