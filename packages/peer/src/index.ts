// The connections between controllers: one TCP connection per pair of controllers.
export * from './messages';
export * from './frames';
export * from './link';
