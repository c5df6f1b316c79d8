export type { EventNumbering } from "./event_numbering.ts";
export { EventNumberings } from "./event_numbering.ts";
export type { StreamFault, StreamFaultKind } from "./stream_fault.ts";
export type { SplicedEvents, SpliceOptions } from "./stream_splice.ts";
export { StreamSplice } from "./stream_splice.ts";
