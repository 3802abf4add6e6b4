/** Communication between the system's own processes, in CBOR frames. */
export * from "./bounded_server.ts";
export * from "./error.ts";
export { encodeFrame, FrameDecoder, MAX_FRAME_BYTES } from "./frame.ts";
export { type Answer, PROTOCOL_VERSION, type Query } from "./message.ts";
export * from "./listen.ts";
export * from "./no_records.ts";
export * from "./peer_node.ts";
export * from "./peer_node_options.ts";
export * from "./subscriber.ts";
export { type RecordFreshness, type RecordSource } from "./record_exchange.ts";
export { type ExchangeUpdates, type PeerBillStore } from "./responder.ts";
export { type TransportBounds, type TransportCounts } from "./transport.ts";
