export * from './accounts';
export * from './claims';
export * from './execution';
export * from './planner';
export * from './settings';
export * from './victims';
