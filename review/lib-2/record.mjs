// Ends a case: stops everything, writes `record.txt` and exits as issue 48 asks.
import { writeFileSync } from "node:fs";

/** Whether the case makes its disruption. */
export const TROUBLE = process.env.TROUBLE !== "0";

/**
 * `broken` lists what broke the rule; undefined if the case couldn't run. Fewer complete
 * answers than `mustServe` of the requests also mean that it couldn't run.
 */
export async function finish({
  folder, store, machines, servers, requests, runs, broken, error, disturbed, mustServe, more = {},
}) {
  await Promise.all(machines.map((machine) => machine.stop()));
  for (const server of servers) server.close();
  store.close();
  const served = requests.filter((r) => r.status === 200 && r.complete).length;
  const summary = {
    trouble: TROUBLE,
    sent: requests.length,
    served,
    runs: runs.length,
    disturbed: disturbed.length,
    broken: broken?.length,
    error,
    ...more,
  };
  const lines = [`summary ${JSON.stringify(summary)}`];
  const add = (kind, list) => {
    for (const item of list) lines.push(`${kind} ${JSON.stringify(item)}`);
  };
  add("broken", broken ?? []);
  add("disturbed", disturbed);
  for (const m of machines) {
    add("end-of-process", m.ends.map((end) => ({ machine: m.name, ...end })));
  }
  add("request", requests.map(({ id, path, sentAt, endedAt, kept, status, stamp, complete, bytes, error, body }) => ({
    id, path, sentAt, endedAt, kept, status, stamp, complete, bytes, error,
    pieces: [...body.matchAll(/^id: (\d+)$/gm)].map((m) => m[1]).join(" ") || undefined,
    own: status >= 400 ? body.slice(0, 120) : undefined,
  })));
  add("run", runs);
  writeFileSync(new URL("record.txt", folder), lines.join("\n") + "\n");
  console.log(lines[0]);
  if (broken === undefined || served < requests.length * mustServe) process.exit(2);
  process.exit(broken.length > 0 ? 1 : 0);
}
