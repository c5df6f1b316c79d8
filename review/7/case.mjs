// A server spoils some of its streams: one digit of an event's id is wrong. The event
// before it arrives in the same piece of the channel.
import { Store } from "../lib-2/store.mjs";
import { startMachines } from "../lib-2/nodes.mjs";
import { manifest, runs, sleep, untilOpen, Worker } from "../lib-2/servers.mjs";
import { Client, requests, untilReady } from "../lib-2/clients.mjs";
import { finish, TROUBLE } from "../lib-2/record.mjs";

/** The dose of `garble` in the site's list of troubles; it may come more than once. */
const SHARE = 0.35;
const PART = 0.02;
const FOR_S = 5.5;
const PAUSE_S = 4;
const PIECES = 20;
const SECONDS = 45;
const CLIENTS = 40;

const spoiled = [];
const store = new Store();
const address = await store.listen("127.0.0.1");
const workers = [];
/** The servers that spoil answers now. */
let spoiling = [];
let answers = 0;

/** A share of the heads spoils answers for a while, again and again. */
async function spoil() {
  for (let n = 0;; n++) {
    const heads = workers.filter((w) => w.group?.state === "open");
    const count = Math.floor(heads.length * SHARE);
    spoiling = Array.from({ length: count }, (_, i) => heads[(n * count + i) % heads.length]);
    await sleep(FOR_S * 1000);
    spoiling = [];
    await sleep(PAUSE_S * 1000);
  }
}

/** Whether a worker spoils its next answer: each 50th of those of the share. */
function spoils(worker) {
  if (!spoiling.includes(worker)) return false;
  answers += 1;
  return answers % Math.round(1 / PART) === 0;
}

/** Sends the pieces, two of them in each write, as a pass of the engine ends. */
async function stream(req, res, worker) {
  const isSpoiled = spoils(worker);
  const headers = { ...worker.stamp(req), "content-type": "text/event-stream" };
  const first = Number(req.headers["last-event-id"] ?? 0) + 1;
  const piece = (id, shown = id) => `id: ${shown}\ndata: ${req.url} ${id}\n\n`;
  for (let id = first; id <= PIECES; id += 2) {
    await sleep(60);
    if (res.destroyed) return;
    if (!res.headersSent) res.writeHead(200, headers);
    let next = id + 1 <= PIECES ? piece(id + 1) : "";
    if (isSpoiled && id >= 9 && id < 11) {
      // The first digit of the second piece's id.
      next = piece(id + 1, `9${String(id + 1).slice(1)}`);
      spoiled.push({ at: Date.now(), id: headers["oleanderarch-attempt-id"], server: worker.id, piece: id + 1 });
    }
    res.write(piece(id) + next);
  }
  if (!res.headersSent) res.writeHead(200, headers);
  res.end();
}

for (let d = 0; d < 3; d++) {
  for (let i = 0; i < 9; i++) {
    const zone = `valley-${"abc"[d]}`;
    const worker = new Worker(store, `w-${d}-${i}`, "pool", zone, 18, `domain-${d}`, stream);
    workers.push(worker);
    await worker.listen("127.0.0.1");
  }
}
store.put("op/config", manifest(3));
const machines = await startMachines(2, address);
let broken;
let error;
try {
  if (!await untilReady(machines)) throw new Error("the machines aren't ready");
  if (!await untilOpen(workers, 6)) throw new Error("the groups don't open");
  const clients = Array.from({ length: CLIENTS }, (_, i) => new Client(machines[i % 2].front));
  const end = Date.now() + SECONDS * 1000;
  if (TROUBLE) spoil();
  await Promise.all(clients.map(async (client, i) => {
    for (let n = 0; Date.now() < end; n++) {
      await client.send(`/draft/${i}-${n}`, {
        headers: {
          "oleanderarch-model": i % 3 === 0 ? "m1" : "m0",
          "oleanderarch-token-count": "700,140",
          "oleanderarch-prompt-prefix": `${(i + 1).toString(16)}:40,${(n * 100 + i).toString(16)}f:660`,
        },
      });
      await sleep(100);
    }
  }));
  for (const client of clients) client.close();
  // ORDER: in a stream a piece is missing or comes twice, or it ends as complete before
  // its last piece. What the client got must be the pieces 1 to PIECES in order, or a
  // beginning of them in an answer that looks incomplete.
  broken = requests.filter((r) => r.status === 200).flatMap((r) => {
    const ids = [...r.body.matchAll(/^id: (\d+)$/gm)].map((m) => Number(m[1]));
    const isInOrder = ids.every((id, k) => id === k + 1);
    const isWhole = isInOrder && ids.length === PIECES;
    if (isInOrder && (isWhole || !r.complete)) return [];
    return [{ rule: "ORDER", id: r.id, complete: r.complete, pieces: ids.join(" ") }];
  });
} catch (err) {
  error = String(err.stack);
}
await finish({
  folder: import.meta.url, store, machines, servers: workers, requests, runs, broken, error,
  disturbed: spoiled, mustServe: 0.9,
});
