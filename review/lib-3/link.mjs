/** A link between machines: it forwards channels, at a rate, and can be cut. */
import { connect, createServer } from "node:net";

const SEGMENT_BYTES = 1_460;

/** Forwards connections to a target. While it is cut, it holds all bytes. */
export class Link {
  #server;
  #isCut = false;
  #pumps = new Set();

  /** `bytesPerSecond` applies to each direction of each channel. */
  constructor(target, bytesPerSecond = Infinity) {
    this.target = target;
    this.bytesPerSecond = bytesPerSecond;
    this.#server = createServer(
      { allowHalfOpen: true, noDelay: true },
      (socket) => this.#forward(socket),
    );
  }

  async start(ip = "127.0.0.1") {
    await new Promise((done) => this.#server.listen(0, ip, done));
    const { port } = this.#server.address();
    this.host = ip;
    this.port = port;
    this.address = `${ip}:${port}`;
    return this.address;
  }

  stop() {
    this.#server.close();
    for (const pump of this.#pumps) pump.destroy();
  }

  cut() {
    this.#isCut = true;
  }

  heal() {
    this.#isCut = false;
    for (const pump of [...this.#pumps]) pump.run();
  }

  #forward(near) {
    const { host, port } = this.target;
    const far = connect({ host, port, allowHalfOpen: true, noDelay: true });
    this.#pump(near, far);
    this.#pump(far, near);
  }

  /** Forwards one direction. */
  #pump(from, to) {
    const queue = [];
    let isTimed = false;
    let end;
    const run = () => {
      if (this.#isCut || isTimed) return;
      const chunk = queue.shift();
      if (chunk !== undefined) {
        to.write(chunk);
        isTimed = true;
        const waitMs = chunk.length / this.bytesPerSecond * 1_000;
        const next = () => {
          isTimed = false;
          run();
        };
        if (waitMs > 0) setTimeout(next, waitMs);
        else setImmediate(next);
        return;
      }
      if (end === "fin") to.end();
      if (end === "reset") to.resetAndDestroy();
      if (end !== undefined) this.#pumps.delete(pump);
    };
    const pump = { run, destroy: () => from.destroy() };
    this.#pumps.add(pump);
    from.on("data", (bytes) => {
      for (let at = 0; at < bytes.length; at += SEGMENT_BYTES) {
        queue.push(bytes.subarray(at, at + SEGMENT_BYTES));
      }
      run();
    });
    from.on("end", () => {
      // A reset right after data shows as an end without a remote address.
      end ??= from.remoteAddress === undefined ? "reset" : "fin";
      run();
    });
    from.on("error", () => {});
    from.on("close", () => {
      end = from.readableEnded ? end ?? "fin" : "reset";
      run();
    });
  }
}
