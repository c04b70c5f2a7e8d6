// Settings that leave no time between the end of a worker lease and the latest end of cancelled tasks.
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { SettingsError, settingsOf } from '../src/settings/settings';
import { platform } from './platform';

function withWorkers(workers: { report_s: number; lease_s: number; cancel_s: number }): unknown {
  return { ...platform, facts: { ...platform.facts, workers } };
}

test('settings without a safe bound are refused with the paths of the conflicting settings', () => {
  for (const workers of [
    { report_s: 1.5, lease_s: 13, cancel_s: 13 },
    { report_s: 1.5, lease_s: 13, cancel_s: 5 },
    { report_s: 1.5, lease_s: 13, cancel_s: 14.5 },
  ]) {
    assert.throws(
      () => settingsOf(withWorkers(workers), {}),
      (error) => error instanceof SettingsError && /workers\.cancel_s, .*workers\.lease_s/.test(error.message),
    );
  }
});

test('a large clock skew is accepted, as it only makes waits longer', () => {
  const facts = { ...platform.facts, skew_ms: 60_000, workers: { report_s: 1.5, lease_s: 13, cancel_s: 43 } };
  assert.equal(settingsOf({ ...platform, facts }, {}).clusterConfig.maxClockSkewMs, 60_000);
});
