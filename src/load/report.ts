/**
 * Renders the metrics of a bench run as one self-contained HTML page, with charts
 * by Vega-Lite.
 *
 * @module
 */
import { parse, View } from "vega";
import type { TopLevelSpec } from "vega-lite";
import { compile } from "vega-lite";
import { z } from "zod";
import type { Outcome } from "../base/outcome.ts";
import { failure, success } from "../base/outcome.ts";

const MetricsSchema = z.looseObject({
  service: z.number(),
  groupDowntimeS: z.number(),
  strandedAccelerators: z.number(),
  breaches: z.record(z.string(), z.number()),
  series: z.array(z.object({ t: z.number(), service: z.number() })),
});

/** The file that `npm run bench -- --json` writes. */
export const BenchReportSchema = z.looseObject({
  deployment: z.string(),
  seed: z.number(),
  scenarios: z.array(z.object({
    name: z.string(),
    naive: MetricsSchema.optional(),
    product: MetricsSchema.optional(),
  })),
});

/** A validated bench report. */
export type BenchReport = z.infer<typeof BenchReportSchema>;

/** Scenario whose `service` metric is charted over time. */
const TIMELINE_SCENARIO = "zone-flap";
const VARIANTS = ["naive", "product"] as const;
const COLOURS = ["#b0673a", "#2f6f8f"];

type ChartRow = Record<string, string | number>;

/**
 * Parses and validates a bench report.
 *
 * @example
 * ```ts
 * const report = parseBenchReport(readFileSync("bench.json", "utf8"));
 * ```
 */
export function parseBenchReport(text: string): Outcome<BenchReport, string> {
  let json: unknown;
  try {
    json = JSON.parse(text);
  } catch (err) {
    return failure(`Not JSON: ${(err as Error).message}`);
  }
  const res = BenchReportSchema.safeParse(json);
  if (res.success) return success(res.data);
  const [issue] = res.error.issues;
  return failure(`${issue.path.join(".")}: ${issue.message}`);
}

/**
 * Renders a report as one HTML page without external resources.
 *
 * @example
 * ```ts
 * writeFileSync("report.html", await renderReport(report));
 * ```
 */
export async function renderReport(report: BenchReport): Promise<string> {
  const timeline = report.scenarios.find((s) => s.name === TIMELINE_SCENARIO);
  const charts: string[] = [];
  if (timeline !== undefined) {
    charts.push(await renderSvg(timelineSpec(timeline)));
  }
  const bars: ReadonlyArray<
    readonly [string, (m: z.infer<typeof MetricsSchema>) => number]
  > = [
    ["Service, percent", (m) => m.service * 100],
    ["Group downtime, group-seconds per hour", (m) => m.groupDowntimeS],
    ["Stranded accelerators, mean", (m) => m.strandedAccelerators],
    ["Broken promises, count", (m) => sum(Object.values(m.breaches))],
  ];
  for (const [title, valueOf] of bars) {
    charts.push(await renderSvg(barSpec(title, barRows(report, valueOf))));
  }
  const heading = `${report.deployment}, seed ${report.seed}`;
  return renderPage(heading, charts);
}

function barRows(
  report: BenchReport,
  valueOf: (m: z.infer<typeof MetricsSchema>) => number,
): ChartRow[] {
  return report.scenarios.flatMap((scenario) =>
    VARIANTS.flatMap((variant) => {
      const metrics = scenario[variant];
      if (metrics === undefined) return [];
      return [{ scenario: scenario.name, variant, value: valueOf(metrics) }];
    })
  );
}

function barSpec(title: string, values: ChartRow[]): TopLevelSpec {
  return {
    title: { text: title, anchor: "start" },
    width: 760,
    data: { values },
    mark: { type: "bar", height: { band: 0.9 } },
    encoding: {
      y: { field: "scenario", type: "nominal", sort: null, title: null },
      yOffset: { field: "variant" },
      x: { field: "value", type: "quantitative", title: null },
      color: {
        field: "variant",
        type: "nominal",
        title: null,
        scale: { domain: [...VARIANTS], range: COLOURS },
      },
    },
  };
}

function timelineSpec(
  scenario: BenchReport["scenarios"][number],
): TopLevelSpec {
  const values = VARIANTS.flatMap((variant) =>
    (scenario[variant]?.series ?? []).map((point) => ({
      variant,
      t: point.t,
      service: point.service * 100,
    }))
  );
  const title = "Service while a zone goes out, back and out again, percent";
  return {
    title: { text: title, anchor: "start" },
    width: 760,
    height: 220,
    data: { values },
    mark: { type: "line", interpolate: "step-after" },
    encoding: {
      x: { field: "t", type: "quantitative", title: "seconds" },
      y: {
        field: "service",
        type: "quantitative",
        title: null,
        scale: { domain: [0, 100] },
      },
      color: {
        field: "variant",
        type: "nominal",
        title: null,
        scale: { domain: [...VARIANTS], range: COLOURS },
      },
    },
  };
}

async function renderSvg(spec: TopLevelSpec): Promise<string> {
  const view = new View(parse(compile(spec).spec), { renderer: "none" });
  return await view.toSVG();
}

function renderPage(heading: string, charts: readonly string[]): string {
  const style = "body{font-family:sans-serif;margin:2rem;max-width:1000px}" +
    "svg{display:block;margin:1.5rem 0}";
  return [
    "<!doctype html>",
    `<html lang="en"><head><meta charset="utf-8"><title>${heading}</title>`,
    `<style>${style}</style></head><body>`,
    `<h1>${heading}</h1>`,
    "<p>The product beside the naive version, same events for both.</p>",
    ...charts,
    "</body></html>",
    "",
  ].join("\n");
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
