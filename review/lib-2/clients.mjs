// Stand-in for clients: requests over kept channels, one at a time on each.
import http from "node:http";

/** What clients sent and were answered, in order. */
export const requests = [];
let count = 0;

/** A client with one kept channel to a machine. */
export class Client {
  constructor(target, key = "bindery-key") {
    this.target = target;
    this.key = key;
    this.agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
  }

  /**
   * Sends a request; resolves to what was answered, also when the channel broke.
   * `deadlineMs` is the client's time limit.
   */
  send(path, { method = "POST", body = Buffer.from("hello"), headers = {}, deadlineMs = 8000, read } = {}) {
    const id = `a${process.pid.toString(16)}${(++count).toString(16).padStart(6, "0")}`;
    const result = {
      id, path, sentAt: Date.now(), status: 0, stamp: undefined, body: "", bytes: 0,
      complete: false, kept: false, error: undefined, endedAt: undefined,
    };
    requests.push(result);
    return new Promise((resolve) => {
      const done = () => {
        if (result.endedAt !== undefined) return;
        clearTimeout(timer);
        result.endedAt = Date.now();
        resolve(result);
      };
      const req = http.request({
        ...this.target, path, method, agent: this.agent,
        headers: {
          host: "album.example",
          authorization: `Token ${this.key}`,
          "oleanderarch-attempt-id": id,
          "oleanderarch-deadline-ms": String(deadlineMs),
          "content-length": String(body.length),
          ...headers,
        },
      });
      const timer = setTimeout(() => {
        result.error ??= "time limit of the client";
        req.destroy();
        done();
      }, deadlineMs + 1500);
      req.on("error", (err) => {
        result.error ??= err.code ?? err.message;
        done();
      });
      req.on("socket", () => result.kept = req.reusedSocket);
      req.on("response", (res) => {
        result.status = res.statusCode;
        result.headers = res.headers;
        result.stamp = res.headers["oleanderarch-server-stamp"];
        const chunks = [];
        const finish = () => {
          result.body = Buffer.concat(chunks).toString();
          result.complete = res.complete;
          done();
        };
        res.on("data", (chunk) => {
          result.bytes += chunk.length;
          chunks.push(chunk);
          read?.(chunk, res);
        });
        res.on("end", finish);
        res.on("error", (err) => {
          result.error ??= err.code ?? err.message;
          finish();
        });
        res.on("close", finish);
      });
      req.end(body);
    });
  }

  close() {
    this.agent.destroy();
  }
}

/** Waits until every machine answers `GET /ready` with 200, for `ms` at most. */
export async function untilReady(machines, ms = 15000) {
  const end = Date.now() + ms;
  for (const machine of machines) {
    for (;;) {
      const status = await new Promise((resolve) => {
        http.get({ ...machine.readyAddress, path: "/ready", agent: false }, (res) => {
          res.resume();
          resolve(res.statusCode);
        }).on("error", () => resolve(0));
      });
      if (status === 200) break;
      if (Date.now() > end) return false;
      await new Promise((r) => setTimeout(r, 100));
    }
  }
  return true;
}
