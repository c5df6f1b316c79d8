/**
 * Tables of figures, in Markdown.
 *
 * @module
 */
import type { ErrorFigures, LoadFigures } from "./load_figures.ts";

/** Figures of one load by the name of the run, as "before" or "oracle". */
export interface LoadRow {
  readonly load: string;
  readonly runs: ReadonlyMap<string, LoadFigures>;
}

const COLUMNS: readonly [string, (figures: LoadFigures) => string][] = [
  ["in time", ({ inTime }) => share(inTime)],
  [
    "late: first event (of these, refused before) / pause",
    ({ lateFirst, lateAfterRefusal, latePause }) =>
      `${share(lateFirst)} (${share(lateAfterRefusal)}) / ${share(latePause)}`,
  ],
  [
    "refused, after ms",
    ({ refused, refusedAfterMs }) =>
      refusedAfterMs === undefined
        ? share(refused)
        : `${share(refused)}, ${Math.round(refusedAfterMs)}`,
  ],
  ["failed", ({ failed }) => share(failed)],
  [
    "worst kind",
    ({ worstKind }) => `${worstKind.name} ${share(worstKind.inTime)}`,
  ],
  [
    "worst customer",
    ({ worstCustomer: { name, inTime } }) =>
      `${name.replace("customer-", "no. ")} ${share(inTime)}`,
  ],
  ["largest tenth", ({ largestTenth }) => share(largestTenth)],
  [
    "two worst windows, from s",
    ({ worstWindows, worstWindowsAt }) =>
      `${share(worstWindows)}, ${
        worstWindowsAt.map((ms) => ms / 1_000).join(" and ")
      }`,
  ],
  [
    "first event, error ms p50 / p99",
    ({ firstEventError }) => errors(firstEventError),
  ],
  ["pause, error ms p50 / p99", ({ gapError }) => errors(gapError)],
  ["longest pause ms p50 / p99", ({ longestGap }) => errors(longestGap)],
];

/**
 * Renders the figures of all loads.
 *
 * @example
 * ```ts
 * process.stdout.write(renderTable(rows));
 * ```
 */
export function renderTable(rows: readonly LoadRow[]): string {
  const lines = [
    ["load", "run", ...COLUMNS.map(([name]) => name)],
    ["---", "---", ...COLUMNS.map(() => "---")],
  ];
  for (const { load, runs } of rows) {
    for (const [run, figures] of runs) {
      lines.push([load, run, ...COLUMNS.map(([, render]) => render(figures))]);
    }
  }
  return toMarkdown(lines);
}

/**
 * Renders the errors of the expected first events by load of the group.
 *
 * @example
 * ```ts
 * process.stdout.write(renderErrorsByLoad(rows));
 * ```
 */
export function renderErrorsByLoad(rows: readonly LoadRow[]): string {
  const lines = [
    ["load", "run", "quarter: in flight, error ms p50 / p99", "", "", ""],
    ["---", "---", "---", "---", "---", "---"],
  ];
  for (const { load, runs } of rows) {
    for (const [run, { firstEventErrorByLoad }] of runs) {
      if (firstEventErrorByLoad.length === 0) continue;
      const quarters = firstEventErrorByLoad.map((quarter) =>
        `${quarter.minInFlight} to ${quarter.maxInFlight}: ${errors(quarter)}`
      );
      lines.push([load, run, ...quarters]);
    }
  }
  return toMarkdown(lines);
}

function toMarkdown(lines: readonly (readonly string[])[]): string {
  return lines.map((cells) => `| ${cells.join(" | ")} |\n`).join("");
}

function share(value: number): string {
  return value.toFixed(3);
}

function errors(figures: ErrorFigures | undefined): string {
  return figures === undefined
    ? "–"
    : `${Math.round(figures.p50)} / ${Math.round(figures.p99)}`;
}
