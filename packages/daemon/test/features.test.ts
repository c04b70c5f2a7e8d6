// The features file: features are off by default, and an invalid file ends the start with the key's path and status 2.
import assert from 'node:assert/strict';
import { readFileSync } from 'node:fs';
import { test } from 'node:test';
import { parse } from 'yaml';
import { SettingsError, settingsOf } from '../src/settings/settings';
import { platform } from './platform';

test('borrowing is off unless the features file enables it', () => {
  for (const file of [
    undefined,
    null,
    {},
    { borrowing: { enabled: false } },
    { borrowing: { enabled: false, max_share: 1 } },
  ])
    assert.equal(settingsOf(platform, {}, file).features.borrowing, null);
  assert.deepEqual(settingsOf(platform, {}, { borrowing: { enabled: true, max_share: 0.5 } }).features.borrowing, {
    maxShare: 0.5,
  });
});

test('deploy/features.yaml is valid', () => {
  const file: unknown = parse(readFileSync('deploy/features.yaml', 'utf8'));
  assert.deepEqual(settingsOf(platform, {}, file).features.borrowing, { maxShare: 0.25 });
});

test('errors name the path of unknown features, unknown keys and invalid values', () => {
  const wrong: [unknown, RegExp][] = [
    [{ lending: { enabled: true } }, /lending/],
    [{ borrowing: {} }, /borrowing\.enabled/],
    [{ borrowing: { enabled: 'yes' } }, /borrowing\.enabled/],
    [{ borrowing: { enabled: true, share: 0.5 } }, /borrowing\.share/],
    ...[0, -0.25, 1.5, '0.5', null].map((max_share): [unknown, RegExp] => [
      { borrowing: { enabled: true, max_share } },
      /borrowing\.max_share/,
    ]),
    [[], /the whole/],
    ['borrowing', /the whole/],
  ];
  for (const [file, path] of wrong) {
    assert.throws(
      () => settingsOf(platform, {}, file),
      (error: Error) => error instanceof SettingsError && path.test(error.message),
      JSON.stringify(file),
    );
  }
});

test('team settings that borrowing does not support are refused only if borrowing is on', () => {
  const team = { name: 'red', cpus: 0, cpus_max: 0, gpus: 4, gpus_max: 8 };
  const withTeams = (teams: unknown[]): unknown => ({ ...platform, facts: { ...platform.facts, teams } });
  const wrong: [unknown[], RegExp][] = [
    [[{ ...team, gpus_max: 2 }], /facts\.teams\.0\.gpus_max/],
    [[team, { ...team, name: 'blue', cpus: 4, cpus_max: 2 }], /facts\.teams\.1\.cpus_max/],
    [[team, team], /facts\.teams\.1\.name/],
  ];
  for (const [teams, path] of wrong) {
    assert.throws(() => settingsOf(withTeams(teams), {}, { borrowing: { enabled: true } }), path);
    assert.equal(settingsOf(withTeams(teams), {}).features.borrowing, null);
  }
  for (const gpus of [-1, '4', null])
    assert.throws(() => settingsOf(withTeams([{ ...team, gpus }]), {}), /facts\.teams\.0\.gpus/);
  // Amounts are decimal numbers (PROTOCOL).
  assert.doesNotThrow(() => settingsOf(withTeams([{ ...team, gpus: 2.5 }]), {}, { borrowing: { enabled: true } }));
});

test('replica groups are off unless the features file enables them, and their classes are checked', () => {
  const groups = { enabled: true, classes: ['main', 'mid'] };
  assert.equal(settingsOf(platform, {}, {}).features.replicaGroups, null);
  assert.equal(
    settingsOf(platform, {}, { replica_groups: { ...groups, enabled: false } }).features.replicaGroups,
    null,
  );
  const on = settingsOf(platform, {}, { replica_groups: { ...groups, backoff_reports: 2 } }).features.replicaGroups!;
  assert.deepEqual([...on.classes], ['main', 'mid']);
  assert.equal(on.backoffIntervals, 2);
  const objectives = [{ kind: 'wait', class: 'main', within_s: 6, share: 0.8 }, { kind: 'guarantee' }];
  const platformWithObjectives = { ...platform, facts: { ...platform.facts, objectives } };
  const wrong: [unknown, unknown, RegExp][] = [
    [platform, { ...groups, classes: ['main', 'main'] }, /replica_groups\.classes\.1/],
    [platform, { ...groups, classes: [] }, /replica_groups\.classes/],
    [platform, { enabled: true }, /replica_groups\.classes/],
    [platform, { ...groups, members: 3 }, /replica_groups\.members/],
    [platform, { ...groups, serve_lease_share: 0 }, /replica_groups\.serve_lease_share/],
    [platform, { ...groups, hold_reports: '8' }, /replica_groups\.hold_reports/],
    [platformWithObjectives, groups, /replica_groups\.classes\.1.*no class mid/],
  ];
  for (const [settings, file, path] of wrong) {
    assert.throws(
      () => settingsOf(settings, {}, { replica_groups: file }),
      (error: Error) => error instanceof SettingsError && path.test(error.message),
      JSON.stringify(file),
    );
  }
  assert.doesNotThrow(() =>
    settingsOf(platformWithObjectives, {}, { replica_groups: { ...groups, classes: ['main'] } }),
  );
});
