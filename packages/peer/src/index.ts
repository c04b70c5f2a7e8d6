export * from './messages';
export * from './frames';
export * from './link';
