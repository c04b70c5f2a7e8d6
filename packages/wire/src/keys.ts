// The keys that gingerlock uses in the key-value store.

/** Prefix of every key, so that a single `/follow` request returns the changes of all keys. */
export const KEY_PREFIX = 'g/';

/** Builds keys; `parseKey` parses them. */
export const KEYS = {
  meta: 'g/meta',
  term: 'g/term',
  types: 'g/types',
  owner: (resource: string) => `g/own/${resource}`,
  hold: (resource: string) => `g/hold/${resource}`,
  /**
   * The latest term whose owner has confirmed the `failoverAt` of its owner record: the failover took place soon after
   * that time. Later owners may rely on `failoverAt` only after this confirmation.
   */
  confirmedTerm: (resource: string) => `g/timed/${resource}`,
  job: (id: string) => `g/j/${id}`,
  finished: (id: string, partitionId: number, page: number) => `g/f/${id}/${partitionId}/${page}`,
  /** A page of finished tasks that starts at task `first`; see `finishedPageFor`. */
  finishedFrom: (id: string, partitionId: number, first: number) => `g/o/${id}/${partitionId}/${first}`,
  membership: (partitionId: number, machine: string) => `g/r/${partitionId}/${machine}`,
  reclaim: (partitionId: number, id: string) => `g/b/${partitionId}/${id}`,
  /** The record of a job's replica group. */
  group: (job: string) => `g/g/${job}`,
} as const;

/** The resource whose owner is the leader. The resource of a partition is the partition's number. */
export const LEADERSHIP = 'lead';

/** The parts of a key. `other` is a key that this version does not know. */
export type ParsedKey =
  | { readonly kind: 'meta' | 'term' | 'types' | 'other' }
  | { readonly kind: 'owner' | 'hold' | 'confirmedTerm'; readonly resource: string }
  | { readonly kind: 'job'; readonly id: string }
  | { readonly kind: 'finished'; readonly id: string; readonly partitionId: number; readonly page: number }
  | { readonly kind: 'finishedFrom'; readonly id: string; readonly partitionId: number; readonly first: number }
  | { readonly kind: 'membership'; readonly partitionId: number; readonly machine: string }
  | { readonly kind: 'reclaim'; readonly partitionId: number; readonly id: string }
  | { readonly kind: 'group'; readonly job: string };

/** Parses a key. Never throws: keys of later versions become `other`. */
export function parseKey(key: string): ParsedKey {
  const segments = key.split('/');
  switch (segments[1]) {
    case 'meta':
    case 'term':
    case 'types':
      return { kind: segments[1] };
    case 'own':
      return { kind: 'owner', resource: segments[2] ?? '' };
    case 'hold':
      return { kind: 'hold', resource: segments[2] ?? '' };
    case 'timed':
      return { kind: 'confirmedTerm', resource: segments[2] ?? '' };
    case 'j':
      return { kind: 'job', id: segments[2] ?? '' };
    case 'f':
      return { kind: 'finished', id: segments[2] ?? '', partitionId: Number(segments[3]), page: Number(segments[4]) };
    case 'o':
      return {
        kind: 'finishedFrom',
        id: segments[2] ?? '',
        partitionId: Number(segments[3]),
        first: Number(segments[4]),
      };
    case 'r':
      return { kind: 'membership', partitionId: Number(segments[2]), machine: segments.slice(3).join('/') };
    case 'b':
      return { kind: 'reclaim', partitionId: Number(segments[2]), id: segments.slice(3).join('/') };
    case 'g':
      return { kind: 'group', job: segments[2] ?? '' };
    default:
      return { kind: 'other' };
  }
}
