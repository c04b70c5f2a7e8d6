// The link between controllers: one TCP connection for each pair of them.
export * from './messages';
export * from './frames';
export * from './link';
