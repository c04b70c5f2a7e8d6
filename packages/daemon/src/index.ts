export * from './controller';
export * from './settings';
export { SILENT, type Log } from './log';
export { type ControllerLimits, Shared } from './shared';
export { SummaryAssembly, summaryMessages } from './summary-pieces';
export { TransactionRoom } from './transaction-room';
export { PartOwner } from './owner';
export type { Reply } from './reply';
