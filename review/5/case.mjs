// Two machines of twelve are stopped and started again in turn, as planned; a server
// leaves before they are back. Nothing else happens.
import { join } from "node:path";
import { now, runCase, sendRequest, sleep } from "../lib/stand_ins.mjs";

const withTrouble = process.env.TROUBLE !== "0";
const DRAIN_MS = 3_000;
/** `roll_term`: one machine at a time, each gap_s. */
const GAP_MS = 1_000;
const RESTART_DELAY_MS = 1_000;
/** Time for which a leaving server goes on serving ("at times many seconds"). */
const SERVES_MS = 12_000;
const ROUNDS = 2;

await runCase(join(import.meta.dirname, "record.txt"), async (deployment) => {
  const { record, nodes, servers, store } = deployment;
  await deployment.start({
    nodeCount: 12, serverCount: 5, server: { workMs: 61 },
    bounds: { drain_ms: DRAIN_MS, contact_ms: 4_000, config_ms: 3_000, budget_slack: 298 },
  });
  let count = 0;
  let isStopped = false;
  const pending = [];
  const sentBy = new Map();
  const isClosed = new Set();
  const clients = (async () => {
    while (!isStopped) {
      const open = nodes.filter(({ ip }) => !isClosed.has(ip));
      const { ip, id: node } = open[++count % open.length];
      const id = `a${String(count).padStart(6, "0")}`;
      sentBy.set(id, { node, at: now() });
      pending.push(sendRequest({ record, ip, port: deployment.ports, method: "GET", path: `/look/${id}`, key: "key-desk-1", id }));
      await sleep(15);
    }
  })();

  /** The work begins soon after most machines have read the list of servers, which each does about every 12 s. */
  const waitForMoment = async () => {
    const rareReads = () => store.watches.filter(({ at, prefix, waitMs }) => prefix === "servers/" && waitMs === 2_000 && at > now() - 4_000);
    const until = now() + 16_000;
    while (now() < until && (rareReads().length < nodes.length - 5 || now() - rareReads().at(-1).at < 2_300)) await sleep(50);
  };

  /** Clients no longer get a stopping machine's address, and come back when it is up again. */
  const stopInTurn = async (rolled) => {
    for (const node of rolled) {
      node.signal("SIGTERM");
      setTimeout(() => isClosed.add(node.ip), 1_000);
      await sleep(GAP_MS);
    }
    const endedBy = now() + 9_000;
    while (rolled.some(({ child }) => child !== undefined) && now() < endedBy) await sleep(20);
    for (const node of rolled) {
      setTimeout(async () => {
        node.start();
        while (!(await node.isReady())) await sleep(100);
        record.say(`node ${node.id} is ready again`);
        isClosed.delete(node.ip);
      }, Math.max(0, RESTART_DELAY_MS - (now() - node.exits.at(-1).at)));
    }
    await sleep(250);
  };

  const late = [];
  for (let round = 0; round < ROUNDS && late.length === 0; round++) {
    await sleep(8_000);
    await waitForMoment();
    const holder = Buffer.from(store.items.get("oleander/acting").value, "base64").toString();
    const byId = [...nodes].sort((a, b) => (a.id < b.id ? -1 : 1));
    const leader = nodes.find(({ id }) => id === holder);
    const rolled = [...new Set([byId[0], leader, byId[1]])].slice(0, 2);
    record.say(`the leader is ${holder}; stopped and started in turn: ${withTrouble ? rolled.map(({ id }) => id) : "none"}`);
    if (withTrouble) await stopInTurn(rolled);
    const leaving = servers[round];
    leaving.drain();
    const ackAt = now();
    record.say(`the store acknowledges that ${leaving.id} is draining`);
    await sleep(SERVES_MS);
    const isRolled = new Set(withTrouble ? rolled.map(({ id }) => id) : []);
    for (const { attemptId, at } of leaving.arrivals) {
      const { node, at: sentAt } = sentBy.get(attemptId);
      if (sentAt > ackAt + DRAIN_MS && !isRolled.has(node)) late.push({ node, afterMs: at - ackAt });
    }
    leaving.leave();
    record.say(`server ${leaving.id} ends`);
  }
  isStopped = true;
  await clients;
  await Promise.all(pending);
  const text = `${late.length} requests reached the leaving server later than ${DRAIN_MS} ms after the acknowledgement, the last after ` +
    `${Math.round(Math.max(0, ...late.map(({ afterMs }) => afterMs)))} ms, from ${new Set(late.map(({ node }) => node)).size} machines that were not touched`;
  record.say(text);
  process.stdout.write(`${text}\n`);
  return late.length > 0;
});
