export * from './controller';
export * from './settings';
export { SILENT, type Log } from './log';
export { Shared } from './shared';
export { PartOwner } from './owner';
export type { Reply } from './reply';
