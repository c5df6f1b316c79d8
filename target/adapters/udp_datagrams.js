import { createSocket } from "node:dgram";
/** Larger messages would be cut into pieces on the way. */
const MAX_DATAGRAM_BYTES = 60_000;
/** {@linkcode Datagrams} on one UDP socket. */
export class UdpDatagrams {
    #socket;
    constructor(socket) {
        this.#socket = socket;
        socket.on("error", () => { });
    }
    /** Binds to an IP number and port. */
    static bind(ip, port) {
        return new Promise((resolve, reject) => {
            const socket = createSocket("udp4");
            socket.once("error", reject);
            socket.bind(port, ip, () => {
                socket.off("error", reject);
                resolve(new UdpDatagrams(socket));
            });
        });
    }
    send(address, payload) {
        if (payload.byteLength > MAX_DATAGRAM_BYTES)
            return;
        const at = address.lastIndexOf(":");
        const port = Number(address.slice(at + 1));
        // A datagram that can't be sent counts as lost.
        this.#socket.send(payload, port, address.slice(0, at), () => { });
    }
    onMessage(receive) {
        this.#socket.on("message", (payload, info) => {
            receive(payload, `${info.address}:${info.port}`);
        });
    }
    /** Stops receiving. */
    close() {
        this.#socket.close();
    }
}
