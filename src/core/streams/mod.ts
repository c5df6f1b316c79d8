export type { StreamFault, StreamFaultKind } from "./stream_fault.ts";
export type { SplicedEvents, SpliceOptions } from "./stream_splice.ts";
export { StreamSplice } from "./stream_splice.ts";
