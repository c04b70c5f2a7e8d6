// Borrowing of GPUs between teams, and reclaims of borrowed GPUs. See docs/borrowing-design.md.
export * from './accounts';
export * from './claims';
export * from './execution';
export * from './planner';
export * from './settings';
export * from './victims';
