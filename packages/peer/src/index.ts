// The connections between controllers: one TCP connection per pair of controllers.
export * from './messages';
export * from './frames';
export { MalformedPayloadError } from './avro-scanner';
export * from './link';
